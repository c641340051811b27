package cicadafront

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadaentry/cicadashard"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadaoperate"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	statusTimeout = 2 * time.Second
	auditPage     = 200
	operatorTime  = 20 * time.Second
)

// An operatorHandler is a handler for an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, ps httprouter.Params, operator string) error

func (f *Front) addOperatorRoutes(router *httprouter.Router) {
	router.POST(cicadaoperate.PathApply, f.operator(f.apply))
	router.GET(cicadaoperate.PathResources, f.operator(f.resources))
	router.GET(cicadaoperate.PathAudit, f.operator(f.audit))
	router.POST(cicadaoperate.PathRollBack, f.operator(f.rollBack))
	router.GET(cicadaoperate.PathStatus, f.operator(f.status))
	router.POST(cicadaoperate.PathVMs+"/:name/:verb", f.operator(f.drainVM))
	router.GET(cicadaoperate.PathJobs, f.operator(f.operatorJobs))
	router.POST(cicadaoperate.PathJobs+"/:id/cancel", f.operator(f.operatorCancel))
	router.DELETE(cicadaoperate.PathQuarantine+"/:fingerprint", f.operator(f.releaseQuarantine))
}

// operator wraps a handler that needs an operator's key. A caller's key is not
// one.
func (f *Front) operator(h operatorHandler) httprouter.Handle {
	return f.route(func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) error {
		hash, ok := keyHash(r)
		if !ok {
			return cicadaerror.New(cicadaerror.Unauthorized, "an operator's bearer key is missing").NotRun()
		}
		name, ok := f.Operator(hash)
		if !ok {
			f.Scope.Counter("operators_refused").Inc(1)
			return cicadaerror.New(cicadaerror.Forbidden, "the key is not an operator's").NotRun()
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTime)
		defer cancel()
		return h(w, r.WithContext(ctx), ps, name)
	})
}

func (f *Front) apply(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) error {
	data, err := readUpTo(w, r, operatorBody)
	if err != nil {
		return err
	}
	var in cicadaoperate.Apply
	if err := json.Unmarshal(data, &in); err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "body is not a JSON object of a change: %s", err).NotRun()
	}
	req, err := changeRequest(&in)
	if err != nil {
		return err
	}
	req.Operator, req.Reason = operator, in.Reason
	return f.change(w, r, req, in.DryRun)
}

func changeRequest(in *cicadaoperate.Apply) (cicadaconfig.Request, error) {
	req := cicadaconfig.Request{Expected: make(map[cicadaconfig.Reference]int64)}
	if in.Resources != "" {
		resources, err := cicadaconfig.ParseResources(in.File, []byte(in.Resources))
		if err != nil {
			return req, cicadaerror.New(cicadaerror.Unprocessable, "%s", err).NotRun()
		}
		req.Resources = resources
	}
	for _, ref := range in.Deletes {
		req.Deletes = append(req.Deletes, reference(ref))
	}
	for _, expected := range in.Expected {
		req.Expected[reference(expected.Reference)] = expected.Revision
	}
	return req, nil
}

func reference(ref cicadaoperate.Reference) cicadaconfig.Reference {
	return cicadaconfig.Reference{Kind: cicadaconfig.Kind(ref.Kind), Name: ref.Name}
}

// change makes a change, or with dryRun shows what it would be.
func (f *Front) change(w http.ResponseWriter, r *http.Request, req cicadaconfig.Request, dryRun bool) error {
	source := f.Fleet.Source()
	if dryRun {
		current, err := source.Load(r.Context())
		if err != nil {
			return changeError(err)
		}
		set, err := source.Plan(current, req)
		if err != nil {
			return changeError(err)
		}
		return writeJSON(w, changeBody(current, set))
	}
	before := f.snapshot()
	set, err := source.Apply(r.Context(), req)
	if err != nil {
		return changeError(err)
	}
	if err := f.Fleet.CatchUp(r.Context()); err != nil {
		f.Log.Warn("change made but not yet in force here", "revision", set.GetRevision(), "error", err)
	}
	f.Log.Info("configuration changed", "revision", set.GetRevision(), "operator", set.GetOperator())
	return writeJSON(w, changeBody(before, set))
}

func changeError(err error) error {
	var conflict *cicadaconfig.ConflictError
	switch {
	case errors.As(err, &conflict):
		return cicadaerror.New(cicadaerror.Conflict, "%s", conflict.Error()).NotRun()
	case errors.Is(err, cicadaconfig.ErrNoChange):
		return cicadaerror.New(cicadaerror.BadRequest, "the resources are in force as they are").NotRun()
	case errors.Is(err, cicadaconfig.ErrNotFound):
		return cicadaerror.New(cicadaerror.NotFound, "%s", err).NotRun()
	case cicadaconfig.IsInvalid(err):
		return cicadaerror.New(cicadaerror.Unprocessable, "%s", err).NotRun()
	case errors.Is(err, cicadaplatform.ErrInDoubt):
		return cicadaerror.New(cicadaerror.OutcomeUnknown, "the platform's answer was lost: the change may be in force, see the audit trail")
	}
	return cicadaerror.New(cicadaerror.Unavailable, "the change was not made: %w", err).NotRun().RetryAfter(time.Second)
}

