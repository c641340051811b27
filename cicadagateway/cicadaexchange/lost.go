package cicadaexchange

import "time"

// lossCheckDelay is the time after a connection broke off at which the others are checked again.
// Those of a process that has ended do not break off all at once.
const lossCheckDelay = 50 * time.Millisecond

// WithOnLost sets a function that is called with the address of an endpoint whose process may have
// ended: a connection broke off, and no idle one is left open. It must not block.
func WithOnLost(onLost func(address string)) Option {
	return func(c *Client) { c.onLost = onLost }
}

// abandon closes a connection whose response was not read to its end, and draws conclusions for the others to its
// endpoint: if it broke off, they may have, and if its request was cancelled, they may be dead as well.
func (c *Client) abandon(cn *conn) {
	_ = cn.Close()
	switch {
	case cn.abandoned:
	case cn.canceled.Load():
		c.closeInactiveWith(cn)
	default:
		c.checkBroken(cn)
	}
	cn.abandoned = true
}

// checkBroken checks whether other connections to the endpoint of one that broke off are open.
func (c *Client) checkBroken(cn *conn) {
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
