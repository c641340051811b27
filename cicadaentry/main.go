// Command cicadaentry is the server of an entry VM, behind the platform's balancer.
// It serves callers and operators, routes requests to endpoints, owns shards of the
// batch jobs, and distributes the configuration.
//
// # Usage
//
//	cicadaentry --config entry.yaml
//	cicadaentry --config entry.yaml --check
package main

import (
	"context"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadaentry/cicadanode"
	"cicadalink.example/cicadakernel"
)

func main() {
	cfg := &cicadanode.Settings{}
	cmd := cicadakernel.Command("cicadaentry", "serves callers and operators, routes requests, runs batch jobs", cfg,
		func(ctx context.Context, p *cicadakernel.Process) error {
			node, err := cicadanode.New(cfg, p)
			if err != nil {
				return merry.Errorf("set up entry: %w", err)
			}
			return node.Serve(ctx)
		})
	cicadakernel.Main(cmd)
}
