// Command cicadactl is the operators' tool: it applies and shows
// configuration, works with batch jobs, and drains endpoints.
//
// # Usage
//
//	cicadactl --server http://127.0.0.1:8080 --key KEY status
//	cicadactl apply -f shop.yaml --reason 'new customer' --wait
//	cicadactl job submit cards.jsonl --wait
//
// The server and the key may come from CICADA_SERVER and CICADA_KEY.
package main

import (
	"cicadalink.example/cicadactl/cicadacommand"
	"cicadalink.example/cicadakernel"
)

func main() {
	cicadakernel.Main(cicadacommand.New())
}
