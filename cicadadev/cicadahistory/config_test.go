package cicadahistory

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	// maxPropagation is the required bound on the time from the acceptance of a
	// change until every live process has it.
	maxPropagation   = 5 * time.Second
	numConfigEntries = 6
	numTemplates     = 3
)

// A pipeNetwork connects the entries of a configSimulation with in-memory pipes.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// A pipeListener accepts the connections dialled to one address.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (n *pipeNetwork) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *pipeNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errConnectionLost
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = client.Close()
	_ = server.Close()
	return nil, errConnectionLost
}

// A follower is one incarnation of an entry, reduced to its configuration.
type follower struct {
	process
	name    string
	fleet   *cicadafleet.Fleet
	pool    *cicadawire.Pool
	ctx     context.Context
	cancel  context.CancelFunc
	started chan struct{}
	tasks   conc.WaitGroup
}

// followServer serves Follow. The tests do not use the other calls.
type followServer struct {
	cicadawire.DRPCEntryUnimplementedServer
	f *follower
}

// Follow streams configuration updates.
func (s *followServer) Follow(req *cicadawire.FollowRequest, stream cicadawire.DRPCEntry_FollowStream) error {
	ctx := stream.Context()
	return s.f.fleet.ServeFollower(ctx, req, func(update *cicadawire.FollowUpdate) error {
		if err := s.f.awaitRunning(ctx); err != nil {
			return err
		}
		return stream.Send(update)
	})
}

// A configSimulation is a set of entries that share a configuration.
type configSimulation struct {
	*simulation
	network       pipeNetwork
	followers     [numConfigEntries]*follower
	accepted      []acceptedChange
	lastRevisions [numConfigEntries]int64
}

// An acceptedChange is a change that an operator saw accepted.
type acceptedChange struct {
	revision   int64
	acceptedAt time.Time
}

func newConfigSimulation(t *testing.T, seed uint64, disabled disabledSafeguards) *configSimulation {
	sim := &configSimulation{simulation: newStoreSimulation(t, seed, disabled)}
	sim.network.listeners = make(map[string]*pipeListener)
	for i := range numConfigEntries {
		name := fmt.Sprintf("entry-%d", i)
		sim.memory.SetVM(cicadaplatform.VM{
			Name: name, Role: cicadafleet.RoleEntry, DataCentre: fmt.Sprintf("dc-%d", i%2), Address: name, State: cicadaplatform.VMLive,
		})
	}
	for i := range numConfigEntries {
		sim.followers[i] = sim.newFollower(i)
	}
	return sim
}

func (sim *configSimulation) newFollower(i int) *follower {
	f := &follower{name: fmt.Sprintf("entry-%d", i), started: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(sim.ctx)
	f.pool = cicadawire.NewPool(cicadawire.WithDial(sim.network.dial))
	opts := []cicadaplatform.ClientOption{cicadaplatform.WithWriteRate(10000), cicadaplatform.WithDeadline(time.Second)}
	if sim.disabled.readBack {
		opts = append(opts, cicadaplatform.WithoutReadBack())
	}
	store := cicadaplatform.NewClient(sim.backend(&f.process), opts...)
	f.fleet = cicadafleet.New(cicadamember.Member{Name: f.name, DataCentre: fmt.Sprintf("dc-%d", i%2)}, store,
		cicadaconfig.NewStore(store, sim.nonce), f.pool)
	listener := sim.network.listen(f.name)
	server := cicadawire.NewServer()
	assert.NilError(sim.t, cicadawire.DRPCRegisterEntry(server.Mux(), &followServer{f: f}))
	f.tasks.Go(func() { _ = server.Serve(f.ctx, listener) })
	f.tasks.Go(func() {
		if f.fleet.Start(f.ctx) == nil {
			close(f.started)
		}
	})
	return f
}

func (f *follower) close() {
	f.cancel()
	f.resume()
	f.fleet.Close()
	_ = f.pool.Close()
	f.tasks.Wait()
}

func (f *follower) isStarted() bool {
	select {
	case <-f.started:
		return true
	default:
		return false
	}
}

func (sim *configSimulation) follower(i int) *follower {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.followers[i]
}

// restart kills an entry and starts a new incarnation up to 3 s later.
func (sim *configSimulation) restart(i int) {
	old := sim.follower(i)
	if !old.kill() {
		return
	}
	old.close()
	sim.sleep(time.Duration(sim.intn(3000)) * time.Millisecond)
	replacement := sim.newFollower(i)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.followers[i] = replacement
}

func (sim *configSimulation) closeAll() {
	sim.setFaults(faults{})
	sim.cancel()
	sim.tasks.Wait()
	for i := range numConfigEntries {
		sim.follower(i).close()
	}
}

// A changeInput is an operator's change of one resource, conditional on the
// revision at which it was read.
type changeInput struct {
	name     string
	expected int64
}

func (in changeInput) key() string { return in.name }

// A changeOutput is the outcome of a change as its operator saw it.
type changeOutput struct {
	revision       int64
	conflict       bool
	outcomeUnknown bool
	notApplied     bool
}

// configModel is a register per resource whose value is the revision that last
// changed it.
var configModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(changeInput), output.(changeOutput)
		switch {
		case out.notApplied:
			return true, state
		case out.outcomeUnknown:
			return true, state
		case out.conflict:
			return state.(int64) != in.expected, state
		}
		return state.(int64) == in.expected && out.revision > in.expected, out.revision
	},
}

