// Package cicadahistory proves, by checking the histories of concurrent runs,
// what must always hold. Its tests run real entries' shards, dispatchers and
// fronts, and real agents' gates, in virtual time over a small fake network and
// store that delay, cut, lose, pause and kill.
//
// # Usage
//
//	go test -run History ./cicadadev/cicadahistory
//	go test -run History ./cicadadev/cicadahistory -seeds 5000 -first 1000
//
// Each run prints its seeds. A failure names the seed; give it with -first and
// -seeds 1 to run it again.
package cicadahistory
