// Command cicadagateway serves callers or runs batch jobs where endpoints are reached
// directly, without an agent beside them. In the role of an entry it serves callers; in
// the role of an owner it runs batch jobs.
//
// # Usage
//
//	cicadagateway --config entry.yaml
//	cicadagateway --config entry.yaml --check
package main

import (
	"context"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaprocess"
	"cicadalink.example/cicadakernel"
)

func main() {
	cfg := &cicadaprocess.Settings{}
	cmd := cicadakernel.Command("cicadagateway", "serves callers or runs batch jobs, with requests sent directly to the endpoints", cfg,
		func(ctx context.Context, p *cicadakernel.Process) error {
			node, err := cicadaprocess.New(cfg, p)
			if err != nil {
				return merry.Errorf("set up process: %w", err)
			}
			return node.Serve(ctx)
		})
	cicadakernel.Main(cmd)
}
