package cicadaendpoint

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadawire"
)

// service is the drpc face of an agent.
type service struct {
	agent *Agent
}

// Run carries one attempt.
func (s *service) Run(call *cicadawire.Call, stream cicadawire.DRPCAgent_RunStream) error {
	return s.agent.gate.Run(stream.Context(), call, stream.Send)
}

// Link sends heartbeats for as long as the stream lives, and takes the group's
// configuration from it.
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
			s.agent.configure(down)
		}
	})
	return s.beat(ctx, stream)
}

func (s *service) beat(ctx context.Context, stream cicadawire.DRPCAgent_LinkStream) error {
	ticker := time.NewTicker(s.agent.cfg.Heartbeat.Or(DefaultHeartbeat))
	defer ticker.Stop()
	for {
		changed := s.agent.gate.LoadChanged()
		up := &cicadawire.LinkUp{Load: s.agent.gate.Load(), Boot: s.agent.gate.Boot(), Name: s.agent.cfg.Name}
		if err := stream.Send(up); err != nil {
			return merry.Errorf("send heartbeat: %w", err)
		}
		select {
		case <-ticker.C:
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Attempts answers what became of a keyed call.
func (s *service) Attempts(_ context.Context, query *cicadawire.AttemptQuery) (*cicadawire.AttemptReply, error) {
	return s.agent.gate.Attempts(query), nil
}

// Order passes an engine order.
func (s *service) Order(ctx context.Context, order *cicadawire.EngineOrder) (*cicadawire.OrderReply, error) {
	return s.agent.gate.Order(ctx, order), nil
}

// Drain makes the endpoint leave gracefully.
func (s *service) Drain(_ context.Context, req *cicadawire.DrainRequest) (*cicadawire.DrainReply, error) {
	s.agent.log.Info("told to leave", "stop", req.GetStop())
	s.agent.gate.StartDrain()
	if req.GetStop() {
		s.agent.leave()
	}
	return &cicadawire.DrainReply{Load: s.agent.gate.Load()}, nil
}
