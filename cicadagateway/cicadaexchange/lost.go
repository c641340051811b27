package cicadaexchange

import (
	"slices"
	"time"
)

// lossCheckDelay is the time after a connection broke off at which the others are checked again.
// Those of a process that has ended do not break off all at once.
const lossCheckDelay = 50 * time.Millisecond

// silenceDelay is how long nothing is received on a connection, until a request on it is cancelled,
// before it may have fallen silent.
const silenceDelay = time.Second

// WithOnLost sets a function that is called with the address of an endpoint whose process may have
// ended: a connection broke off, and no idle one is left open. It must not block.
func WithOnLost(onLost func(address string)) Option {
	return func(c *Client) { c.onLost = onLost }
}

// abandon closes a connection that broke off, and checks whether others to its endpoint are open.
func (c *Client) abandon(cn *conn) {
	_ = cn.Close()
	if cn.abandoned {
		return
	}
	cn.abandoned = true
	if cn.canceled.Load() {
		c.closeUnheard(cn)
		return
	}
	if c.checkLost(cn.address) {
		return
	}
	time.AfterFunc(lossCheckDelay, func() { c.checkLost(cn.address) })
}

// checkLost reports, also to onLost, whether no idle connection to an address is open.
func (c *Client) checkLost(address string) bool {
	if c.openIdle(address) {
		return false
	}
	c.onLost(address)
	return true
}

func (c *Client) openIdle(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		if cn.reusable() {
			return true
		}
	}
	return false
}

// closeUnheard closes the idle connections to the endpoint of a connection that may have fallen
// silent, except those on which the endpoint has responded since. Connections can fall silent
// together, and none shows it before it is used.
func (c *Client) closeUnheard(silent *conn) {
	silentSince := silent.limit.heardAt
	if time.Since(silentSince) < silenceDelay {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeUnheardSince(silent.address, silentSince)
}

// CloseUnheard closes the idle connections on which nothing was received since a time. It is for
// connections that may have fallen silent with others of the process.
func (c *Client) CloseUnheard(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.idle {
		c.closeUnheardSince(address, since)
	}
}

// closeUnheardSince closes the idle connections to an address on which nothing was received since a
// time. The caller holds c.mu.
func (c *Client) closeUnheardSince(address string, since time.Time) {
	list := slices.DeleteFunc(c.idle[address], func(cn *conn) bool {
		unheard := !cn.limit.heardAt.After(since)
		if unheard {
			_ = cn.Close()
		}
		return unheard
	})
	c.idle[address] = list
	if len(list) == 0 {
		delete(c.idle, address)
	}
}
