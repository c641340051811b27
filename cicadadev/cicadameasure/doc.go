// Package cicadameasure measures routing, scheduling and rate limiting under load
// and faults. Its tests run real gates and dispatchers in virtual time with a
// simulated engine, so the results do not depend on the machine.
//
// # Usage
//
//	go test -run Measure -v ./cicadadev/cicadameasure
//	go test -run Measure -v ./cicadadev/cicadameasure -seconds 120
//
// Each result is logged as a line
//
//	measure: NAME value=V unit=U baseline=B target=<=T
//
// where the baseline comes from the same run.
package cicadameasure
