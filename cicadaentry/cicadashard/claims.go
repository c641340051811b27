package cicadashard

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	sweepInterval = time.Second
	// claimMargin is how long after its deadline a claim without an outcome is
	// looked into.
	claimMargin = 2 * time.Second
	// lookLimit is how long after its deadline a claim is still looked into.
	lookLimit = time.Minute
)

// Claim asks for the right to run a keyed call. Only a GRANTED reply gives it,
// and it is durable then.
func (m *Manager) Claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	var reply *cicadawire.ClaimReply
	err := m.atOwner(ctx, m.ShardOfKey(req.GetCustomer(), req.GetKey()), func(o *owner) error {
		var err error
		reply, err = o.claim(ctx, req)
		return err
	}, func(client cicadawire.DRPCEntryClient) error {
		var err error
		reply, err = client.Claim(ctx, req)
		if err != nil || reply.GetState() == cicadawire.ClaimState_NOT_OWNER {
			return ErrNotOwner
		}
		return nil
	})
	if err != nil {
		return nil, merry.Errorf("claim call: %w", err)
	}
	return reply, nil
}

// ServeClaim answers another entry's claim.
func (m *Manager) ServeClaim(ctx context.Context, req *cicadawire.ClaimRequest) *cicadawire.ClaimReply {
	o, ok := m.owner(m.ShardOfKey(req.GetCustomer(), req.GetKey()))
	if !ok {
		return &cicadawire.ClaimReply{State: cicadawire.ClaimState_NOT_OWNER}
	}
	reply, err := o.claim(ctx, req)
	if err != nil {
		return &cicadawire.ClaimReply{State: cicadawire.ClaimState_NOT_OWNER}
	}
	return reply
}

// Settle records the outcome of a claimed call.
func (m *Manager) Settle(ctx context.Context, req *cicadawire.SettleRequest) error {
	err := m.atOwner(ctx, m.ShardOfKey(req.GetCustomer(), req.GetKey()), func(o *owner) error {
		return o.settle(ctx, req)
	}, func(client cicadawire.DRPCEntryClient) error {
		reply, err := client.Settle(ctx, req)
		if err != nil || !reply.GetRecorded() {
			return ErrNotOwner
		}
		return nil
	})
	if err != nil {
		return merry.Errorf("settle call: %w", err)
	}
	return nil
}

// ServeSettle answers another entry's settlement.
func (m *Manager) ServeSettle(ctx context.Context, req *cicadawire.SettleRequest) *cicadawire.SettleReply {
	o, ok := m.owner(m.ShardOfKey(req.GetCustomer(), req.GetKey()))
	if !ok {
		return &cicadawire.SettleReply{NotOwner: true}
	}
	if err := o.settle(ctx, req); err != nil {
		return &cicadawire.SettleReply{NotOwner: true}
	}
	return &cicadawire.SettleReply{Recorded: true}
}

// claim makes a claim durable unless the key has one. A claim repeated with its
// own attempt is granted again: the answer to the first may have been lost.
func (o *owner) claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	if reply, known := o.claimed(req); known {
		return reply, nil
	}
	now := time.Now().UnixMilli()
	claim := &cicadawire.CallClaimed{
		Customer:   req.GetCustomer(),
		Key:        req.GetKey(),
		Digest:     req.GetDigest(),
		Attempt:    req.GetAttempt(),
		AtMs:       now,
		DeadlineMs: now + req.GetBudgetMs(),
		Service:    req.GetService(),
	}
	record := &cicadawire.Record{Kind: &cicadawire.Record_CallClaimed{CallClaimed: claim}}
	if err := o.commit(ctx, record); err != nil {
		return nil, err
	}
	reply, known := o.claimed(req)
	if !known {
		return nil, ErrNotOwner
	}
	return reply, nil
}

func (o *owner) claimed(req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	call, known := o.state.Call(req.GetCustomer(), req.GetKey())
	if !known {
		return nil, false
	}
	return claimReply(call, req), true
}

