package cicadaprocess

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSharesAddUpToTheStoresRates holds the parts of all processes to what the
// store grants them together.
func TestSharesAddUpToTheStoresRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := budget{writes: rapid.Float64Range(1, 2000).Draw(t, "writes"), reads: rapid.Float64Range(1, 9000).Draw(t, "reads")}
		entries, owners := rapid.IntRange(1, 500).Draw(t, "entries"), rapid.IntRange(1, 300).Draw(t, "owners")
		entry, owner := shareOf(all, RoleEntry, entries, owners), shareOf(all, RoleOwner, entries, owners)
		writes := entry.writes*float64(entries) + owner.writes*float64(owners)
		reads := entry.reads*float64(entries) + owner.reads*float64(owners)
		assert.Assert(t, writes <= all.writes*1.000001 && writes >= all.writes*0.999999, "%v of %v", writes, all.writes)
		assert.Assert(t, reads <= all.reads*1.000001 && reads >= all.reads*0.999999, "%v of %v", reads, all.reads)
	})
}
