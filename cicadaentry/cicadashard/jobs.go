package cicadashard

import (
	"context"
	"errors"
	"time"

	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Verbs of JobRequest, which name the job operation.
const (
	VerbSubmit = "submit"
	VerbGet    = "get"
	VerbList   = "list"
	VerbCancel = "cancel"
)

const maxListPage = 100

// Job performs a job operation at the owner of the customer's shard. Its errors
// are of type *cicadaerror.Error.
func (m *Manager) Job(ctx context.Context, req *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	shard := m.ShardOfCustomer(req.GetCustomer())
	var reply *cicadawire.JobReply
	err := m.callOwner(ctx, shard, func(o *owner) error {
		var err error
		reply, err = o.job(ctx, req)
		return err
	}, func(ctx context.Context, client cicadawire.DRPCEntryClient) error {
		var err error
		reply, err = client.Job(ctx, req)
		if err != nil || reply.GetNotOwner() {
			return ErrNotOwner
		}
		if reply.GetCode() != "" {
			return cicadaerror.New(cicadaerror.Code(reply.GetCode()), "%s", reply.GetMessage())
		}
		return nil
	})
	if err != nil {
		return nil, toAPIError(err)
	}
	return reply, nil
}

func toAPIError(err error) error {
	var apiErr *cicadaerror.Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	if errors.Is(err, cicadaplatform.ErrTooLarge) {
		return cicadaerror.New(cicadaerror.TooLarge, "the job's metadata is too large to store")
	}
	return cicadaerror.New(cicadaerror.Unavailable, "the job request cannot be handled now: %w", err).RetryAfter(time.Second)
}

// ServeJob handles a job operation from another entry.
func (m *Manager) ServeJob(ctx context.Context, req *cicadawire.JobRequest) *cicadawire.JobReply {
	o, ok := m.localOwner(m.ShardOfCustomer(req.GetCustomer()))
	if !ok {
		return &cicadawire.JobReply{NotOwner: true}
	}
	reply, err := o.job(ctx, req)
	if errors.Is(err, ErrNotOwner) {
		return &cicadawire.JobReply{NotOwner: true}
	}
	if err != nil {
		e := cicadaerror.From(toAPIError(err))
		return &cicadawire.JobReply{Code: string(e.Code()), Message: e.Message()}
	}
	return reply
}

func (o *owner) job(ctx context.Context, req *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	switch req.GetVerb() {
	case VerbSubmit:
		return o.submit(ctx, req.GetJob())
	case VerbCancel:
		return o.cancel(ctx, req.GetCustomer(), req.GetId())
	case VerbGet:
		return o.get(req.GetCustomer(), req.GetId())
	case VerbList:
		limit := int(req.GetLimit())
		if limit <= 0 || limit > maxListPage {
			limit = maxListPage
		}
		jobs, more := o.jobs(req.GetCustomer(), req.GetAfter(), limit)
		return &cicadawire.JobReply{Jobs: jobs, More: more}, nil
	}
	return nil, cicadaerror.New(cicadaerror.BadRequest, "unknown job operation %q", req.GetVerb())
}

// submit records a job and replies once it is durable. Submitting a job with the
// same key and content again returns the existing job.
func (o *owner) submit(ctx context.Context, accepted *cicadawire.JobAccepted) (*cicadawire.JobReply, error) {
	if reply, exists, err := o.jobByKey(accepted); exists {
		return reply, err
	}
	record := &cicadawire.Record{Kind: &cicadawire.Record_JobAccepted{JobAccepted: accepted}}
	if err := o.commit(ctx, record); err != nil {
		return nil, err
	}
	reply, _, err := o.jobByKey(accepted)
	return reply, err
}

func (o *owner) jobByKey(accepted *cicadawire.JobAccepted) (*cicadawire.JobReply, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, exists := o.state.JobByKey(accepted.GetCustomer(), accepted.GetKey())
	if !exists {
		return nil, false, ErrNotOwner
	}
	if j.Accepted().GetDigest() != accepted.GetDigest() {
		return nil, true, cicadaerror.New(cicadaerror.KeyReused, "this idempotency key was used for job %s with different content", j.ID())
	}
	return &cicadawire.JobReply{Jobs: []*cicadawire.JobView{o.jobView(j)}}, true, nil
}

func (o *owner) get(customer, id string) (*cicadawire.JobReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.state.Job(id)
	if !ok || j.Accepted().GetCustomer() != customer {
		return nil, cicadaerror.New(cicadaerror.NotFound, "no batch %q", id)
	}
	return &cicadawire.JobReply{Jobs: []*cicadawire.JobView{o.jobView(j)}}, nil
}

// cancel records a cancellation and replies once it is durable; no item is
// started after that. It does not change a job that has ended.
func (o *owner) cancel(ctx context.Context, customer, id string) (*cicadawire.JobReply, error) {
	reply, err := o.get(customer, id)
	if err != nil {
		return nil, err
	}
	if state := reply.GetJobs()[0].GetState(); state != cicadajob.StateInProgress {
		return reply, nil
	}
	cancelled := &cicadawire.JobCancelled{Job: id, AtMs: time.Now().UnixMilli()}
	record := &cicadawire.Record{Kind: &cicadawire.Record_JobCancelled{JobCancelled: cancelled}}
	if err := o.commit(ctx, record); err != nil {
		return nil, err
	}
	return o.get(customer, id)
}
