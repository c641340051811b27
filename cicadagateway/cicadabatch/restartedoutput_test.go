package cicadabatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaorigin"
	adapter "cicadalink.example/platform"
)

// checkRestartedItems runs items whose output has 200 events at the version that begins it and fewer at the one
// that replaces that version midway. move then takes the job, whose results are not stored yet, from o1 to o2. It
// returns the deployment after that.
func checkRestartedItems(t *testing.T, events int, move func(o1 *testOwner)) *testDeployment {
	d := newTestDeployment()
	d.eventsAt = map[string]int{"e2": events}
	down := d.stopCreates()
	var owner atomic.Value
	owner.Store("o1")
	owners := func() []string { return []string{owner.Load().(string)} }
	var o2 *testOwner
	o1 := d.startOwner("o1", owners,
		WithReplication(func(ctx context.Context, p Checkpoint) error {
			resp, err := o2.Handle(ctx, &Call{Kind: CallCheckpoint, Job: p.Job, Progress: p.Items})
			if err == nil && resp.Status != http.StatusOK {
				return errCheckpointGap
			}
			return err
		}),
		WithHandOver(func(ctx context.Context, job string, p []Progress) error {
			_, err := o2.Handle(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
			return err
		}))
	defer o1.stop()
	o2 = d.startOwner("o2", owners)
	defer o2.stop()
	o1.setVersions("v1")
	o2.setVersions("v1")
	time.Sleep(time.Second)
	o1.call(t, submitCall("j", 200, 200))
	time.Sleep(1500 * time.Millisecond)
	down.Store(true)
	o1.setVersions("", "v2")
	o2.setVersions("", "v2")
	d.drop("e1")
	time.Sleep(1700 * time.Millisecond)
	move(o1)
	owner.Store("o2")
	time.Sleep(2 * time.Second)
	down.Store(false)
	time.Sleep(8 * time.Second)
	d.checkComplete(t, o2.results(t, "j", 0), "j", events, events)
	return d
}

// Guards against items that a killed owner had begun anew with a shorter output, and that the next owner
// lists as complete with a part of the output before.
func TestReplicaOfRestartedItemIsListedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkRestartedItems(t, 20, func(o1 *testOwner) { o1.stop() }) })
}

// Guards against the same where the owner hands its jobs over.
func TestHandedOverRestartedItemIsListedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { checkRestartedItems(t, 20, func(*testOwner) {}) })
}

// Guards against items that begin anew once more at the next owner, because the replica of their longer
// output before was kept.
func TestNextOwnerContinuesRestartedItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := checkRestartedItems(t, 80, func(o1 *testOwner) { o1.stop() })
		for _, id := range d.startedItems() {
			after := d.resumedAfter[id]
			assert.Equal(t, len(after), 3, id)
			assert.Assert(t, after[1] == 0 && after[2] > 0, "%s: runs after %v", id, after)
		}
	})
}

// A modelOutput is one of the outputs that the runs of an item may begin.
type modelOutput struct {
	name   string
	origin cicadaorigin.Origin
	events int
}

func (o modelOutput) text(from, to int) string {
	var lines []string
	for n := from + 1; n <= to; n++ {
		lines = append(lines, fmt.Sprintf("%s.%d", o.name, n))
	}
	text := strings.Join(lines, "\n")
	if from > 0 && to > from {
		text = "\n" + text
	}
	return text
}

// A modelOwner is an owner of one item, with the records of its checkpoint file and the output that it runs.
type modelOwner struct {
	*item
	running modelOutput
	records [][]byte
	former  bool // of a build that knows no generations
}

// A progressModel plays one item on two owners that both run it at times, and whose messages are lost,
// late, repeated and out of order.
type progressModel struct {
	random  *rand.Rand
	owners  [2]*modelOwner
	outputs []modelOutput
	late    []lateProgress
}

type lateProgress struct {
	to       int
	progress Progress
}

func newProgressModel(seed uint64) *progressModel {
	m := &progressModel{random: rand.New(rand.NewPCG(seed, 2))}
	for i := range m.owners {
		m.owners[i] = &modelOwner{former: m.random.IntN(4) == 0}
		m.start(i)
	}
	return m
}

// start starts the process of an owner, which has what its file holds.
func (m *progressModel) start(i int) {
	j := newJob("j", jobRecord{Total: 1, Items: []adapter.Item{{ID: "i"}}}, time.Now())
	owner := m.owners[i]
	owner.item = j.items[0]
	file := &CheckpointFile{recovered: make(map[string]map[string]*recoveredItem)}
	for _, record := range owner.records {
		file.replay(record)
	}
	o := &Owner{recovered: file.recovered, log: hclog.NewNullLogger()}
	o.restoreRecovered(j)
	owner.running = m.outputOf(owner.output.String())
}

