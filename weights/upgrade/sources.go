package upgrade

import "slices"

// The links of small entries carry about four times what a target takes in.
const (
	// perSource is how many targets one entry hands weights to at most, as long as the
	// zone has entries enough.
	perSource = 4
	// perHelper is how many targets an entry serves in a zone that one could not serve.
	perHelper = 2
	// fanOut is how many entries of a zone one entry hands weights to.
	fanOut = 2
)

// Parent is the place in rank of the entry that hands weights to the one with so many
// entries of its zone before it, which must not be 0. The entries of a zone form a tree,
// since the link of one bears only a few copies at the rate at which targets take them.
func ParentIndex(ahead int) int { return (ahead - 1) / fanOut }

// Sources orders the entries of a zone for the target that has a rank among the of
// targets there. entries are in rank too; the first one brings the weights into
// the zone. In a large zone it hands them to other entries alone, and these to a few
// targets each: it could not serve all within the time that a version may take.
func OrderSources[T any](entries []T, rank, of int) []T {
	if of <= perSource || len(entries) < 2 {
		return entries
	}
	helpers := min((of+perHelper-1)/perHelper, len(entries)-1)
	list := make([]T, 0, len(entries))
	for i := range helpers {
		list = append(list, entries[1+(rank+i)%helpers])
	}
	list = append(list, entries[0])
	return slices.Concat(list, entries[1+helpers:])
}
