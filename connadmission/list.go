package connadmission

// connEntry is the record of one connection.
type connEntry struct {
	since        Millis // when it entered its state
	next, prev   int32
	list         int16
	state        connState
	hasRequested bool
	parked       bool
	customer     int16
}

// connList is a doubly linked list of connections in the order in which they entered it.
type connList struct{ first, last, length int32 }

// entry returns the record of an open connection, or nil.
func (c *Controller) entry(id ID) *connEntry {
	if int64(id) >= int64(len(c.conns)) || c.conns[id].state == stateFree {
		return nil
	}
	return &c.conns[id]
}

// moveTo appends a connection, which is in no list, to the list of its new state.
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

// unlink removes a connection from its list. A connection with an open request is in no list.
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
