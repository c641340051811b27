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
	statusTimeout   = 2 * time.Second
	auditPageSize   = 200
	operatorTimeout = 20 * time.Second
)

// An operatorHandler is a handler for an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, ps httprouter.Params, operator string) error

func (s *Server) addOperatorRoutes(router *httprouter.Router) {
	router.POST(cicadaoperate.PathApply, s.requireOperator(s.apply))
	router.GET(cicadaoperate.PathResources, s.requireOperator(s.listResources))
	router.GET(cicadaoperate.PathAudit, s.requireOperator(s.audit))
	router.POST(cicadaoperate.PathRollBack, s.requireOperator(s.rollBack))
	router.GET(cicadaoperate.PathStatus, s.requireOperator(s.status))
	router.POST(cicadaoperate.PathVMs+"/:name/:verb", s.requireOperator(s.drainVM))
	router.GET(cicadaoperate.PathJobs, s.requireOperator(s.operatorJobs))
	router.POST(cicadaoperate.PathJobs+"/:id/cancel", s.requireOperator(s.operatorCancel))
	router.DELETE(cicadaoperate.PathQuarantine+"/:fingerprint", s.requireOperator(s.releaseQuarantine))
}

// requireOperator wraps a handler that requires an operator's key. A customer's
// key is rejected.
func (s *Server) requireOperator(h operatorHandler) httprouter.Handle {
	return s.handle(func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) error {
		hash, ok := keyHash(r)
		if !ok {
			return cicadaerror.New(cicadaerror.Unauthorized, "the Authorization header has no bearer key").NotRun()
		}
		name, ok := s.OperatorByHash(hash)
		if !ok {
			s.Scope.Counter("operators_refused").Inc(1)
			return cicadaerror.New(cicadaerror.Forbidden, "the key belongs to no operator").NotRun()
		}
		ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
		defer cancel()
		return h(w, r.WithContext(ctx), ps, name)
	})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) error {
	data, err := readLimited(w, r, maxOperatorBodyBytes)
	if err != nil {
		return err
	}
	var in cicadaoperate.ApplyRequest
	if err := json.Unmarshal(data, &in); err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "body is not a valid JSON change request: %s", err).NotRun()
	}
	req, err := changeRequest(&in)
	if err != nil {
		return err
	}
	req.Operator, req.Reason = operator, in.Reason
	return s.applyChange(w, r, req, in.DryRun)
}

func changeRequest(in *cicadaoperate.ApplyRequest) (cicadaconfig.Request, error) {
	req := cicadaconfig.Request{Expected: make(map[cicadaconfig.Reference]int64)}
	if in.Resources != "" {
		resources, err := cicadaconfig.ParseResources(in.File, []byte(in.Resources))
		if err != nil {
			return req, cicadaerror.New(cicadaerror.Unprocessable, "%s", err).NotRun()
		}
		req.Resources = resources
	}
	for _, ref := range in.Deletes {
		req.Deletes = append(req.Deletes, configReference(ref))
	}
	for _, expected := range in.Expected {
		req.Expected[configReference(expected.Reference)] = expected.Revision
	}
	return req, nil
}

func configReference(ref cicadaoperate.Reference) cicadaconfig.Reference {
	return cicadaconfig.Reference{Kind: cicadaconfig.Kind(ref.Kind), Name: ref.Name}
}

// applyChange changes the configuration, or with dryRun only returns the change
// set.
func (s *Server) applyChange(w http.ResponseWriter, r *http.Request, req cicadaconfig.Request, dryRun bool) error {
	store := s.Fleet.ConfigStore()
	if dryRun {
		current, err := store.Load(r.Context())
		if err != nil {
			return changeError(err)
		}
		set, err := store.Plan(current, req)
		if err != nil {
			return changeError(err)
		}
		return writeJSON(w, newChangeBody(current, set))
	}
	before := s.snapshot()
	set, err := store.Apply(r.Context(), req)
	if err != nil {
		return changeError(err)
	}
	if err := s.Fleet.RefreshConfig(r.Context()); err != nil {
		s.Log.Warn("change stored but not yet applied at this entry", "revision", set.GetRevision(), "error", err)
	}
	s.Log.Info("configuration changed", "revision", set.GetRevision(), "operator", set.GetOperator())
	return writeJSON(w, newChangeBody(before, set))
}

