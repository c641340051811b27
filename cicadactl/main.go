// Command cicadactl is the operator's command-line tool: it changes and shows
// the configuration, manages batch jobs and drains endpoints.
//
// # Usage
//
//	cicadactl --server http://127.0.0.1:8080 --key KEY status
//	cicadactl apply -f shop.yaml --reason 'new customer' --wait
//	cicadactl job submit cards.jsonl --wait
//
// CICADA_SERVER and CICADA_KEY are the defaults of --server and --key.
package main

import (
	"cicadalink.example/cicadactl/cicadacommand"
	"cicadalink.example/cicadakernel"
)

func main() {
	cicadakernel.Main(cicadacommand.New())
}
