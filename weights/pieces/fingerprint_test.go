package pieces

import "testing"

// TestFingerprintTellsListsApart checks that lists that differ in a digest, in their order or in their
// length have other fingerprints, and that equal ones have the same.
func TestFingerprintTellsListsApart(t *testing.T) {
	seen := map[string]int{}
	for i, texts := range [][]string{{"zero", "one"}, {"one", "zero"}, {"zero"}, {"zero", "two"}, {"two"}} {
		got := newSet(t, texts...).Fingerprint()
		if again := newSet(t, texts...).Fingerprint(); again != got || len(got) != 2*fingerprintBytes {
			t.Errorf("list %d: Fingerprint() = %q, then %q, want the same 8 digits", i, got, again)
		}
		if other, ok := seen[got]; ok {
			t.Errorf("lists %d and %d have the same fingerprint %s", other, i, got)
		}
		seen[got] = i
	}
}
