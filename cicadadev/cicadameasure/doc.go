// Package cicadameasure measures the decisions under load and faults. Its tests
// run real gates and dispatchers in virtual time before a small fake engine, so
// the figures do not depend on the machine.
//
// # Usage
//
//	go test -run Measure -v ./cicadadev/cicadameasure
//	go test -run Measure -v ./cicadadev/cicadameasure -seconds 120
//
// Each figure is a line
//
//	measure: NAME value=V unit=U baseline=B target=<=T
//
// with its baseline from the same run.
package cicadameasure
