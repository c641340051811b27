package cicadamember

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// fleet returns the members of a group at the design size: entries and the
// endpoints of one of ten models, spread over eleven data centres.
func fleet(entries, endpoints int) (e, w []Member) {
	const dataCentres = 11
	for i := range entries {
		e = append(e, Member{Name: fmt.Sprintf("entry-%04d", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)})
	}
	for i := range endpoints {
		w = append(w, Member{Name: fmt.Sprintf("w-%04d", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)})
	}
	return e, w
}

func subsets(entries, endpoints []Member) map[string][]string {
	chosen := make(map[string][]string)
	for _, entry := range entries {
		chosen[entry.Name] = Subset(entry, entries, endpoints, DefaultSubset)
	}
	return chosen
}

func TestSubsetsAtDesignSize(t *testing.T) {
	entries, endpoints := fleet(730, 240)
	chosen := subsets(entries, endpoints)
	holders := make(map[string]int)
	for _, names := range chosen {
		assert.Equal(t, len(names), DefaultSubset)
		for _, name := range names {
			holders[name]++
		}
	}
	least, most := len(entries), 0
	for _, endpoint := range endpoints {
		least, most = min(least, holders[endpoint.Name]), max(most, holders[endpoint.Name])
	}
	mean := float64(len(entries)*DefaultSubset) / float64(len(endpoints))
	t.Logf("measure: subset/holders-least value=%d unit=entries baseline=%.1f target=>=%d", least, mean, MinHolders)
	t.Logf("measure: subset/holders-most value=%d unit=entries baseline=%.1f target=none", most, mean)
	assert.Assert(t, least >= MinHolders)
}

func TestSubsetsMoveLittle(t *testing.T) {
	entries, endpoints := fleet(730, 240)
	before := subsets(entries, endpoints)
	after := subsets(slices.Delete(slices.Clone(entries), 100, 101), slices.Delete(slices.Clone(endpoints), 7, 8))
	moved, all := 0, 0
	for name, chosen := range after {
		for _, endpoint := range chosen {
			all++
			if !slices.Contains(before[name], endpoint) {
				moved++
			}
		}
	}
	t.Logf("measure: subset/moved-by-one-entry-and-one-endpoint value=%.4f unit=share baseline=0 target=none", float64(moved)/float64(all))
	assert.Assert(t, moved < all/20, "%d of %d links moved", moved, all)
}

func TestSmallFleetUsesEveryEndpoint(t *testing.T) {
	entries, endpoints := fleet(3, 20)
	for _, entry := range entries {
		assert.Equal(t, len(Subset(entry, entries, endpoints, 0)), 20)
	}
}
