// Command cicadaagent runs in the slot beside one endpoint. It is the last gate
// before the model engine or plain service there.
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
	cmd := cicadakernel.Command("cicadaagent", "guards one endpoint: priority, preemption, fencing, drain", cfg,
		func(ctx context.Context, p *cicadakernel.Process) error {
			agent, err := cicadaendpoint.New(cfg, p)
			if err != nil {
				return merry.Errorf("set up agent: %w", err)
			}
			return agent.Serve(ctx)
		})
	cicadakernel.Main(cmd)
}
