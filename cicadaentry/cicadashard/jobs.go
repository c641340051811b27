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

// Verbs of job operations between entries.
const (
	VerbSubmit = "submit"
	VerbGet    = "get"
	VerbList   = "list"
	VerbCancel = "cancel"
)

const maxListed = 100

// Job carries out a job operation at the owner of the customer's shard. Errors
// for the caller are *cicadaerror.Error.
func (m *Manager) Job(ctx context.Context, req *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	shard := m.ShardOfCustomer(req.GetCustomer())
	var reply *cicadawire.JobReply
	err := m.atOwner(ctx, shard, func(o *owner) error {
		var err error
		reply, err = o.job(ctx, req)
		return err
	}, func(client cicadawire.DRPCEntryClient) error {
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
		return nil, jobError(err)
	}
	return reply, nil
}

func jobError(err error) error {
	var known *cicadaerror.Error
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, cicadaplatform.ErrTooLarge) {
		return cicadaerror.New(cicadaerror.TooLarge, "the job's metadata is too large")
	}
	return cicadaerror.New(cicadaerror.Unavailable, "the job could not be handled now: %w", err).RetryAfter(time.Second)
}

// ServeJob answers another entry's job operation.
func (m *Manager) ServeJob(ctx context.Context, req *cicadawire.JobRequest) *cicadawire.JobReply {
	o, ok := m.owner(m.ShardOfCustomer(req.GetCustomer()))
	if !ok {
		return &cicadawire.JobReply{NotOwner: true}
	}
	reply, err := o.job(ctx, req)
	if errors.Is(err, ErrNotOwner) {
		return &cicadawire.JobReply{NotOwner: true}
	}
	if err != nil {
		e := cicadaerror.From(jobError(err))
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
		if limit <= 0 || limit > maxListed {
			limit = maxListed
		}
		jobs, more := o.jobs(req.GetCustomer(), req.GetAfter(), limit)
		return &cicadawire.JobReply{Jobs: jobs, More: more}, nil
	}
	return nil, cicadaerror.New(cicadaerror.BadRequest, "no job operation %q", req.GetVerb())
}

// submit accepts a job once it is durable. A job of the same key and content is
// the same job.
func (o *owner) submit(ctx context.Context, accepted *cicadawire.JobAccepted) (*cicadawire.JobReply, error) {
	if reply, known, err := o.submitted(accepted); known {
		return reply, err
	}
	record := &cicadawire.Record{Kind: &cicadawire.Record_JobAccepted{JobAccepted: accepted}}
	if err := o.commit(ctx, record); err != nil {
		return nil, err
	}
	reply, _, err := o.submitted(accepted)
	return reply, err
}

func (o *owner) submitted(accepted *cicadawire.JobAccepted) (*cicadawire.JobReply, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, known := o.state.JobByKey(accepted.GetCustomer(), accepted.GetKey())
	if !known {
		return nil, false, ErrNotOwner
	}
	if j.Accepted().GetDigest() != accepted.GetDigest() {
		return nil, true, cicadaerror.New(cicadaerror.KeyReused, "this idempotency key belongs to job %s, which has another content", j.ID())
	}
	return &cicadawire.JobReply{Jobs: []*cicadawire.JobView{o.view(j)}}, true, nil
}

func (o *owner) get(customer, id string) (*cicadawire.JobReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.state.Job(id)
	if !ok || j.Accepted().GetCustomer() != customer {
		return nil, cicadaerror.New(cicadaerror.NotFound, "no batch %q", id)
	}
	return &cicadawire.JobReply{Jobs: []*cicadawire.JobView{o.view(j)}}, nil
}

// cancel makes a cancellation durable; from then on no item is started. A job
// that has ended stays as it is.
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
