package cicadabatch

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

var (
	seeds = flag.Int("seeds", 60, "histories to check")
	first = flag.Uint64("first", 1, "seed of the first history")
)

// A write of results under a number returns what stands there.
type numbered struct {
	number int
	writer string
}

// firstWriteWins is what owners rely on: what stands under a number is decided
// once, by one of those who tried.
var firstWriteWins = porcupine.Model{
	Init: func() any { return "" },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byNumber := make(map[int][]porcupine.Operation)
		for _, op := range history {
			n := op.Input.(numbered).number
			byNumber[n] = append(byNumber[n], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byNumber {
			parts = append(parts, part)
		}
		return parts
	},
	Step: func(state, input, output any) (bool, any) {
		if state == "" {
			state = input.(numbered).writer
		}
		return output == state, state
	},
}

// faultyStore loses answers of writes, does some of them late, and refuses some.
func faultyStore(b cicadaplatform.Backend, random *rand.Rand, mu *sync.Mutex) cicadaplatform.Backend {
	create := b.Create
	b.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		mu.Lock()
		luck, delay := random.Float64(), time.Duration(random.IntN(3000))*time.Millisecond
		mu.Unlock()
		time.Sleep(time.Duration(luck*20) * time.Millisecond)
		switch {
		case luck < 0.15:
			return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
		case luck < 0.3: // done, and the answer is lost
			_, _ = create(ctx, name, value)
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		case luck < 0.45: // done later, if nothing stands there by then
			time.AfterFunc(delay, func() { _, _ = create(context.WithoutCancel(ctx), name, value) })
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		}
		return create(ctx, name, value)
	}
	return b
}

// TestHistoryOfResults checks histories of owners that write results under the
// same numbers, against a store that loses and delays writes.
func TestHistoryOfResults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	backend := faultyStore(cicadaplatform.NewMemory().Backend(), random, &mu)
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for client := range 3 {
		wg.Go(func() {
			store := cicadaplatform.NewClient(backend)
			name := fmt.Sprint("owner-", client)
			for number := range 4 {
				called := time.Now().UnixNano()
				c := chunk{Writer: name, Results: []adapter.Result{{ID: name}}}
				stands, err := writeChunk(context.Background(), store, "j", number, c)
				assert.Check(t, err == nil, "%v", err)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: numbered{number, name}, Call: called, Output: stands.Writer, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second) // for writes that are done late
	assert.Equal(t, len(history), 12)
	assert.Assert(t, porcupine.CheckOperations(firstWriteWins, history), "seed %d: owners disagree on what stands under a number", seed)
}

// TestHistoryCanFail shows that the check finds owners that disagree.
func TestHistoryCanFail(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: numbered{0, "a"}, Call: 0, Output: "a", Return: 10},
		{ClientId: 1, Input: numbered{0, "b"}, Call: 5, Output: "b", Return: 15},
	}
	assert.Assert(t, !porcupine.CheckOperations(firstWriteWins, history))
}
