// Package cicadawire defines the messages that cicadalink's processes exchange over
// drpc and the records that they store in the platform's Object API. It also
// provides the client-side connection pool and the server.
//
// # Usage
//
// A server registers its services on Server.Mux and then calls Server.Serve. A client
// takes connections from a Pool:
//
//	pool := cicadawire.NewPool()
//	agent := cicadawire.NewDRPCAgentClient(pool.Conn("127.0.0.1:7100"))
//	stream, err := agent.Run(ctx, &cicadawire.Call{Attempt: "a1"})
//
// The .pb.go files are generated from wire.proto with protoc, protoc-gen-go and
// protoc-gen-go-drpc, and are checked in:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//		--go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
package cicadawire