// changeBody shows a change set and the customers that it touches.
func changeBody(before *cicadaconfig.Snapshot, set *cicadawire.ChangeSet) cicadaoperate.Change {
	body := cicadaoperate.Change{
		Revision: set.GetRevision(), Operator: set.GetOperator(), AtMs: set.GetAtMs(), Reason: set.GetReason(),
	}
	touched := make(map[string]bool)
	for _, change := range set.GetChanges() {
		body.Changes = append(body.Changes, cicadaoperate.Delta{
			Reference: cicadaoperate.Reference{Kind: change.GetKind(), Name: change.GetName()},
			Before:    string(change.GetBefore()),
			After:     string(change.GetAfter()),
		})
		switch cicadaconfig.Kind(change.GetKind()) {
		case cicadaconfig.KindTemplate:
			for _, name := range before.CustomersOf(change.GetName()) {
				touched[name] = true
			}
		case cicadaconfig.KindCustomer:
			touched[change.GetName()] = true
		}
	}
	for name := range touched {
		body.Customers = append(body.Customers, name)
	}
	body.Sort()
	return body
}

func (f *Front) resources(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	q := r.URL.Query()
	snapshot := f.snapshot()
	list := cicadaoperate.Resources{Revision: snapshot.Revision()}
	for _, resource := range snapshot.List(cicadaconfig.Kind(q.Get("kind"))) {
		if name := q.Get("name"); name != "" && name != resource.Name() {
			continue
		}
		list.Resources = append(list.Resources, cicadaoperate.Resource{
			Reference: cicadaoperate.Reference{Kind: string(resource.Kind()), Name: resource.Name()},
			Revision:  resource.Revision(),
			Body:      string(resource.Body()),
		})
	}
	if q.Get("name") != "" && len(list.Resources) == 0 {
		return cicadaerror.New(cicadaerror.NotFound, "no %s named %q", q.Get("kind"), q.Get("name"))
	}
	return writeJSON(w, list)
}

// audit returns change sets, the newest last, from the revision given on.
func (f *Front) audit(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	if q.Get("from") == "" {
		from = max(f.snapshot().Revision()-auditPage+1, 1)
	}
	var trail cicadaoperate.Audit
	err := f.Fleet.Source().Audit(r.Context(), from, func(set *cicadawire.ChangeSet) error {
		body := changeBody(cicadaconfig.Empty(), set)
		if body.Keep(q.Get("kind"), q.Get("name")) {
			trail.Changes = append(trail.Changes, body)
		}
		return nil
	})
	if err != nil {
		return changeError(err)
	}
	return writeJSON(w, trail)
}

func (f *Front) rollBack(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) error {
	data, err := readUpTo(w, r, operatorBody)
	if err != nil {
		return err
	}
	var in cicadaoperate.RollBack
	if err := json.Unmarshal(data, &in); err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "body is not a JSON object of a rollback: %s", err).NotRun()
	}
	req, err := f.Fleet.Source().RollBack(r.Context(), in.Revision)
	if err != nil {
		return changeError(err)
	}
	req.Operator, req.Reason = operator, in.Reason
	if req.Reason == "" {
		req.Reason = "roll back to revision " + strconv.FormatInt(in.Revision, 10)
	}
	return f.change(w, r, req, in.DryRun)
}

// status asks every entry what it holds.
func (f *Front) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status := cicadaoperate.Status{Revision: f.snapshot().Revision()}
	agents := make(map[string]cicadaoperate.AgentStatus)
	var mu sync.Mutex
	var tasks conc.WaitGroup
	for _, vm := range f.Fleet.Table().VMs() {
		if vm.Role != cicadafleet.RoleEntry {
			continue
		}
		tasks.Go(func() {
			reply, err := f.askPeer(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			status.Entries = append(status.Entries, entryStatus(vm, reply, err))
			for _, agent := range reply.GetAgents() {
				addAgent(agents, agent)
			}
		})
	}
	tasks.Wait()
	for _, vm := range f.Fleet.Table().VMs() {
		if vm.Role == cicadafleet.RoleEntry {
			continue
		}
		agent, known := agents[vm.Name]
		if !known {
			agent = cicadaoperate.AgentStatus{Name: vm.Name, Group: vm.Group, State: "unseen"}
		}
		agent.DataCentre, agent.VMState = vm.DataCentre, string(vm.State)
		status.Agents = append(status.Agents, agent)
	}
	status.Sort()
	return writeJSON(w, status)
}

func (f *Front) askPeer(ctx context.Context, vm cicadaplatform.VM) (*cicadawire.PeerReply, error) {
	if vm.Name == f.Name {
		return f.Peer(), nil
	}
	return cicadawire.NewDRPCEntryClient(f.Pool.Conn(vm.Address)).Peer(ctx, &cicadawire.PeerRequest{})
}

