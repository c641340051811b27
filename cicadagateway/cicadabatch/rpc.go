package cicadabatch

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

const rpcName = "/cicadabatch.Owner/Handle"

// cborEncoding encodes calls as CBOR, which needs no generated code.
type cborEncoding struct{}

// Marshal encodes a message.
func (cborEncoding) Marshal(msg drpc.Message) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes a message.
func (cborEncoding) Unmarshal(buf []byte, msg drpc.Message) error { return cbor.Unmarshal(buf, msg) }

// rpcDescription describes the single method of the service to drpc.
type rpcDescription struct{}

// NumMethods returns the number of methods.
func (rpcDescription) NumMethods() int { return 1 }

// Method describes the method.
func (rpcDescription) Method(int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	return rpcName, cborEncoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return srv.(handler).Handle(ctx, in.(*Call))
	}, handler.Handle, true
}

// A handler serves calls: an Owner, or a Client that relays them.
type handler interface {
	Handle(ctx context.Context, c *Call) (*Response, error)
}

// Register registers the owner's service.
func (o *Owner) Register(mux drpc.Mux) error { return register(mux, o) }

// Register registers a service that relays calls to the job's owner, for peers that
// cannot reach it.
func (c *Client) Register(mux drpc.Mux) error { return register(mux, c) }

func register(mux drpc.Mux, h handler) error {
	if err := mux.Register(h, rpcDescription{}); err != nil {
		return merry.Errorf("register job calls: %w", err)
	}
	return nil
}
