// Command cicadaagent runs next to the engine of one endpoint, a model engine or a
// plain service, and controls access to it.
//
// # Usage
//
//	cicadaagent --config agent.yaml
//	cicadaagent --config agent.yaml --check
package main

import (
	"context"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadaagent/cicadaendpoint"
	"cicadalink.example/cicadakernel"
)

func main() {
	cfg := &cicadaendpoint.Settings{}
	cmd := cicadakernel.Command("cicadaagent", "controls access to one endpoint: priorities, preemption, fencing, draining", cfg,
		func(ctx context.Context, p *cicadakernel.Process) error {
			agent, err := cicadaendpoint.New(cfg, p)
			if err != nil {
				return merry.Errorf("create agent: %w", err)
			}
			return agent.Serve(ctx)
		})
	cicadakernel.Main(cmd)
}
