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
	// inForceWithin is the users' bound on the time from a change's acceptance
	// until every live process has it.
	inForceWithin = 5 * time.Second
	configEntries = 6
	configNames   = 3
)

// A pipeNet is a network of pipes between the entries of a configWorld.
type pipeNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// A pipeListener accepts the pipes that are dialled to one address.
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

// Close ends Accept.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns no real address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

func (n *pipeNet) listen(address string) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *pipeNet) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errCut
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = ours.Close()
	_ = theirs.Close()
	return nil, errCut
}

// A follower is one incarnation of an entry that holds configuration.
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

// followService serves Follow; the other calls are not used here.
type followService struct {
	cicadawire.DRPCEntryUnimplementedServer
	f *follower
}

// Follow streams configuration.
func (s *followService) Follow(req *cicadawire.FollowRequest, stream cicadawire.DRPCEntry_FollowStream) error {
	ctx := stream.Context()
	return s.f.fleet.ServeFollower(ctx, req, func(update *cicadawire.FollowUpdate) error {
		if err := s.f.enter(ctx); err != nil {
			return err
		}
		return stream.Send(update)
	})
}

// A configWorld is a set of entries that share a configuration.
type configWorld struct {
	*world
	network   pipeNet
	followers [configEntries]*follower
	accepted  []acceptance
	seen      [configEntries]int64
}

// An acceptance is a change that its operator knows to be accepted.
type acceptance struct {
	revision int64
	at       time.Time
}

func newConfigWorld(t *testing.T, seed uint64, protect protections) *configWorld {
	w := &configWorld{world: newBareWorld(t, seed, protect)}
	w.network.listeners = make(map[string]*pipeListener)
	for i := range configEntries {
		name := fmt.Sprintf("entry-%d", i)
		w.memory.SetVM(cicadaplatform.VM{
			Name: name, Role: cicadafleet.RoleEntry, DataCentre: fmt.Sprintf("dc-%d", i%2), Address: name, State: cicadaplatform.VMLive,
		})
	}
	for i := range configEntries {
		w.followers[i] = w.newFollower(i)
	}
	return w
}

func (w *configWorld) newFollower(i int) *follower {
	f := &follower{name: fmt.Sprintf("entry-%d", i), started: make(chan struct{})}
	f.ctx, f.cancel = context.WithCancel(w.ctx)
	f.pool = cicadawire.NewPool(cicadawire.WithDial(w.network.dial))
	opts := []cicadaplatform.ClientOption{cicadaplatform.WithWriteRate(10000), cicadaplatform.WithDeadline(time.Second)}
	if w.protect.noReadBack {
		opts = append(opts, cicadaplatform.WithoutReadBack())
	}
	store := cicadaplatform.NewClient(w.backend(&f.process), opts...)
	f.fleet = cicadafleet.New(cicadamember.Member{Name: f.name, DataCentre: fmt.Sprintf("dc-%d", i%2)}, store,
		cicadaconfig.NewStore(store, w.nonce), f.pool)
	listener := w.network.listen(f.name)
	server := cicadawire.NewServer()
	assert.NilError(w.t, cicadawire.DRPCRegisterEntry(server.Mux(), &followService{f: f}))
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

func (w *configWorld) follower(i int) *follower {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.followers[i]
}

// restart kills an entry and starts it anew.
func (w *configWorld) restart(i int) {
	old := w.follower(i)
	if !old.kill() {
		return
	}
	old.close()
	w.sleep(time.Duration(w.intn(3000)) * time.Millisecond)
	fresh := w.newFollower(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers[i] = fresh
}

func (w *configWorld) closeAll() {
	w.setFaults(faults{})
	w.cancel()
	w.tasks.Wait()
	for i := range configEntries {
		w.follower(i).close()
	}
}

// A changeInput is an operator's change of one resource, made from the revision
// at which it was read.
type changeInput struct {
	name     string
	expected int64
}

func (in changeInput) key() string { return in.name }

// A changeOutput is what the operator learnt.
type changeOutput struct {
	revision int64
	conflict bool
	unknown  bool
	notMade  bool
}

// configModel is a register per resource whose value is the revision that last
// changed it.
var configModel = porcupine.Model{
	Partition: partitionBy,
	Init:      func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(changeInput), output.(changeOutput)
		switch {
		case out.notMade:
			return true, state
		case out.unknown:
			return true, state
		case out.conflict:
			return state.(int64) != in.expected, state
		}
		return state.(int64) == in.expected && out.revision > in.expected, out.revision
	},
}

// operate changes a resource through a random entry, from what that entry
// holds.
func (w *configWorld) operate(client int) {
	f := w.follower(w.intn(configEntries))
	if !f.isStarted() || f.enter(w.ctx) != nil {
		return
	}
	name := fmt.Sprintf("desk-%d", w.intn(configNames))
	ref := cicadaconfig.Reference{Kind: cicadaconfig.KindTemplate, Name: name}
	held, _ := f.fleet.Config().Snapshot().Get(ref.Kind, ref.Name)
	text := fmt.Sprintf("kind: template\nname: %s\ndescription: d%x\nparameters: {}\n", name, w.nonce())
	resources, err := cicadaconfig.ParseResources("change.yaml", []byte(text))
	assert.NilError(w.t, err)
	call := w.clock.Add(1)
	ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
	defer cancel()
	set, err := f.fleet.ConfigStore().Apply(ctx, cicadaconfig.Request{
		Operator: fmt.Sprint("operator-", client), Resources: resources, Expected: map[cicadaconfig.Reference]int64{ref: held.Revision()},
	})
	alive := f.enter(w.ctx) == nil
	var conflict *cicadaconfig.ConflictError
	in := changeInput{name, held.Revision()}
	switch {
	case alive && err == nil:
		w.accept(set.GetRevision())
		w.record(client, in, call, changeOutput{revision: set.GetRevision()})
	case alive && errors.As(err, &conflict):
		w.record(client, in, call, changeOutput{conflict: true})
	case alive && errors.Is(err, cicadaplatform.ErrUnavailable) && !errors.Is(err, cicadaplatform.ErrInDoubt):
		w.record(client, in, call, changeOutput{notMade: true})
	default:
		w.recordOpen(client, in, call, changeOutput{unknown: true})
	}
}

func (w *configWorld) accept(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, acceptance{revision, time.Now()})
}