func changeError(err error) error {
	var conflict *cicadaconfig.ConflictError
	switch {
	case errors.As(err, &conflict):
		return cicadaerror.New(cicadaerror.Conflict, "%s", conflict.Error()).NotRun()
	case errors.Is(err, cicadaconfig.ErrNoChange):
		return cicadaerror.New(cicadaerror.BadRequest, "the configuration already holds these resources").NotRun()
	case errors.Is(err, cicadaconfig.ErrNotFound):
		return cicadaerror.New(cicadaerror.NotFound, "%s", err).NotRun()
	case cicadaconfig.IsInvalid(err):
		return cicadaerror.New(cicadaerror.Unprocessable, "%s", err).NotRun()
	case errors.Is(err, cicadaplatform.ErrInDoubt):
		return cicadaerror.New(cicadaerror.OutcomeUnknown, "the platform's response was lost: the change may be in effect, see the audit trail")
	}
	return cicadaerror.New(cicadaerror.Unavailable, "the change was not made: %w", err).NotRun().RetryAfter(time.Second)
}

// newChangeBody returns a change set with the names of the affected customers.
func newChangeBody(before *cicadaconfig.Snapshot, set *cicadawire.ChangeSet) cicadaoperate.Change {
	body := cicadaoperate.Change{
		Revision: set.GetRevision(), Operator: set.GetOperator(), AtMs: set.GetAtMs(), Reason: set.GetReason(),
	}
	affected := make(map[string]bool)
	for _, change := range set.GetChanges() {
		body.Changes = append(body.Changes, cicadaoperate.ResourceChange{
			Reference: cicadaoperate.Reference{Kind: change.GetKind(), Name: change.GetName()},
			Before:    string(change.GetBefore()),
			After:     string(change.GetAfter()),
		})
		switch cicadaconfig.Kind(change.GetKind()) {
		case cicadaconfig.KindTemplate:
			for _, name := range before.CustomersByTemplate(change.GetName()) {
				affected[name] = true
			}
		case cicadaconfig.KindCustomer:
			affected[change.GetName()] = true
		}
	}
	for name := range affected {
		body.Customers = append(body.Customers, name)
	}
	body.SortCustomers()
	return body
}

func (s *Server) listResources(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	q := r.URL.Query()
	snapshot := s.snapshot()
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

// audit returns the change sets from the given revision on, oldest first. Without
// a revision it returns the last auditPageSize.
func (s *Server) audit(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	if q.Get("from") == "" {
		from = max(s.snapshot().Revision()-auditPageSize+1, 1)
	}
	var audit cicadaoperate.AuditTrail
	err := s.Fleet.ConfigStore().Audit(r.Context(), from, func(set *cicadawire.ChangeSet) error {
		body := newChangeBody(cicadaconfig.Empty(), set)
		if body.FilterResources(q.Get("kind"), q.Get("name")) {
			audit.Changes = append(audit.Changes, body)
		}
		return nil
	})
	if err != nil {
		return changeError(err)
	}
	return writeJSON(w, audit)
}

func (s *Server) rollBack(w http.ResponseWriter, r *http.Request, _ httprouter.Params, operator string) error {
	data, err := readLimited(w, r, maxOperatorBodyBytes)
	if err != nil {
		return err
	}
	var in cicadaoperate.RollBackRequest
	if err := json.Unmarshal(data, &in); err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "body is not a valid JSON rollback request: %s", err).NotRun()
	}
	req, err := s.Fleet.ConfigStore().RollBack(r.Context(), in.Revision)
	if err != nil {
		return changeError(err)
	}
	req.Operator, req.Reason = operator, in.Reason
	if req.Reason == "" {
		req.Reason = "roll back to revision " + strconv.FormatInt(in.Revision, 10)
	}
	return s.applyChange(w, r, req, in.DryRun)
}