func entryStatus(vm cicadaplatform.VM, reply *cicadawire.PeerReply, err error) cicadaoperate.EntryStatus {
	status := cicadaoperate.EntryStatus{Name: vm.Name, DataCentre: vm.DataCentre, State: string(vm.State)}
	if err != nil {
		status.State = "unreached"
		return status
	}
	status.Revision = reply.GetRevision()
	status.Shards = reply.GetShards()
	status.PlatformReads, status.PlatformWrites = reply.GetPlatformReads(), reply.GetPlatformWrites()
	return status
}

func addAgent(agents map[string]cicadaoperate.AgentStatus, agent *cicadawire.PeerAgent) {
	load := agent.GetLoad()
	known, seen := agents[agent.GetName()]
	if seen && known.Revision >= load.GetRevision() && known.State == "live" {
		return
	}
	agents[agent.GetName()] = cicadaoperate.AgentStatus{
		Name: agent.GetName(), Group: agent.GetGroup(), State: agent.GetState(), Revision: load.GetRevision(),
		Slots: load.GetSlots(), Online: load.GetOnlineRunning(), OnlineWaiting: load.GetOnlineWaiting(),
		Batch: load.GetBatchRunning(), BatchWaiting: load.GetBatchWaiting(),
	}
}

// drainVM makes an endpoint leave; stop also ends its agent.
func (f *Front) drainVM(w http.ResponseWriter, r *http.Request, ps httprouter.Params, operator string) error {
	verb, name := ps.ByName("verb"), ps.ByName("name")
	if verb != "drain" && verb != "stop" {
		return cicadaerror.New(cicadaerror.NotFound, "no operation %q on a VM", verb).NotRun()
	}
	for _, vm := range f.Fleet.Table().VMs() {
		if vm.Name != name {
			continue
		}
		if vm.Role != cicadafleet.RoleEndpoint {
			return cicadaerror.New(cicadaerror.Unprocessable, "%s is not an endpoint", name).NotRun()
		}
		client := cicadawire.NewDRPCAgentClient(f.Pool.Conn(vm.Address))
		reply, err := client.Drain(r.Context(), &cicadawire.DrainRequest{Stop: verb == "stop"})
		if err != nil {
			return cicadaerror.New(cicadaerror.Unavailable, "agent of %s not reached: %w", name, err)
		}
		f.Log.Info("endpoint told to leave", "endpoint", name, "verb", verb, "operator", operator)
		load := reply.GetLoad()
		return writeJSON(w, cicadaoperate.Drained{Name: name, Running: load.GetOnlineRunning() + load.GetBatchRunning()})
	}
	return cicadaerror.New(cicadaerror.NotFound, "no VM %q", name).NotRun()
}

func (f *Front) operatorJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	q := r.URL.Query()
	customers := []string{q.Get("customer")}
	if q.Get("customer") == "" {
		customers = nil
		for _, resource := range f.snapshot().List(cicadaconfig.KindCustomer) {
			customers = append(customers, resource.Name())
		}
	}
	list := listBody[operatorJob]{Object: "list", Data: []operatorJob{}}
	for _, customer := range customers {
		reply, err := f.Shards.Job(r.Context(), &cicadawire.JobRequest{Verb: cicadashard.VerbList, Customer: customer})
		if err != nil {
			return err
		}
		for _, view := range reply.GetJobs() {
			list.Data = append(list.Data, operatorJob{Customer: customer, batchBody: batchOf(view)})
		}
	}
	return writeJSON(w, list)
}

type operatorJob struct {
	Customer string `json:"customer"`
	batchBody
}

func (f *Front) operatorCancel(w http.ResponseWriter, r *http.Request, ps httprouter.Params, operator string) error {
	reply, err := f.Shards.Job(r.Context(), &cicadawire.JobRequest{
		Verb: cicadashard.VerbCancel, Customer: r.URL.Query().Get("customer"), Id: ps.ByName("id"),
	})
	if err != nil {
		return err
	}
	f.Log.Info("job cancelled", "job", ps.ByName("id"), "operator", operator)
	return writeJSON(w, batchOf(reply.GetJobs()[0]))
}

func (f *Front) releaseQuarantine(w http.ResponseWriter, _ *http.Request, ps httprouter.Params, operator string) error {
	fingerprint, err := strconv.ParseUint(ps.ByName("fingerprint"), 16, 64)
	if err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "a fingerprint has 16 hex digits").NotRun()
	}
	if !f.Dispatcher.Suspects().Release(fingerprint) {
		return cicadaerror.New(cicadaerror.NotFound, "no suspect %016x at this entry", fingerprint)
	}
	f.Log.Info("quarantine released", "fingerprint", ps.ByName("fingerprint"), "operator", operator)
	return writeJSON(w, struct {
		Released string `json:"released"`
	}{ps.ByName("fingerprint")})
}
