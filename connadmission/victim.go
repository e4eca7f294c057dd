package connadmission

// Victim returns the connection to evict for a new one, or NoConn if all have an open request. Candidates are, in this order:
//
//  1. connections with a slow header, which hold a goroutine and buffers;
//  2. connections that never sent a search and have been idle for at least MinIdle, the longest idle first;
//  3. other connections idle for at least MinIdle, of the customer that exceeds its share of connections the most, or of any
//     customer if none exceeds its share;
//  4. new connections that have not sent a complete header within HeaderTimeout;
//  5. connections that never sent a search and have been idle for less than MinIdle;
//  6. other connections idle for less than MinIdle, whose clients can use another connection;
//  7. other new connections, the oldest first: a flood of new connections evicts connections of its own and none that serve
//     requests.
func (c *Controller) Victim(now Millis) ID {
	if id := c.oldestSince(listSlowHeader, now); id != NoConn {
		return id
	}
	idleForMin, anyIdle := c.oldestSince(listIdleWithoutSearch, now-c.options.MinIdle), c.oldestSince(listIdleWithoutSearch, now)
	if idleForMin != NoConn {
		return idleForMin
	}
	if id := c.longestIdle(now - c.options.MinIdle); id != NoConn {
		return id
	}
	if id := c.oldestSince(listNew, now-c.options.HeaderTimeout); id != NoConn {
		return id
	}
	if anyIdle != NoConn {
		return anyIdle
	}
	if id := c.longestIdle(now); id != NoConn {
		return id
	}
	return c.oldestSince(listNew, now)
}

// oldestSince returns the first connection of a list if it entered the list at since or earlier, and NoConn otherwise.
func (c *Controller) oldestSince(list int, since Millis) ID {
	if i := c.lists[list].first; i >= 0 && c.conns[i].since <= since {
		return ID(i)
	}
	return NoConn
}

// longestIdle returns the longest idle connection among those that became idle at since or earlier: of the customer that
// exceeds its share of connections by the largest factor, or of all customers if none exceeds its share. It returns NoConn if
// there is none.
func (c *Controller) longestIdle(since Millis) ID {
	found, oldest := NoConn, Millis(0)
	excess := 1.0
	for customer := range c.connsOfCustomer {
		id := c.oldestSince(listFirstIdle+customer, since)
		if id == NoConn {
			continue
		}
		if customer < c.unknownIndex && c.shareSum > 0 && c.options.CustomerShares[customer] > 0 {
			factor := float64(c.connsOfCustomer[customer]) / (c.options.CustomerShares[customer] / c.shareSum * float64(c.options.MaxConns))
			if factor > excess || factor == excess && factor > 1 && c.conns[id].since < oldest {
				excess, found, oldest = factor, id, c.conns[id].since
				continue
			}
		}
		if excess == 1 && (found == NoConn || c.conns[id].since < oldest) {
			found, oldest = id, c.conns[id].since
		}
	}
	return found
}