// changeTemplate changes a random template through a random entry, conditional on
// the revision that this entry holds.
func (sim *configSimulation) changeTemplate(client int) {
	f := sim.follower(sim.intn(numConfigEntries))
	if !f.isStarted() || f.awaitRunning(sim.ctx) != nil {
		return
	}
	name := fmt.Sprintf("desk-%d", sim.intn(numTemplates))
	ref := cicadaconfig.Reference{Kind: cicadaconfig.KindTemplate, Name: name}
	current, _ := f.fleet.Config().Snapshot().Get(ref.Kind, ref.Name)
	text := fmt.Sprintf("kind: template\nname: %s\ndescription: d%x\nparameters: {}\n", name, sim.nonce())
	resources, err := cicadaconfig.ParseResources("change.yaml", []byte(text))
	assert.NilError(sim.t, err)
	call := sim.logicalClock.Add(1)
	ctx, cancel := context.WithTimeout(sim.ctx, 20*time.Second)
	defer cancel()
	set, err := f.fleet.ConfigStore().Apply(ctx, cicadaconfig.Request{
		Operator: fmt.Sprint("operator-", client), Resources: resources, Expected: map[cicadaconfig.Reference]int64{ref: current.Revision()},
	})
	running := f.awaitRunning(sim.ctx) == nil
	var conflict *cicadaconfig.ConflictError
	in := changeInput{name, current.Revision()}
	switch {
	case running && err == nil:
		sim.recordAccepted(set.GetRevision())
		sim.record(client, in, call, changeOutput{revision: set.GetRevision()})
	case running && errors.As(err, &conflict):
		sim.record(client, in, call, changeOutput{conflict: true})
	case running && errors.Is(err, cicadaplatform.ErrUnavailable) && !errors.Is(err, cicadaplatform.ErrInDoubt):
		sim.record(client, in, call, changeOutput{notApplied: true})
	default:
		sim.recordUnreturned(client, in, call, changeOutput{outcomeUnknown: true})
	}
}

func (sim *configSimulation) recordAccepted(revision int64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.accepted = append(sim.accepted, acceptedChange{revision, time.Now()})
}

// checkRevisions checks that no entry's revision decreases, even across restarts,
// and that every running entry has each accepted change within maxPropagation.
func (sim *configSimulation) checkRevisions() error {
	for i := range numConfigEntries {
		f := sim.follower(i)
		if !f.isStarted() {
			continue
		}
		f.mu.Lock()
		unresponsive := f.killed || f.resumed != nil
		f.mu.Unlock()
		if unresponsive {
			continue
		}
		revision := f.fleet.Config().Snapshot().Revision()
		if revision < sim.lastRevisions[i] {
			return fmt.Errorf("revision of %s decreased from %d to %d", f.name, sim.lastRevisions[i], revision)
		}
		sim.lastRevisions[i] = revision
		sim.mu.Lock()
		accepted := sim.accepted
		sim.mu.Unlock()
		for _, a := range accepted {
			if time.Since(a.acceptedAt) > maxPropagation && revision < a.revision {
				return fmt.Errorf("%s (watcher: %t) is at revision %d, but revision %d was accepted %s ago: %s",
					f.name, f.fleet.IsWatcher(), revision, a.revision, time.Since(a.acceptedAt), sim.describeRevisions())
			}
		}
	}
	return nil
}

