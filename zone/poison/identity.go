package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// Identity is what a request has in common with its repeats.
type Identity struct {
	Method, Host string
	// URI is the path and the query.
	URI string
	// Caller names the team; empty for an anonymous caller.
	Caller string
	Body   []byte
}

// WholeOf returns the part that stands for a request as a whole to a service. It is never 0.
func WholeOf(service contract.ServiceName, id Identity) Part {
	h := xxhash.New()
	// Writing to a hash does not fail. The lengths keep the fields apart.
	for _, field := range []string{string(service), id.Method, id.Host, id.URI, id.Caller} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(id.Body)
	return Part(max(h.Sum64(), 1))
}
