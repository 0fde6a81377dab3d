package upgrade

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// MaxDownloaders is how many entries may download a version from the origin by their rank alone:
	// the bandwidth of the origin's link is small.
	MaxDownloaders = 3
	// standbyDelay is how long each of them but the first waits for a piece longer than the one
	// before: when the origin returns, all would download the same pieces.
	standbyDelay = 400 * time.Millisecond
	// maxExtraDownloaders is how many further entries may download during one turn.
	maxExtraDownloaders = 3
	// extraTurn is how long one turn of further downloaders lasts.
	extraTurn = time.Second
)

// DownloadState is the state on which an entry bases the decision to download from the origin.
type DownloadState struct {
	// Rank is the number of entries that precede this one in the order for the version and may be
	// running.
	Rank int
	// Place is the place in that order among all Entries entries, running or not: processes that
	// know the same members agree on it.
	Place, Entries int
	// Stalled is for how long the entry has got no piece, although no entry has reported that it
	// cannot reach the origin.
	Stalled time.Duration
}

// MayDownload reports whether the entry may download now. The first in rank always may, the next
// ones when it brings no piece for standbyDelay each. While still no piece arrives, they may be gone without the knowledge of those that follow: then
// maxExtraDownloaders others take turns of extraTurn. Those of one turn are spread over the whole
// order, and so over the zones: the failure of a zone, or of the first third of the order, does
// not cover all of them. At most MaxDownloaders+maxExtraDownloaders entries download at a time, if
// their knowledge agrees; entries that count the time from different pieces take different turns,
// which does not raise the mean.
func (s DownloadState) MayDownload() bool {
	if s.Rank < MaxDownloaders {
		return s.Stalled >= time.Duration(s.Rank)*standbyDelay
	}
	turn := int(s.Stalled / extraTurn)
	if turn < 1 {
		return false
	}
	groups := max((s.Entries+maxExtraDownloaders-1)/maxExtraDownloaders, 1)
	return s.Place%groups == (turn+MaxDownloaders-1)%groups
}

// DownloadOrder returns the missing pieces in the order in which the entry of the given rank
// downloads them. Each rank starts elsewhere among the pieces that are still missing, so that
// entries which start at the same time download different ones: rank 0 with the first one, rank 1
// in the middle, ranks 2 and 3 in the middle of the halves, and so on.
func DownloadOrder(missing []int, rank int) []int {
	const width = 16
	// The reversed bits of the rank are the fraction of the list to skip.
	fraction := int(bits.Reverse16(uint16(rank)))
	first := len(missing) * fraction >> width
	return slices.Concat(missing[first:], missing[:first])
}
