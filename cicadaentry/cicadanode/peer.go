package cicadanode

import (
	"context"
	"time"

	"cicadalink.example/cicadakernel/cicadawire"
)

// peerService is the drpc face of an entry towards the other entries.
type peerService struct {
	n *Node
}

// Follow streams configuration and the VM list to a follower.
func (s *peerService) Follow(req *cicadawire.FollowRequest, stream cicadawire.DRPCEntry_FollowStream) error {
	return s.n.fleet.Feed(stream.Context(), req, stream.Send)
}

// Claim asks for the right to run a keyed call.
func (s *peerService) Claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	if s.n.shards == nil {
		return &cicadawire.ClaimReply{State: cicadawire.ClaimState_NOT_OWNER}, nil
	}
	return s.n.shards.ServeClaim(ctx, req), nil
}

// Settle records the outcome of a claimed call.
func (s *peerService) Settle(ctx context.Context, req *cicadawire.SettleRequest) (*cicadawire.SettleReply, error) {
	if s.n.shards == nil {
		return &cicadawire.SettleReply{NotOwner: true}, nil
	}
	return s.n.shards.ServeSettle(ctx, req), nil
}

// Job carries out a job operation.
func (s *peerService) Job(ctx context.Context, req *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	if s.n.shards == nil {
		return &cicadawire.JobReply{NotOwner: true}, nil
	}
	return s.n.shards.ServeJob(ctx, req), nil
}

// Grant leases rate-limit tokens.
func (s *peerService) Grant(_ context.Context, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error) {
	account, ok := s.n.fleet.Config().Snapshot().Customer(req.GetCustomer())
	if !ok {
		return &cicadawire.GrantReply{}, nil
	}
	return s.n.limiter.ServeGrant(account, req), nil
}

// Suspect takes a report of a crash, or of an answer that clears a suspect.
func (s *peerService) Suspect(_ context.Context, report *cicadawire.SuspectReport) (*cicadawire.SuspectVerdict, error) {
	suspects := s.n.dispatcher.Suspects()
	if report.GetCrashed() {
		suspects.Crashed(report.GetFingerprint(), report.GetEndpoint(), time.Now())
	}
	if report.GetCleared() {
		suspects.Answered(report.GetFingerprint())
	}
	return &cicadawire.SuspectVerdict{}, nil
}

// Peer reports what this entry holds.
func (s *peerService) Peer(context.Context, *cicadawire.PeerRequest) (*cicadawire.PeerReply, error) {
	return s.n.peer(), nil
}

// peer returns what this entry holds, for status.
func (n *Node) peer() *cicadawire.PeerReply {
	reply := &cicadawire.PeerReply{
		Name:           n.cfg.Name,
		Revision:       n.fleet.Config().Snapshot().Revision(),
		PlatformWrites: n.store.Writes(),
		PlatformReads:  n.store.Reads(),
	}
	if n.shards != nil {
		for _, shard := range n.shards.Owned() {
			reply.Shards = append(reply.Shards, int32(shard))
		}
	}
	for _, group := range n.fleet.Table().Groups() {
		for _, e := range group.Endpoints() {
			reply.Agents = append(reply.Agents, &cicadawire.PeerAgent{
				Name: e.Name(), Group: e.Group(), State: e.State(), Load: e.Load(),
			})
		}
	}
	return reply
}
