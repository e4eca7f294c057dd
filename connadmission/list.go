package connadmission

// connEntry holds the state of one connection and its links in a list.
type connEntry struct {
	since       Millis // when it entered its state
	next, prev  int32  // neighbors in its list; -1 = none
	list        int16  // index into Controller.lists
	state       connState
	hasSearched bool // has sent a search
	parked      bool
	customer    int16
}

// connList is a doubly linked list of connections in the order in which they were appended; first and last are -1 if it is
// empty.
type connList struct{ first, last, length int32 }

// entry returns the entry of an open connection, or nil if there is none with that ID.
func (c *Controller) entry(id ID) *connEntry {
	if int64(id) >= int64(len(c.conns)) || c.conns[id].state == stateFree {
		return nil
	}
	return &c.conns[id]
}

// moveTo sets a connection's state and appends it to a list. The connection must not be in a list.
func (c *Controller) moveTo(i int32, state connState, to int, now Millis) {
	conn, list := &c.conns[i], &c.lists[to]
	if conn.state == stateFree {
		c.connsOfCustomer[conn.customer]++
	}
	conn.state, conn.list, conn.since, conn.next, conn.prev = state, int16(to), now, -1, list.last
	if list.last >= 0 {
		c.conns[list.last].next = i
	} else {
		list.first = i
	}
	list.last = i
	list.length++
}

// unlink removes a connection from its list. It does nothing if a request is open: the connection is then in no list.
func (c *Controller) unlink(i int32) {
	conn := &c.conns[i]
	if conn.state == stateActive {
		return
	}
	list := &c.lists[conn.list]
	if conn.prev >= 0 {
		c.conns[conn.prev].next = conn.next
	} else {
		list.first = conn.next
	}
	if conn.next >= 0 {
		c.conns[conn.next].prev = conn.prev
	} else {
		list.last = conn.prev
	}
	list.length--
}
