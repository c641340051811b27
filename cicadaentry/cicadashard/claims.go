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
	overdueCheckInterval = time.Second
	// claimGracePeriod is how long after its deadline a claim without an outcome
	// counts as overdue.
	claimGracePeriod = 2 * time.Second
	// maxOutcomeSearch is how long after a claim's deadline failed queries for its
	// outcome are retried. After that the outcome is recorded as unknown.
	maxOutcomeSearch = time.Minute
)

// Claim claims a keyed call, locally or at the shard's owner. The caller may run
// the call only if the reply's state is GRANTED; the claim is durable then.
func (m *Manager) Claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	var reply *cicadawire.ClaimReply
	err := m.callOwner(ctx, m.ShardOfKey(req.GetCustomer(), req.GetKey()), func(o *owner) error {
		var err error
		reply, err = o.claim(ctx, req)
		return err
	}, func(ctx context.Context, client cicadawire.DRPCEntryClient) error {
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

// ServeClaim handles a claim from another entry.
func (m *Manager) ServeClaim(ctx context.Context, req *cicadawire.ClaimRequest) *cicadawire.ClaimReply {
	o, ok := m.localOwner(m.ShardOfKey(req.GetCustomer(), req.GetKey()))
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
	err := m.callOwner(ctx, m.ShardOfKey(req.GetCustomer(), req.GetKey()), func(o *owner) error {
		return o.settle(ctx, req)
	}, func(ctx context.Context, client cicadawire.DRPCEntryClient) error {
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

// ServeSettle handles the outcome of a claimed call from another entry.
func (m *Manager) ServeSettle(ctx context.Context, req *cicadawire.SettleRequest) *cicadawire.SettleReply {
	o, ok := m.localOwner(m.ShardOfKey(req.GetCustomer(), req.GetKey()))
	if !ok {
		return &cicadawire.SettleReply{NotOwner: true}
	}
	if err := o.settle(ctx, req); err != nil {
		return &cicadawire.SettleReply{NotOwner: true}
	}
	return &cicadawire.SettleReply{Recorded: true}
}

// claim records a claim and replies once it is durable, unless the key is claimed
// already. A claim that is repeated with the same attempt is granted again, because
// the reply to the first may have been lost.
func (o *owner) claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	if reply, exists := o.existingClaim(req); exists {
		return reply, nil
	}
	now := time.Now().UnixMilli()
	claimed := &cicadawire.CallClaimed{
		Customer:   req.GetCustomer(),
		Key:        req.GetKey(),
		Digest:     req.GetDigest(),
		Attempt:    req.GetAttempt(),
		AtMs:       now,
		DeadlineMs: now + req.GetBudgetMs(),
		Service:    req.GetService(),
	}
	record := &cicadawire.Record{Kind: &cicadawire.Record_CallClaimed{CallClaimed: claimed}}
	if err := o.commit(ctx, record); err != nil {
		return nil, err
	}
	reply, exists := o.existingClaim(req)
	if !exists {
		return nil, ErrNotOwner
	}
	return reply, nil
}

func (o *owner) existingClaim(req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	call, exists := o.state.Call(req.GetCustomer(), req.GetKey())
	if !exists {
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

// resolveOverdueClaims finds the outcome of claims whose entry has not reported
// one by the deadline. It queries the agents and then the service's look-up
// route, and otherwise records the outcome as unknown. It never runs the call
// again.
func (o *owner) resolveOverdueClaims(ctx context.Context) {
	for cicadaretry.Sleep(ctx, jittered(overdueCheckInterval)) {
		for _, claim := range o.overdueClaims(time.Now().UnixMilli()) {
			o.resolveClaim(ctx, claim)
		}
	}
}

func (o *owner) overdueClaims(nowMs int64) []*cicadawire.CallClaimed {
	o.mu.Lock()
	defer o.mu.Unlock()
	var overdue []*cicadawire.CallClaimed
	for _, call := range o.state.OpenCalls() {
		if nowMs > call.Claim().GetDeadlineMs()+claimGracePeriod.Milliseconds() {
			overdue = append(overdue, call.Claim())
		}
	}
	return overdue
}

func (o *owner) resolveClaim(ctx context.Context, claim *cicadawire.CallClaimed) {
	req := &cicadawire.SettleRequest{
		Customer: claim.GetCustomer(),
		Key:      claim.GetKey(),
		Attempt:  claim.GetAttempt(),
		Outcome:  cicadawire.Settlement_LOST,
	}
	reply, err := o.manager.queryOutcome(ctx, outcomeQuery{claim.GetCustomer(), claim.GetService(), claim.GetKey(), claim.GetAttempt()})
	searchExpired := time.Now().UnixMilli() > claim.GetDeadlineMs()+maxOutcomeSearch.Milliseconds()
	switch {
	case errors.Is(err, errUnknownToService):
		req.Outcome = cicadawire.Settlement_RELEASED
	case err != nil && !searchExpired:
		return
	case reply != nil:
		req.Outcome = cicadawire.Settlement_ANSWERED
		req.Status, req.Body = reply.GetStatus(), reply.GetBody()
	}
	o.manager.deps.Scope.Counter("claims_looked_into").Inc(1)
	_ = o.settle(ctx, req)
}

// An outcomeQuery identifies a call whose outcome is queried. Agents identify it by
// its attempt, the service by its key.
type outcomeQuery struct {
	customer string
	service  string
	key      string
	attempt  string
}

// queryOutcome queries the outcome of a call. A nil reply without an error means
// that the outcome cannot be determined. errUnknownToService means that the call
// has not run according to the service; on other errors the query should be
// repeated later.
func (m *Manager) queryOutcome(ctx context.Context, query outcomeQuery) (*cicadawire.AttemptReply, error) {
	service, ok := m.deps.Config().Service(query.service)
	if !ok {
		return nil, nil
	}
	reply, err := m.deps.QueryAttempt(ctx, service.Group, query.customer, query.attempt)
	if err != nil {
		return nil, merry.Errorf("query agents: %w", err)
	}
	if reply.GetState() == cicadawire.AttemptState_RUNNING {
		return nil, merry.Errorf("call is still running")
	}
	if reply.GetState() == cicadawire.AttemptState_FINISHED && reply.GetStatus() != 0 {
		return reply, nil
	}
	if service.LookUp == "" {
		return nil, nil
	}
	return m.queryService(ctx, query, service.LookUp)
}
