package cicadabatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	adapter "cicadalink.example/platform"
)

// TestLargeProgressIsSentInParts guards against progress of a job that is larger than a message
// between owners, and is then sent in vain for ever.
func TestLargeProgressIsSentInParts(t *testing.T) {
	const items, outputSize = 20, 1 << 20
	j := newJob("j", jobRecord{Items: make([]adapter.Item, items)}, time.Now())
	for i, it := range j.items {
		it.ID = fmt.Sprint(i)
		it.output.WriteString(strings.Repeat("x", outputSize))
		it.lastEvent = 1
	}
	mark := func(it *item) *progressMark { return &it.replicatedMark }
	sent := make(map[string]bool)
	for full := true; ; full = false {
		part := j.progressSince(full, maxProgressBytes, mark)
		if len(part) == 0 {
			break
		}
		assert.Assert(t, len(part)*outputSize <= maxProgressBytes, "%d items in one message", len(part))
		for _, p := range part {
			assert.Assert(t, !sent[p.Item] && len(p.Text) == outputSize, "item %s", p.Item)
			sent[p.Item] = true
		}
	}
	assert.Equal(t, len(sent), items)
}