// observe checks that no entry's revision goes back, restarts included, and that
// every accepted change is in force at every started entry in time.
func (w *configWorld) observe() error {
	for i := range configEntries {
		f := w.follower(i)
		if !f.isStarted() {
			continue
		}
		f.mu.Lock()
		stopped := f.dead || f.resumed != nil
		f.mu.Unlock()
		if stopped {
			continue
		}
		revision := f.fleet.Config().Snapshot().Revision()
		if revision < w.seen[i] {
			return fmt.Errorf("%s went back from revision %d to %d", f.name, w.seen[i], revision)
		}
		w.seen[i] = revision
		w.mu.Lock()
		accepted := w.accepted
		w.mu.Unlock()
		for _, a := range accepted {
			if time.Since(a.at) > inForceWithin && revision < a.revision {
				return fmt.Errorf("%s (watches: %t) holds revision %d, and %d was accepted %s ago; %s",
					f.name, f.fleet.IsWatcher(), revision, a.revision, time.Since(a.at), w.revisions())
			}
		}
	}
	return nil
}

// revisions lists what each entry holds.
func (w *configWorld) revisions() string {
	var text strings.Builder
	for i := range configEntries {
		f := w.follower(i)
		fmt.Fprintf(&text, "%s started=%t watches=%t revision=%d; ", f.name, f.isStarted(), f.fleet.IsWatcher(), f.fleet.Config().Snapshot().Revision())
	}
	return text.String()
}

// runConfig has operators race while watches come late, calls get lost, and
// entries restart.
func runConfig(t *testing.T, seed uint64, protect protections) error {
	w := newConfigWorld(t, seed, protect)
	defer w.closeAll()
	for client := range 4 {
		w.tasks.Go(func() {
			for range 12 {
				w.sleep(time.Duration(w.intn(3000)) * time.Millisecond)
				w.operate(client)
			}
		})
	}
	end := time.Now().Add(50 * time.Second)
	for time.Now().Before(end) {
		w.sleep(100 * time.Millisecond)
		if err := w.observe(); err != nil && !protect.noReadBack {
			return err
		}
		switch w.intn(30) {
		case 0:
			i := w.intn(configEntries)
			w.tasks.Go(func() { w.restart(i) })
		case 1:
			w.setFaults(w.trouble())
		case 2:
			w.setFaults(faults{})
		}
	}
	w.setFaults(faults{})
	w.sleep(2 * inForceWithin)
	if err := w.observe(); err != nil && !protect.noReadBack {
		return err
	}
	return w.checkConfig()
}

// trouble is what befalls the store's calls in a run. Without read-back, many
// answers to creates get lost, so that the harm shows soon.
func (w *configWorld) trouble() faults {
	if w.protect.noReadBack {
		return faults{lostMade: 40}
	}
	return faults{refused: 10, lost: 20}
}

// checkConfig checks the operators' history, with what the audit trail says of
// the changes whose outcome they did not learn.
func (w *configWorld) checkConfig() error {
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(w.memory.Backend()), w.nonce)
	made := make(map[int64]*cicadawire.ChangeSet)
	err := store.Audit(context.Background(), 1, func(set *cicadawire.ChangeSet) error {
		made[set.GetRevision()] = set
		return nil
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	history := w.history
	learnt := make(map[int64]bool)
	for _, op := range history {
		learnt[op.Output.(changeOutput).revision] = true
	}
	delete(learnt, 0)
	for revision, set := range made {
		if learnt[revision] {
			continue
		}
		change := set.GetChanges()[0]
		history = append(history, porcupine.Operation{
			ClientId: 100 + int(revision), Input: changeInput{change.GetName(), change.GetBeforeRevision()},
			Call: 0, Output: changeOutput{revision: revision}, Return: forever,
		})
	}
	if unknown := unknowns(history); len(made)-len(learnt) > unknown {
		return fmt.Errorf("%d changes were made, and operators know of %d and doubt %d", len(made), len(learnt), unknown)
	}
	return check(configModel, history)
}

func unknowns(history []porcupine.Operation) int {
	n := 0
	for _, op := range history {
		if op.Output.(changeOutput).unknown {
			n++
		}
	}
	return n
}

func TestHistoryConfig(t *testing.T) {
	t.Parallel()
	eachSeed(t, func(t *testing.T, seed uint64) {
		assert.NilError(t, runConfig(t, seed, protections{}), "seed %d", seed)
	})
}

func TestHistoryConfigFindMissingReadBack(t *testing.T) {
	findsFault(t, protections{noReadBack: true}, runConfig)
}

func TestHistoryConfigFindMissingFence(t *testing.T) {
	findsFault(t, protections{noFence: true}, runConfig)
}
