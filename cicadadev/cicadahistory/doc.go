// Package cicadahistory checks the system's invariants on histories of concurrent
// operations. Its tests run the shards, dispatchers and HTTP interfaces of entries
// (cicadashard, cicadadispatch, cicadafront) and the schedulers of agents (cicadagate)
// in virtual time, over a simulated network and store. They inject delays, lost
// messages and connections, pauses and crashes, and check the recorded histories for
// linearizability.
//
// # Usage
//
//	go test -run History ./cicadadev/cicadahistory
//	go test -run History ./cicadadev/cicadahistory -seeds 5000 -first 1000
//
// Each run logs its seeds, and a failure names the seed. To reproduce it, pass
// that seed as -first with -seeds 1.
package cicadahistory
