package upgrade

import (
	"slices"
	"testing"
	"time"
)

// downloadersAt returns the places of the entries that may download after the given stall, among
// entries of which those at the places in gone do not run, without the knowledge of the others.
func downloadersAt(entries int, stalled time.Duration, gone func(place int) bool) []int {
	var list []int
	for place := range entries {
		s := DownloadState{Rank: place, Place: place, Entries: entries, Stalled: stalled}
		if !gone(place) && s.MayDownload() {
			list = append(list, place)
		}
	}
	return list
}

func noneGone(int) bool { return false }

// Guards against all entries downloading at once: the number of downloaders doubled every second
// while the origin was away, and 44 entries shared its link when it returned.
func TestDownloadersAreFewHoweverLongNoPieceArrives(t *testing.T) {
	for _, entries := range []int{1, 3, 9, 44, 148} {
		for stalled := time.Duration(0); stalled < time.Minute; stalled += extraTurn / 2 {
			if got, limit := len(downloadersAt(entries, stalled, noneGone)), MaxDownloaders+maxExtraDownloaders; got > limit {
				t.Fatalf("%d of %d entries may download after %v without a piece, want at most %d", got, entries, stalled, limit)
			}
		}
	}
}

// Guards against several copies from the origin: the first entries in rank start at the same moment when it
// returns, or beside the one that downloads.
func TestStandbyDownloadersWaitForTheFirst(t *testing.T) {
	for rank, want := range []time.Duration{0, standbyDelay, 2 * standbyDelay} {
		s := DownloadState{Rank: rank, Place: rank, Entries: 44, Stalled: want}
		if !s.MayDownload() {
			t.Errorf("rank %d, %v without a piece: MayDownload() = false, want true", rank, want)
		}
		if s.Stalled -= time.Millisecond; rank > 0 && s.MayDownload() {
			t.Errorf("rank %d, %v without a piece: MayDownload() = true, want false", rank, s.Stalled)
		}
	}
}

// Guards against a version that nobody downloads, since the first in rank lost power and those that
// follow are not linked to them and do not know.
func TestOthersDownloadWhenFirstInRankAreGoneSilently(t *testing.T) {
	for _, entries := range []int{9, 44, 148} {
		firstThirdGone := func(place int) bool { return place < max(entries/3, MaxDownloaders) }
		if got := downloadersAt(entries, 2*extraTurn, firstThirdGone); len(got) == 0 {
			t.Errorf("first third of %d entries gone: none downloads after %v without a piece", entries, 2*extraTurn)
		}
		turns := time.Duration(entries/maxExtraDownloaders + 2)
		seen := map[int]bool{}
		for stalled := time.Duration(0); stalled < turns*extraTurn; stalled += extraTurn {
			for _, place := range downloadersAt(entries, stalled, noneGone) {
				seen[place] = true
			}
		}
		if len(seen) != entries {
			t.Errorf("%d of %d entries had a turn within %v, want all", len(seen), entries, turns*extraTurn)
		}
	}
}

// Guards against entries that download the same pieces over the origin's narrow link: with 54 of 64
// pieces present, all downloaders started with the same one.
func TestDownloadersStartAtDifferentMissingPieces(t *testing.T) {
	missing := []int{54, 55, 56, 57, 58, 59, 60, 61, 62, 63}
	firsts := map[int]bool{}
	const ranks = 6
	for rank := range ranks {
		order := DownloadOrder(missing, rank)
		firsts[order[0]] = true
		slices.Sort(order)
		if !slices.Equal(order, missing) {
			t.Errorf("rank %d downloads %v, want each of %v once", rank, order, missing)
		}
	}
	if len(firsts) != ranks {
		t.Errorf("%d entries start at %d different pieces, want %d", ranks, len(firsts), ranks)
	}
	if got := DownloadOrder(nil, 5); len(got) != 0 {
		t.Errorf("nothing missing: DownloadOrder() = %v, want none", got)
	}
}

// Guards against a herd after an outage of the origin (reports suppress further downloaders) and
// against silence after the reporters are gone (reports expire, also if they circulate).
func TestOriginReportsCountForTheirTimeOnly(t *testing.T) {
	var reporter, other OriginOutage
	reporter.RecordFailure(start, 7)
	reporter.RecordFailure(start.Add(originReportInterval/2), 8)
	r, ok := reporter.Newest(start.Add(time.Second))
	if !ok || r.ID != 7 || r.Age != time.Second {
		t.Fatalf("Newest() = %+v, %v, want report 7 of age 1s: reports are made at intervals", r, ok)
	}
	const transfer = 300 * time.Millisecond
	other.Apply(start.Add(time.Second+transfer), r)
	back, _ := other.Newest(start.Add(time.Second + transfer))
	reporter.Apply(start.Add(time.Second+2*transfer), back)
	if got, want := reporter.KnownUntil(), start.Add(OriginReportTimeout); !got.Equal(want) {
		t.Errorf("a report that came back counts until %v, want %v", got, want)
	}
	if _, ok := reporter.Newest(start.Add(OriginReportTimeout)); ok {
		t.Error("Newest() returns a report after its time, want none")
	}
	for id := range uint64(3 * maxOriginReports) {
		other.Apply(start, OriginReport{ID: id})
	}
	if got := len(other.reports); got > maxOriginReports {
		t.Errorf("%d reports are remembered, want at most %d", got, maxOriginReports)
	}
}
