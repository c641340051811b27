package cicadanode

import (
	"context"
	"time"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadawire"
)

// peerService implements the RPC service that an entry offers to other entries.
type peerService struct {
	node *Node
}

// Follow streams the configuration and the VM list to a follower.
func (s *peerService) Follow(req *cicadawire.FollowRequest, stream cicadawire.DRPCEntry_FollowStream) error {
	return s.node.fleet.ServeFollower(stream.Context(), req, stream.Send)
}

// Claim claims a keyed call. Before the shards are started it replies that this
// entry is not the owner, as Settle and Job do.
func (s *peerService) Claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	if s.node.shards == nil {
		return &cicadawire.ClaimReply{State: cicadawire.ClaimState_NOT_OWNER}, nil
	}
	return s.node.shards.ServeClaim(ctx, req), nil
}

// Settle records the outcome of a claimed call.
func (s *peerService) Settle(ctx context.Context, req *cicadawire.SettleRequest) (*cicadawire.SettleReply, error) {
	if s.node.shards == nil {
		return &cicadawire.SettleReply{NotOwner: true}, nil
	}
	return s.node.shards.ServeSettle(ctx, req), nil
}

// Job performs a job operation.
func (s *peerService) Job(ctx context.Context, req *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	if s.node.shards == nil {
		return &cicadawire.JobReply{NotOwner: true}, nil
	}
	return s.node.shards.ServeJob(ctx, req), nil
}

// Grant grants rate-limit tokens. It grants none to an unknown customer.
func (s *peerService) Grant(_ context.Context, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error) {
	customer, ok := s.node.fleet.Config().Snapshot().Customer(req.GetCustomer())
	if !ok {
		return &cicadawire.GrantReply{}, nil
	}
	return s.node.limiter.ServeGrant(customer, req), nil
}

// Suspect records a report of a crash, or of a response that clears the suspicion.
func (s *peerService) Suspect(_ context.Context, report *cicadawire.SuspectReport) (*cicadawire.SuspectVerdict, error) {
	dispatcher, now := s.node.dispatcher, time.Now()
	before := now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond)
	if report.GetCrashed() {
		dispatcher.RecordCrash(cicadadispatch.Crash{
			Fingerprint: report.GetFingerprint(), Endpoint: report.GetEndpoint(), Prefix: report.GetPrefix(),
			SentAt: before, Answered: report.GetAnswered(),
		})
	}
	if report.GetCleared() {
		dispatcher.Suspects().RecordSuccess(report.GetFingerprint())
		if prefix := report.GetPrefix(); prefix != 0 {
			dispatcher.Prefixes().RecordSound(cicadasuspect.SoundPart{Part: prefix, SentAt: before, Complete: report.GetComplete()}, now)
		}
	}
	if ms := report.GetQuarantinedMs(); ms > 0 {
		sound, void := dispatcher.Prefixes().Adopt(cicadasuspect.PartQuarantine{
			Part: report.GetPrefix(), Remaining: time.Duration(ms) * time.Millisecond, Level: int(report.GetQuarantineLevel()),
			Since: before, Early: report.GetEarly(),
		}, now)
		if void {
			s.node.broadcastSoundPrefix(sound)
		}
	}
	return &cicadawire.SuspectVerdict{}, nil
}

// Peer returns the status of this entry.
func (s *peerService) Peer(context.Context, *cicadawire.PeerRequest) (*cicadawire.PeerReply, error) {
	return s.node.localStatus(), nil
}

// localStatus returns the revision, the shards and the known agents of this entry,
// and its counts of platform reads and writes.
func (n *Node) localStatus() *cicadawire.PeerReply {
	reply := &cicadawire.PeerReply{
		Name:           n.cfg.Name,
		Revision:       n.fleet.Config().Snapshot().Revision(),
		PlatformWrites: n.store.Writes(),
		PlatformReads:  n.store.Reads(),
	}
	if n.shards != nil {
		for _, shard := range n.shards.OwnedShards() {
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
