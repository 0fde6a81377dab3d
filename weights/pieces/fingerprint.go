package pieces

import (
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint before its encoding.
const fingerprintBytes = 4

// Fingerprint returns a short hash over the list of digests, in hexadecimal digits. Logs show with it
// whether two processes verify a version against the same digests.
func (s *Set) Fingerprint() string {
	h := sha256.New()
	for _, digest := range s.Digests() {
		// A hash never returns an error.
		_, _ = h.Write(digest)
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
