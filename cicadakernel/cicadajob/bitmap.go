package cicadajob

// bitmap is a growing set of small numbers. The zero value is empty.
type bitmap []byte

func (b bitmap) has(n int64) bool {
	return n>>3 < int64(len(b)) && b[n>>3]&(1<<(n&7)) != 0
}

// set adds a number and reports whether it is new.
func (b *bitmap) set(n int64) bool {
	if b.has(n) {
		return false
	}
	for int64(len(*b)) <= n>>3 {
		*b = append(*b, 0)
	}
	(*b)[n>>3] |= 1 << (n & 7)
	return true
}