func claimReply(call *cicadajob.Call, req *cicadawire.ClaimRequest) *cicadawire.ClaimReply {
	claim, settled := call.Claim(), call.Settled()
	reply := &cicadawire.ClaimReply{Attempt: claim.GetAttempt(), Service: claim.GetService()}
	switch {
	case claim.GetDigest() != req.GetDigest():
		reply.State = cicadawire.ClaimState_MISMATCH
	case settled == nil && claim.GetAttempt() == req.GetAttempt():
		reply.State = cicadawire.ClaimState_GRANTED
	case settled == nil:
		reply.State = cicadawire.ClaimState_IN_PROGRESS
	case settled.GetOutcome() == cicadawire.Settlement_ANSWERED:
		reply.State = cicadawire.ClaimState_SETTLED
		reply.Status, reply.Headers, reply.Body = settled.GetStatus(), settled.GetHeaders(), settled.GetBody()
	default:
		reply.State = cicadawire.ClaimState_OUTCOME_UNKNOWN
	}
	return reply
}

func (o *owner) settle(ctx context.Context, req *cicadawire.SettleRequest) error {
	settled := &cicadawire.CallSettled{
		Customer: req.GetCustomer(),
		Key:      req.GetKey(),
		Attempt:  req.GetAttempt(),
		Outcome:  req.GetOutcome(),
		Status:   req.GetStatus(),
		Headers:  req.GetHeaders(),
		Body:     req.GetBody(),
	}
	return o.commit(ctx, &cicadawire.Record{Kind: &cicadawire.Record_CallSettled{CallSettled: settled}})
}

// sweepCalls looks into claims whose entry has not reported an outcome by the
// deadline: the agents are asked, then the service's look-up route; else the
// outcome is recorded as unknown. The call is never run again.
func (o *owner) sweepCalls(ctx context.Context) {
	for cicadaretry.Wait(ctx, jittered(sweepInterval)) {
		for _, claim := range o.overdue(time.Now().UnixMilli()) {
			o.resolve(ctx, claim)
		}
	}
}

func (o *owner) overdue(nowMs int64) []*cicadawire.CallClaimed {
	o.mu.Lock()
	defer o.mu.Unlock()
	var found []*cicadawire.CallClaimed
	for _, call := range o.state.OpenCalls() {
		if nowMs > call.Claim().GetDeadlineMs()+claimMargin.Milliseconds() {
			found = append(found, call.Claim())
		}
	}
	return found
}

func (o *owner) resolve(ctx context.Context, claim *cicadawire.CallClaimed) {
	req := &cicadawire.SettleRequest{
		Customer: claim.GetCustomer(),
		Key:      claim.GetKey(),
		Attempt:  claim.GetAttempt(),
		Outcome:  cicadawire.Settlement_LOST,
	}
	found, err := o.m.lookInto(ctx, lookUp{claim.GetCustomer(), claim.GetService(), claim.GetKey(), claim.GetAttempt()})
	givenUp := time.Now().UnixMilli() > claim.GetDeadlineMs()+lookLimit.Milliseconds()
	switch {
	case errors.Is(err, errNotFoundThere):
		req.Outcome = cicadawire.Settlement_RELEASED
	case err != nil && !givenUp:
		return
	case found != nil:
		req.Outcome = cicadawire.Settlement_ANSWERED
		req.Status, req.Body = found.GetStatus(), found.GetBody()
	}
	o.m.deps.Scope.Counter("claims_looked_into").Inc(1)
	_ = o.settle(ctx, req)
}

// A lookUp names a call whose outcome is asked for: by its attempt at the
// agents, by its key at the service.
type lookUp struct {
	customer string
	service  string
	key      string
	attempt  string
}

// lookInto asks what became of a call. A nil reply means that it cannot be
// known; errNotFoundThere that the service says it has not run; another error
// that it should be asked again later.
func (m *Manager) lookInto(ctx context.Context, l lookUp) (*cicadawire.AttemptReply, error) {
	s, ok := m.deps.Config().Service(l.service)
	if !ok {
		return nil, nil
	}
	reply, err := m.deps.Ask(ctx, s.Group, l.customer, l.attempt)
	if err != nil {
		return nil, merry.Errorf("ask agents: %w", err)
	}
	if reply.GetState() == cicadawire.AttemptState_RUNNING {
		return nil, merry.Errorf("call still runs")
	}
	if reply.GetState() == cicadawire.AttemptState_FINISHED && reply.GetStatus() != 0 {
		return reply, nil
	}
	if s.LookUp == "" {
		return nil, nil
	}
	return m.askService(ctx, l, s.LookUp)
}
