package cicadabatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// Prefixes of the objects that hold jobs and their results.
const (
	JobsPrefix    = adapter.OwnKindPrefix + "jobs/"
	resultsPrefix = adapter.OwnKindPrefix + "results/"
)

// maxChunkBytes limits the results in one chunk, as the store keeps them.
const maxChunkBytes = 400 << 10

func chunkName(id string, number int) string {
	return fmt.Sprintf("%s%s.%05d", resultsPrefix, id, number)
}

// readChunk reads a chunk of results. found is false if it does not exist.
func readChunk(ctx context.Context, store *cicadaplatform.Client, id string, number int) (c chunk, found bool, err error) {
	c, _, found, err = readChunkAsOf(ctx, store, id, number)
	return c, found, err
}

// readChunkAsOf does what readChunk does, and returns the time when the store was asked.
func readChunkAsOf(ctx context.Context, store *cicadaplatform.Client, id string, number int) (c chunk, asOf time.Time, found bool, err error) {
	obj, asOf, err := store.GetAsOf(ctx, chunkName(id, number))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return chunk{}, asOf, false, nil
	}
	if err != nil {
		return chunk{}, asOf, false, err
	}
	if err := json.Unmarshal(obj.Value(), &c); err != nil {
		return chunk{}, asOf, false, merry.Errorf("decode results of %s: %w", id, err)
	}
	c.version = obj.Version()
	return c, asOf, true, nil
}

// readChunks reads the chunks of results from a number on. They hold every result that was stored by
// asOf, when the store was asked for the chunk after them: a chunk is stored after all before it.
func readChunks(ctx context.Context, store *cicadaplatform.Client, id string, from int) (chunks []chunk, asOf time.Time, err error) {
	for n := from; ; n++ {
		c, asOf, found, err := readChunkAsOf(ctx, store, id, n)
		if err != nil || !found {
			return chunks, asOf, err
		}
		chunks = append(chunks, c)
	}
}

// writeChunk creates the chunk with the given number. If another owner has created it
// already, it returns that chunk instead.
func writeChunk(ctx context.Context, store *cicadaplatform.Client, id string, number int, c chunk) (chunk, error) {
	value, err := cicadaplatform.EncodeJSON(c)
	if err != nil {
		return chunk{}, merry.Errorf("encode results of %s: %w", id, err)
	}
	obj, err := store.Create(ctx, cicadaplatform.ClassResult, chunkName(id, number), value)
	if err == nil {
		c.version = obj.Version()
		return c, nil
	}
	if !errors.Is(err, cicadaplatform.ErrExists) {
		return chunk{}, err
	}
	existing, found, err := readChunk(ctx, store, id, number)
	if err == nil && !found {
		return chunk{}, merry.Errorf("read chunk %d of %s: %w", number, id, cicadaplatform.ErrNotFound)
	}
	return existing, err
}

func decodeRecord(value []byte) (jobRecord, error) {
	var r jobRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return jobRecord{}, merry.Errorf("decode job: %w", err)
	}
	return r, nil
}

// fitChunk returns how many of the results fit in one chunk, at least one. valueSize returns
// the size of an object's value as the store keeps it.
func fitChunk(results []adapter.Result, valueSize func(name string, value []byte) int) int {
	size := 0
	for i, r := range results {
		value, err := cicadaplatform.EncodeJSON(r)
		if err != nil {
			return max(i, 1) // the write reports the error
		}
		size += valueSize(resultsPrefix, value)
		if size > maxChunkBytes && i > 0 {
			return i
		}
	}
	return len(results)
}
