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
	seedCount = flag.Int("seeds", 60, "histories to check")
	firstSeed = flag.Uint64("first", 1, "seed of the first history")
)

// chunkWrite is an attempt to create the chunk with a number. Its output is the writer of
// the chunk that exists afterwards.
type chunkWrite struct {
	number int
	writer string
}

// firstWriteWins is the property that owners rely on: the content of a chunk number is
// decided once, by one of the writers.
var firstWriteWins = porcupine.Model{
	Init: func() any { return "" },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byNumber := make(map[int][]porcupine.Operation)
		for _, op := range history {
			n := op.Input.(chunkWrite).number
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
			state = input.(chunkWrite).writer
		}
		return output == state, state
	},
}

// faultyStore refuses some writes, loses the responses of some, and applies some late.
func faultyStore(backend cicadaplatform.Backend, random *rand.Rand, mu *sync.Mutex) cicadaplatform.Backend {
	create := backend.Create
	backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		mu.Lock()
		roll, delay := random.Float64(), time.Duration(random.IntN(3000))*time.Millisecond
		mu.Unlock()
		time.Sleep(time.Duration(roll*20) * time.Millisecond)
		switch {
		case roll < 0.15:
			return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
		case roll < 0.3: // applied, but the response is lost
			_, _ = create(ctx, name, value)
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		case roll < 0.45: // applied later, if the chunk does not exist by then
			time.AfterFunc(delay, func() { _, _ = create(context.WithoutCancel(ctx), name, value) })
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		}
		return create(ctx, name, value)
	}
	return backend
}

// TestHistoryOfChunkWrites checks histories of owners that write chunks with the same
// numbers to a store that refuses and delays writes and loses responses.
func TestHistoryOfChunkWrites(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
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
				stored, err := writeChunk(context.Background(), store, "j", number, c)
				assert.Check(t, err == nil, "%v", err)
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: chunkWrite{number, name}, Call: called, Output: stored.Writer, Return: time.Now().UnixNano(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second) // for late writes
	assert.Equal(t, len(history), 12)
	assert.Assert(t, porcupine.CheckOperations(firstWriteWins, history), "seed %d: owners disagree on the content of a chunk", seed)
}

// TestHistoryModelRejectsDisagreement shows that the model detects owners that disagree.
func TestHistoryModelRejectsDisagreement(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: chunkWrite{0, "a"}, Call: 0, Output: "a", Return: 10},
		{ClientId: 1, Input: chunkWrite{0, "b"}, Call: 5, Output: "b", Return: 15},
	}
	assert.Assert(t, !porcupine.CheckOperations(firstWriteWins, history))
}
