package cicadajob

// bitmap is a growable bit set of non-negative numbers. The zero value is empty.
type bitmap []byte

func (b bitmap) has(n int64) bool {
	return n>>3 < int64(len(b)) && b[n>>3]&(1<<(n&7)) != 0
}

// set adds n and reports whether it was absent.
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
