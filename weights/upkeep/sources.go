package upkeep

import "slices"

// perSource is how many targets of a zone one entry hands weights to. The links of
// small entries carry about four times what a target takes in.
const perSource = 4

// Sources orders the entries of a zone for the target that has a rank among the of
// targets there. entries are in rank too; the first one brings the weights into
// the zone. In a large zone it hands them to a few others alone, and each of these
// to a few targets: it could not serve all within the time that a version may take.
func Sources[T any](entries []T, rank, of int) []T {
	if of <= perSource || len(entries) < 2 {
		return entries
	}
	helpers := min((of+perSource-1)/perSource, len(entries)-1)
	list := make([]T, 0, len(entries))
	for i := range helpers {
		list = append(list, entries[1+(rank+i)%helpers])
	}
	list = append(list, entries[0])
	return slices.Concat(list, entries[1+helpers:])
}
