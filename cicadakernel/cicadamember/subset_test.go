package cicadamember

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// newMembers returns entries and endpoints of one model, spread over eleven data
// centres. The design size is 730 entries and ten models of 240 endpoints each.
func newMembers(entryCount, endpointCount int) (entries, endpoints []Member) {
	const dataCentres = 11
	for i := range entryCount {
		entries = append(entries, Member{Name: fmt.Sprintf("entry-%04d", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)})
	}
	for i := range endpointCount {
		endpoints = append(endpoints, Member{Name: fmt.Sprintf("w-%04d", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)})
	}
	return entries, endpoints
}

func subsets(entries, endpoints []Member) map[string][]string {
	byEntry := make(map[string][]string)
	for _, entry := range entries {
		byEntry[entry.Name] = Subset(entry, entries, endpoints, DefaultSubset)
	}
	return byEntry
}

func TestSubsetsAtDesignSize(t *testing.T) {
	entries, endpoints := newMembers(730, 240)
	byEntry := subsets(entries, endpoints)
	users := make(map[string]int)
	for _, names := range byEntry {
		assert.Equal(t, len(names), DefaultSubset)
		for _, name := range names {
			users[name]++
		}
	}
	least, most := len(entries), 0
	for _, endpoint := range endpoints {
		least, most = min(least, users[endpoint.Name]), max(most, users[endpoint.Name])
	}
	mean := float64(len(entries)*DefaultSubset) / float64(len(endpoints))
	t.Logf("measure: subset/holders-least value=%d unit=entries baseline=%.1f target=>=%d", least, mean, MinEntriesPerEndpoint)
	t.Logf("measure: subset/holders-most value=%d unit=entries baseline=%.1f target=none", most, mean)
	assert.Assert(t, least >= MinEntriesPerEndpoint)
}

func TestMembershipChangeMovesFewAssignments(t *testing.T) {
	entries, endpoints := newMembers(730, 240)
	before := subsets(entries, endpoints)
	after := subsets(slices.Delete(slices.Clone(entries), 100, 101), slices.Delete(slices.Clone(endpoints), 7, 8))
	moved, all := 0, 0
	for name, subset := range after {
		for _, endpoint := range subset {
			all++
			if !slices.Contains(before[name], endpoint) {
				moved++
			}
		}
	}
	t.Logf("measure: subset/moved-by-one-entry-and-one-endpoint value=%.4f unit=share baseline=0 target=none", float64(moved)/float64(all))
	assert.Assert(t, moved < all/20, "%d of %d assignments moved", moved, all)
}

func TestSmallFleetUsesAllEndpoints(t *testing.T) {
	entries, endpoints := newMembers(3, 20)
	for _, entry := range entries {
		assert.Equal(t, len(Subset(entry, entries, endpoints, 0)), 20)
	}
}
