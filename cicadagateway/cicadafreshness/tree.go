package cicadafreshness

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultFanOut is the number of processes that query one parent. With 16, 730 processes need
	// three levels below the root.
	defaultFanOut = 16
	// alternatives is the number of members other than the parent and the root that are queried in
	// each round.
	alternatives = 2
)

// A tree is the order in which members pass on confirmations: the root, then the others by name.
// The first level below the root has fanOut members, and each further level fanOut times as many.
type tree struct {
	members []string // the root first
	self    int      // index of this process
	fanOut  int
}

// newTree returns the tree over self and the live members with the given sorted names, which need
// not contain self. The first by name is the root if the coordinator is unknown.
func newTree(self, coordinator string, names []string, fanOut int) tree {
	members := slices.Clone(names)
	if i, ok := slices.BinarySearch(members, self); !ok {
		members = slices.Insert(members, i, self)
	}
	if coordinator != "" {
		if i, ok := slices.BinarySearch(members, coordinator); ok {
			members = slices.Delete(members, i, i+1)
		}
		members = slices.Insert(members, 0, coordinator)
	}
	return tree{members: members, self: slices.Index(members, self), fanOut: fanOut}
}

// levelOf returns the level n of an index, 0 for the root, and the range of indexes at this level,
// from first up to but not including end.
func (t tree) levelOf(index int) (n, first, end int) {
	width := 1
	for end = 1; index >= end; n++ {
		width *= t.fanOut
		first, end = end, end+width
	}
	return n, first, end
}

// level returns the level of this process, which is the number of messages through which the
// root's confirmations reach it.
func (t tree) level() int {
	n, _, _ := t.levelOf(t.self)
	return n
}

// candidates returns the members that are queried in one round until one has a recent confirmation:
// the parent, alternatives at its level (or siblings if the parent is the root), and the root.
func (t tree) candidates(round int) []string {
	if t.self == 0 {
		return nil
	}
	parent := (t.self - 1) / t.fanOut
	candidates := []string{t.members[parent]}
	_, first, end := t.levelOf(max(parent, 1)) // siblings if the parent is the root
	end = min(end, len(t.members))
	start := int(xxhash.Sum64String(t.members[t.self])%uint64(end-first)) + round*alternatives
	for i := range end - first {
		other := first + (start+i)%(end-first)
		if other != parent && other != t.self {
			candidates = append(candidates, t.members[other])
		}
		if len(candidates) > alternatives {
			break
		}
	}
	if parent != 0 || len(candidates) == 1 {
		candidates = append(candidates, t.members[0])
	}
	return candidates
}
