package fault

import "net/http"

// discard drops a reply.
type discard struct {
	header http.Header
}

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// corruptWriter flips one byte in the middle of each write.
type corruptWriter struct {
	http.ResponseWriter
}

// Write implements io.Writer.
func (c *corruptWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	flipped := append([]byte(nil), p...)
	flipped[len(p)/2] ^= 0xff
	return c.ResponseWriter.Write(flipped)
}

// Flush implements http.Flusher.
func (c *corruptWriter) Flush() { flush(c.ResponseWriter) }

// stallWriter writes half of the first part of a reply and then stops. After
// the fault has ended it cuts the connection.
type stallWriter struct {
	http.ResponseWriter
	fault   *active
	request *http.Request
}

// Write implements io.Writer.
func (s *stallWriter) Write(p []byte) (int, error) {
	_, _ = s.ResponseWriter.Write(p[:len(p)/2])
	flush(s.ResponseWriter)
	s.fault.hold(s.request)
	panic(http.ErrAbortHandler)
}

// Flush implements http.Flusher.
func (s *stallWriter) Flush() { flush(s.ResponseWriter) }

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
