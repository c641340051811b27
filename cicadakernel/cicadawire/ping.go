package cicadawire

import (
	"context"
	"time"

	"storj.io/drpc"
)

const (
	pingName = "/cicadawire.Connection/Ping"
	// pingTimeout limits the time of a ping, which a server answers without any work.
	pingTimeout = 500 * time.Millisecond
	// verifyTimeout limits it for calls that are made with VerifyConn, which have waited before.
	verifyTimeout = 250 * time.Millisecond
	// pingAfter is the time without activity after which a connection is used again only after a ping.
	pingAfter = 2 * time.Second
)

// A ping is the request and the answer of Ping. Both are empty.
type ping struct{}

// pingEncoding encodes pings.
type pingEncoding struct{}

// Marshal encodes a message.
func (pingEncoding) Marshal(drpc.Message) ([]byte, error) { return nil, nil }

// Unmarshal decodes a message.
func (pingEncoding) Unmarshal([]byte, drpc.Message) error { return nil }

// A pinger answers pings.
type pinger struct{}

// Ping answers a ping.
func (pinger) Ping(context.Context, *ping) (*ping, error) { return &ping{}, nil }

// pingDescription describes the service of a pinger to drpc.
type pingDescription struct{}

// NumMethods returns the number of methods.
func (pingDescription) NumMethods() int { return 1 }

// Method describes the method.
func (pingDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return pingName, pingEncoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return srv.(pinger).Ping(ctx, in.(*ping))
	}, pinger.Ping, true
}

// ping checks the connection. Any answer is enough, also the error of a server that knows no pings.
func (c *pooledConn) ping(ctx context.Context, address string) error {
	timeout := pingTimeout
	if mustVerify(ctx) {
		timeout = verifyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.Invoke(ctx, pingName, pingEncoding{}, &ping{}, &ping{}); err != nil {
		if err := c.callError(ctx, address, err); isUnanswered(err) {
			return err
		}
	}
	c.recordActivity()
	return nil
}

// needsPing reports whether the connection may be dead: when its last call got no answer, or the last
// answer is old.
func (c *pooledConn) needsPing() bool { return c.unanswered.Load() || c.inactivity() > pingAfter }

type verifyKey struct{}

// VerifyConn returns a context whose calls use an idle connection only after a ping, however
// recently it was used. It is meant for further attempts at a call that got no answer.
func VerifyConn(ctx context.Context) context.Context {
	return context.WithValue(ctx, verifyKey{}, true)
}

func mustVerify(ctx context.Context) bool { return ctx.Value(verifyKey{}) != nil }
