package swarm

import "math/bits"

const wordBits = 64

// bitmap is a set of chunk indexes.
type bitmap []uint64

func newBitmap(n int) bitmap {
	return make(bitmap, (n+wordBits-1)/wordBits)
}

func (b bitmap) has(i int) bool {
	return b[i/wordBits]&(1<<(i%wordBits)) != 0
}

func (b bitmap) set(i int) {
	b[i/wordBits] |= 1 << (i % wordBits)
}

func (b bitmap) clear(i int) {
	b[i/wordBits] &^= 1 << (i % wordBits)
}

func (b bitmap) or(o bitmap) {
	for i, w := range o {
		b[i] |= w
	}
}

// missingFrom reports whether b has an element that is missing from o.
func (b bitmap) missingFrom(o bitmap) bool {
	for i, w := range b {
		if w&^o[i] != 0 {
			return true
		}
	}
	return false
}

// each calls f for every element in ascending order.
func (b bitmap) each(f func(i int)) {
	for w, word := range b {
		for word != 0 {
			f(w*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}

// span returns the bytes from the first to the last one with an element, and the index of
// their first bit, which is a multiple of 8.
func (b bitmap) span() (first int, data []byte) {
	lo, hi := -1, -1
	for i := range len(b) * wordBits / 8 {
		if b.byteAt(i) != 0 {
			if lo < 0 {
				lo = i
			}
			hi = i
		}
	}
	if lo < 0 {
		return 0, nil
	}
	data = make([]byte, 0, hi-lo+1)
	for i := lo; i <= hi; i++ {
		data = append(data, b.byteAt(i))
	}
	return lo * 8, data
}

func (b bitmap) byteAt(i int) byte {
	return byte(b[i/8] >> (i % 8 * 8))
}

// addBytes adds the elements of data, whose first bit has the index first, and calls added
// for each new element. If first is out of range or an element is n or more, it adds
// nothing and returns false.
func (b bitmap) addBytes(first, n int, data []byte, added func(i int)) bool {
	if first < 0 || first > n {
		return false
	}
	for k, v := range data {
		if v != 0 && first+k*8+bits.Len8(v) > n {
			return false
		}
	}
	for k, v := range data {
		for ; v != 0; v &= v - 1 {
			i := first + k*8 + bits.TrailingZeros8(v)
			if !b.has(i) {
				b.set(i)
				added(i)
			}
		}
	}
	return true
}
