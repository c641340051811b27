package cicadaprocess

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestProcessRatesSumToStoreRates checks that the rates of all processes add up to the
// store's total rates.
func TestProcessRatesSumToStoreRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := storeRates{writes: rapid.Float64Range(1, 2000).Draw(t, "writes"), reads: rapid.Float64Range(1, 9000).Draw(t, "reads")}
		entries, owners := rapid.IntRange(1, 500).Draw(t, "entries"), rapid.IntRange(1, 300).Draw(t, "owners")
		entry, owner := processRates(total, RoleEntry, entries, owners), processRates(total, RoleOwner, entries, owners)
		writes := entry.writes*float64(entries) + owner.writes*float64(owners)
		reads := entry.reads*float64(entries) + (owner.reads+owner.catchUps)*float64(owners)
		assert.Assert(t, writes <= total.writes*1.000001 && writes >= total.writes*0.999999, "%v of %v", writes, total.writes)
		assert.Assert(t, reads <= total.reads*1.000001 && reads >= total.reads*0.999999, "%v of %v", reads, total.reads)
	})
}
