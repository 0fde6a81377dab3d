package fault

import "net/http"

// discardWriter discards a reply.
type discardWriter struct {
	header http.Header
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// corruptWriter inverts the byte in the middle of each write.
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

// stallWriter writes half of the first write of a reply, waits as waitUntilEnd does and then
// aborts the connection.
type stallWriter struct {
	http.ResponseWriter
	fault   *activeFault
	request *http.Request
}

// Write implements io.Writer.
func (s *stallWriter) Write(p []byte) (int, error) {
	_, _ = s.ResponseWriter.Write(p[:len(p)/2])
	flush(s.ResponseWriter)
	s.fault.waitUntilEnd(s.request)
	panic(http.ErrAbortHandler)
}

// Flush implements http.Flusher.
func (s *stallWriter) Flush() { flush(s.ResponseWriter) }

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