// status queries every entry and returns the status of all entries and agents.
func (s *Server) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status := cicadaoperate.Status{Revision: s.snapshot().Revision()}
	agents := make(map[string]cicadaoperate.AgentStatus)
	var mu sync.Mutex
	var tasks conc.WaitGroup
	for _, vm := range s.Fleet.Table().VMs() {
		if vm.Role != cicadafleet.RoleEntry {
			continue
		}
		tasks.Go(func() {
			reply, err := s.queryEntry(ctx, vm)
			mu.Lock()
			defer mu.Unlock()
			status.Entries = append(status.Entries, entryStatus(vm, reply, err))
			for _, agent := range reply.GetAgents() {
				mergeAgent(agents, agent)
			}
		})
	}
	tasks.Wait()
	for _, vm := range s.Fleet.Table().VMs() {
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

func (s *Server) queryEntry(ctx context.Context, vm cicadaplatform.VM) (*cicadawire.PeerReply, error) {
	if vm.Name == s.Name {
		return s.LocalStatus(), nil
	}
	return cicadawire.NewDRPCEntryClient(s.Pool.Conn(vm.Address)).Peer(ctx, &cicadawire.PeerRequest{})
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

// mergeAgent stores an agent's status as reported by one entry, unless another entry
// has reported the agent as live with the same or a higher revision.
func mergeAgent(agents map[string]cicadaoperate.AgentStatus, agent *cicadawire.PeerAgent) {
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

// drainVM drains an endpoint. The verb stop also stops its agent.
func (s *Server) drainVM(w http.ResponseWriter, r *http.Request, ps httprouter.Params, operator string) error {
	verb, name := ps.ByName("verb"), ps.ByName("name")
	if verb != "drain" && verb != "stop" {
		return cicadaerror.New(cicadaerror.NotFound, "unknown VM operation %q", verb).NotRun()
	}
	for _, vm := range s.Fleet.Table().VMs() {
		if vm.Name != name {
			continue
		}
		if vm.Role != cicadafleet.RoleEndpoint {
			return cicadaerror.New(cicadaerror.Unprocessable, "%s is not an endpoint", name).NotRun()
		}
		client := cicadawire.NewDRPCAgentClient(s.Pool.Conn(vm.Address))
		reply, err := client.Drain(r.Context(), &cicadawire.DrainRequest{Stop: verb == "stop"})
		if err != nil {
			return cicadaerror.New(cicadaerror.Unavailable, "agent of %s is unreachable: %w", name, err)
		}
		s.Log.Info("endpoint drain requested", "endpoint", name, "verb", verb, "operator", operator)
		load := reply.GetLoad()
		return writeJSON(w, cicadaoperate.DrainResult{Name: name, Running: load.GetOnlineRunning() + load.GetBatchRunning()})
	}
	return cicadaerror.New(cicadaerror.NotFound, "no VM %q", name).NotRun()
}

func (s *Server) operatorJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params, _ string) error {
	q := r.URL.Query()
	customers := []string{q.Get("customer")}
	if q.Get("customer") == "" {
		customers = nil
		for _, resource := range s.snapshot().List(cicadaconfig.KindCustomer) {
			customers = append(customers, resource.Name())
		}
	}
	list := listBody[operatorJob]{Object: "list", Data: []operatorJob{}}
	for _, customer := range customers {
		reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{Verb: cicadashard.VerbList, Customer: customer})
		if err != nil {
			return err
		}
		for _, view := range reply.GetJobs() {
			list.Data = append(list.Data, operatorJob{Customer: customer, batchBody: newBatchBody(view)})
		}
	}
	return writeJSON(w, list)
}

type operatorJob struct {
	Customer string `json:"customer"`
	batchBody
}

func (s *Server) operatorCancel(w http.ResponseWriter, r *http.Request, ps httprouter.Params, operator string) error {
	reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{
		Verb: cicadashard.VerbCancel, Customer: r.URL.Query().Get("customer"), Id: ps.ByName("id"),
	})
	if err != nil {
		return err
	}
	s.Log.Info("job cancelled", "job", ps.ByName("id"), "operator", operator)
	return writeJSON(w, newBatchBody(reply.GetJobs()[0]))
}

func (s *Server) releaseQuarantine(w http.ResponseWriter, _ *http.Request, ps httprouter.Params, operator string) error {
	fingerprint, err := strconv.ParseUint(ps.ByName("fingerprint"), 16, 64)
	if err != nil {
		return cicadaerror.New(cicadaerror.BadRequest, "the fingerprint must consist of 16 hex digits").NotRun()
	}
	if !s.Dispatcher.Suspects().Release(fingerprint) {
		return cicadaerror.New(cicadaerror.NotFound, "fingerprint %016x is not suspected at this entry", fingerprint)
	}
	s.Log.Info("quarantine released", "fingerprint", ps.ByName("fingerprint"), "operator", operator)
	return writeJSON(w, struct {
		Released string `json:"released"`
	}{ps.ByName("fingerprint")})
}
