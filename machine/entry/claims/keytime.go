package claims

import (
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"
)

// clockSkew bounds how far the clocks of callers, entry hosts and the log are
// apart.
const clockSkew = 30 * time.Second

// keyTime returns when a key was made, for keys in the form of a UUID version 7
// (RFC 9562), whose first 48 bits are a Unix time in milliseconds. A key from the future tells nothing.
func keyTime(key string, now time.Time) (time.Time, bool) {
	const digits, versionAt, version = 32, 12, '7'
	plain := strings.ReplaceAll(key, "-", "")
	if len(plain) != digits || plain[versionAt] != version {
		return time.Time{}, false
	}
	raw, err := hex.DecodeString(plain)
	if err != nil {
		return time.Time{}, false
	}
	const unused = 16
	millis := binary.BigEndian.Uint64(raw[:8]) >> unused
	made := time.UnixMilli(int64(millis))
	return made, made.Before(now.Add(clockSkew))
}