// outputOf returns the output that a text is the beginning of.
func (m *progressModel) outputOf(text string) modelOutput {
	name, _, _ := strings.Cut(text, ".")
	for _, o := range m.outputs {
		if o.name == name {
			return o
		}
	}
	return modelOutput{}
}

// run lets an owner receive some events of its item, whose output it begins if there is none.
func (m *progressModel) run(i int) {
	owner := m.owners[i]
	if owner.state != itemWaiting {
		return
	}
	if owner.lastEvent == 0 {
		version := fmt.Sprint("v", m.random.IntN(2))
		owner.running = modelOutput{name: fmt.Sprint("out", len(m.outputs)), origin: cicadaorigin.Origin{Service: "s", Version: version}, events: 2 + m.random.IntN(12)}
		m.outputs = append(m.outputs, owner.running)
	}
	if owner.running.name == "" {
		owner.running = m.outputOf(owner.output.String())
	}
	to := min(owner.lastEvent+1+m.random.IntN(4), owner.running.events)
	owner.output.WriteString(owner.running.text(owner.lastEvent, to))
	owner.origin, owner.lastEvent = owner.running.origin, to
	if to == owner.running.events {
		owner.job.finish(owner.item, adapter.StateComplete, owner.output.String(), time.Now())
	}
}

// replicate sends the progress of an owner since the last replication to the other one.
func (m *progressModel) replicate(i int) {
	j := m.owners[i].job
	for _, p := range j.progressSince(j.replicateFull, maxProgressBytes, func(it *item) *progressMark { return &it.replicatedMark }) {
		j.replicateFull = !m.send(1-i, p)
	}
}

// handOver sends the full progress of an owner to the other one, as another message of it than a checkpoint.
func (m *progressModel) handOver(i int) {
	if p, _, ok := m.owners[i].progressSince(progressMark{}); ok {
		m.send(1-i, p)
	}
}

// send delivers a message, and reports whether the sender learns that it was applied.
func (m *progressModel) send(to int, p Progress) bool {
	if m.owners[1-to].former {
		p.Generation = 0
	}
	switch m.random.IntN(5) {
	case 0:
		return false // lost
	case 1:
		m.late = append(m.late, lateProgress{to, p})
		return false
	case 2:
		m.late = append(m.late, lateProgress{to, p}) // repeated later
	}
	return m.deliver(to, p)
}

func (m *progressModel) deliver(to int, p Progress) bool {
	owner := m.owners[to]
	applied := owner.job.resume(owner.item, p)
	owner.running = m.outputOf(owner.output.String())
	return applied
}

// save writes the progress of an owner to its file.
func (m *progressModel) save(t *testing.T, i int) {
	all := m.owners[i].job.progressSince(false, maxProgressBytes, func(it *item) *progressMark { return &it.savedMark })
	if len(all) == 0 {
		return
	}
	record, err := cbor.Marshal([]Checkpoint{{Job: "j", Items: all}})
	assert.NilError(t, err)
	m.owners[i].records = append(m.owners[i].records, record)
}

// step takes one step of a history.
func (m *progressModel) step(t *testing.T) {
	i := m.random.IntN(2)
	switch m.random.IntN(9) {
	case 0, 1, 2:
		m.run(i)
	case 3, 4:
		m.replicate(i)
	case 5:
		m.save(t, i)
	case 6:
		if len(m.late) > 0 {
			k := m.random.IntN(len(m.late))
			m.deliver(m.late[k].to, m.late[k].progress)
		}
	case 7:
		if owner := m.owners[i]; owner.state == itemWaiting && owner.lastEvent > 0 && m.random.IntN(2) == 0 {
			owner.restart()
			break
		}
		m.handOver(i)
	case 8:
		if m.random.IntN(4) == 0 {
			m.start(i)
		}
	}
}

// check checks that each owner has the beginning of one output, and the whole of it where the item is complete.
func (m *progressModel) check(t *testing.T) {
	t.Helper()
	for i, owner := range m.owners {
		text := owner.output.String()
		o := m.outputOf(text)
		assert.Equal(t, text, o.text(0, owner.lastEvent), "owner %d", i)
		if owner.state == itemFinished {
			assert.Equal(t, owner.lastEvent, o.events, "owner %d: complete", i)
			assert.Equal(t, owner.job.pending[0].Output, text)
		}
	}
}

// Guards against outputs that are put together from, or are complete with, the parts of two: each of an
// item's outputs may be the longer one.
func TestHistoryOfRestartedOutputs(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			m := newProgressModel(seed)
			for range 200 {
				m.step(t)
				m.check(t)
				if m.owners[0].state == itemFinished && m.owners[1].state == itemFinished {
					return
				}
			}
		})
	}
}
