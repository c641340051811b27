// Package cicadameasure measures routing, scheduling and rate limiting under load
// and faults. Its tests run the schedulers of agents (cicadagate) and the dispatchers
// of entries (cicadadispatch) in virtual time with a simulated engine, so the results
// do not depend on the machine.
//
// # Usage
//
//	go test -run Measure -v ./cicadadev/cicadameasure
//	go test -run Measure -v ./cicadadev/cicadameasure -seconds 120
//
// Each result is logged as a line
//
//	measure: NAME value=V unit=U baseline=B target=T
//
// The value is in unit U. The baseline is what the value is compared with: the result
// without the load, fault or feature under test, the result of another strategy, or a
// constant. The target is the required bound, such as <=1.05 or >=0.9, or none.
package cicadameasure
