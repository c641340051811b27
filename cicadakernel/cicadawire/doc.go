// Package cicadawire holds the messages that cicadalink's processes exchange
// over drpc, and the records that they keep in the platform's Object API. It
// also dials and serves those connections.
//
// # Usage
//
// A server registers its implementation with Serve; a client takes a
// connection from a Pool, which keeps idle ones per address:
//
//	pool := cicadawire.NewPool()
//	agent := cicadawire.NewDRPCAgentClient(pool.Conn("127.0.0.1:7100"))
//	stream, err := agent.Run(ctx, &cicadawire.Call{Attempt: "a1"})
//
// The Go files are generated from wire.proto with protoc, protoc-gen-go and
// protoc-gen-go-drpc, and are committed:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//		--go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
package cicadawire