// describeRevisions lists the revision at each entry.
func (sim *configSimulation) describeRevisions() string {
	var text strings.Builder
	for i := range numConfigEntries {
		f := sim.follower(i)
		fmt.Fprintf(&text, "%s started=%t watcher=%t revision=%d; ", f.name, f.isStarted(), f.fleet.IsWatcher(), f.fleet.Config().Snapshot().Revision())
	}
	return text.String()
}

// runConfig has operators make concurrent changes while entries restart and store calls
// are delayed, refused or lose their reply, and checks the revisions and the history.
func runConfig(t *testing.T, seed uint64, disabled disabledSafeguards) error {
	sim := newConfigSimulation(t, seed, disabled)
	defer sim.closeAll()
	for client := range 4 {
		sim.tasks.Go(func() {
			for range 12 {
				sim.sleep(time.Duration(sim.intn(3000)) * time.Millisecond)
				sim.changeTemplate(client)
			}
		})
	}
	end := time.Now().Add(50 * time.Second)
	for time.Now().Before(end) {
		sim.sleep(100 * time.Millisecond)
		if err := sim.checkRevisions(); err != nil && !disabled.readBack {
			return err
		}
		switch sim.intn(30) {
		case 0:
			i := sim.intn(numConfigEntries)
			sim.tasks.Go(func() { sim.restart(i) })
		case 1:
			sim.setFaults(sim.configFaults())
		case 2:
			sim.setFaults(faults{})
		}
	}
	sim.setFaults(faults{})
	sim.sleep(2 * maxPropagation)
	if err := sim.checkRevisions(); err != nil && !disabled.readBack {
		return err
	}
	return sim.checkConfig()
}

// configFaults returns the store faults of a run. If read-back is disabled, many
// replies to creates are lost, so that a few seeds suffice to show a violation.
func (sim *configSimulation) configFaults() faults {
	if sim.disabled.readBack {
		return faults{loseCreateReply: 40}
	}
	return faults{refuse: 10, loseReply: 20}
}

// checkConfig checks the operators' history for linearizability. Changes of the audit
// trail that no operator saw accepted are added to the history. There must not be more
// of them than changes with an unknown outcome.
func (sim *configSimulation) checkConfig() error {
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(sim.memory.Backend()), sim.nonce)
	changeSets := make(map[int64]*cicadawire.ChangeSet)
	err := store.Audit(context.Background(), 1, func(set *cicadawire.ChangeSet) error {
		changeSets[set.GetRevision()] = set
		return nil
	})
	if err != nil {
		return err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	history := sim.history
	known := make(map[int64]bool)
	for _, op := range history {
		known[op.Output.(changeOutput).revision] = true
	}
	delete(known, 0)
	for revision, set := range changeSets {
		if known[revision] {
			continue
		}
		change := set.GetChanges()[0]
		history = append(history, porcupine.Operation{
			ClientId: 100 + int(revision), Input: changeInput{change.GetName(), change.GetBeforeRevision()},
			Call: 0, Output: changeOutput{revision: revision}, Return: noReturn,
		})
	}
	if unknown := countUnknown(history); len(changeSets)-len(known) > unknown {
		return fmt.Errorf("audit trail has %d changes, but operators saw %d accepted and %d with unknown outcome", len(changeSets), len(known), unknown)
	}
	return checkLinearizable(configModel, history)
}

func countUnknown(history []porcupine.Operation) int {
	n := 0
	for _, op := range history {
		if op.Output.(changeOutput).outcomeUnknown {
			n++
		}
	}
	return n
}

func TestHistoryConfig(t *testing.T) {
	t.Parallel()
	forEachSeed(t, func(t *testing.T, seed uint64) {
		assert.NilError(t, runConfig(t, seed, disabledSafeguards{}), "seed %d", seed)
	})
}

func TestHistoryConfigDetectMissingReadBack(t *testing.T) {
	requireViolation(t, disabledSafeguards{readBack: true}, runConfig)
}

func TestHistoryConfigDetectMissingFence(t *testing.T) {
	requireViolation(t, disabledSafeguards{fence: true}, runConfig)
}
