package claims

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

// clockSkew bounds the difference between the clocks of callers, entry hosts and the log.
const clockSkew = 30 * time.Second

// keyCreationTime returns the time at which a key was created. It is known for keys in
// the form of a UUID version 7 (RFC 9562), whose first 48 bits are a Unix time in
// milliseconds. A time too far in the future is not trusted.
func keyCreationTime(key string, now time.Time) (time.Time, bool) {
	const digits, versionAt, version = 32, 12, '7'
	hexDigits := strings.ReplaceAll(key, "-", "")
	if len(hexDigits) != digits || hexDigits[versionAt] != version {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(hexDigits)
	if err != nil {
		return time.Time{}, false
	}
	const unused = 16
	millis := binary.BigEndian.Uint64(raw[:8]) >> unused
	createdAt := time.UnixMilli(int64(millis))
	return createdAt, createdAt.Before(now.Add(clockSkew))
}
