package cicadaexchange

import (
	"slices"
	"time"
)

// inactivityLimit is how long nothing is received on a connection, until a request on it is cancelled,
// before it may be dead.
const inactivityLimit = time.Second

// closeInactiveWith closes the idle connections to the endpoint of a connection that may be dead, except
// those on which the endpoint has responded since. Connections can die together, and none shows it before
// it is used.
func (c *Client) closeInactiveWith(cn *conn) {
	since := cn.limit.activeAt
	if time.Since(since) < inactivityLimit {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeInactive(cn.address, since)
}

// CloseInactive closes the idle connections on which nothing was received since a time. It is for
// connections that may have died with others of the process.
func (c *Client) CloseInactive(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.idle {
		c.closeInactive(address, since)
	}
}

// closeInactive closes the idle connections to an address on which nothing was received since a time.
// The caller holds c.mu.
func (c *Client) closeInactive(address string, since time.Time) {
	list := slices.DeleteFunc(c.idle[address], func(cn *conn) bool {
		inactive := !cn.limit.activeAt.After(since)
		if inactive {
			_ = cn.Close()
		}
		return inactive
	})
	c.idle[address] = list
	if len(list) == 0 {
		delete(c.idle, address)
	}
}
