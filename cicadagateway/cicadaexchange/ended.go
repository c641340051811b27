package cicadaexchange

import "context"

// Ended reports whether an incarnation of the endpoint at an address has ended, as it does when it
// crashes: connections are refused, or another incarnation accepts them. startedMs is the start
// of the incarnation in Unix milliseconds, or 0 if it is not known; then only refused
// connections count. An endpoint that is not reached in time is not known to have ended.
func (c *Client) Ended(ctx context.Context, address string, startedMs int64) bool {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	raw, err := c.dial(ctx, address)
	if err != nil {
		return RefusedConnection(err)
	}
	c.onConnect()
	cn := c.newConn(raw, address)
	defer func() { _ = cn.Close() }()
	if startedMs <= 0 || c.identification.Decode == nil || c.starts.skipped(address) {
		return false
	}
	stopCancel := context.AfterFunc(ctx, cn.cancel)
	defer stopCancel()
	if err := c.readReport(cn, ""); err != nil {
		return false
	}
	return cn.startedMs > 0 && cn.startedMs != startedMs
}
