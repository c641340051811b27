package cicadaendpoint

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadawire"
)

// service implements the agent RPCs.
type service struct {
	agent *Agent
}

// Run executes one attempt of a call and streams its frames.
func (s *service) Run(call *cicadawire.Call, stream cicadawire.DRPCAgent_RunStream) error {
	return s.agent.gate.Run(stream.Context(), call, stream.Send)
}

// Link sends load reports to an entry and applies the group configuration that it
// receives from it, until the stream ends.
func (s *service) Link(stream cicadawire.DRPCAgent_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		defer cancel()
		for {
			down, err := stream.Recv()
			if err != nil {
				return
			}
			s.agent.applyConfig(down)
		}
	})
	return s.sendHeartbeats(ctx, stream)
}

// sendHeartbeats sends a load report at every heartbeat interval, and at once when the
// gate reports a change.
func (s *service) sendHeartbeats(ctx context.Context, stream cicadawire.DRPCAgent_LinkStream) error {
	ticker := time.NewTicker(s.agent.cfg.Heartbeat.Or(DefaultHeartbeatInterval))
	defer ticker.Stop()
	for {
		loadChanged := s.agent.gate.LoadChanged()
		report := &cicadawire.LinkUp{Load: s.agent.gate.Load(), Boot: s.agent.gate.Boot(), Name: s.agent.cfg.Name}
		if err := stream.Send(report); err != nil {
			return merry.Errorf("send heartbeat: %w", err)
		}
		select {
		case <-ticker.C:
		case <-loadChanged:
		case <-ctx.Done():
			return nil
		}
	}
}

// Attempts returns the state of a call with an idempotency key.
func (s *service) Attempts(_ context.Context, query *cicadawire.AttemptQuery) (*cicadawire.AttemptReply, error) {
	return s.agent.gate.Attempts(query), nil
}

// Order passes an engine order to the engine.
func (s *service) Order(ctx context.Context, order *cicadawire.EngineOrder) (*cicadawire.OrderReply, error) {
	return s.agent.gate.Order(ctx, order), nil
}

// Drain makes the gate start draining. If a stop is requested, the agent then shuts
// down once no call is running or the drain limit is reached.
func (s *service) Drain(_ context.Context, req *cicadawire.DrainRequest) (*cicadawire.DrainReply, error) {
	s.agent.log.Info("drain requested", "stop", req.GetStop())
	s.agent.gate.StartDrain()
	if req.GetStop() {
		s.agent.initiateShutdown()
	}
	return &cicadawire.DrainReply{Load: s.agent.gate.Load()}, nil
}
