package direct

import (
	"io"
	"net/http"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
)

// maxResponseBytes bounds a response that is forwarded only once it is complete.
const maxResponseBytes = 8 << 20

// bufferedResponse is a complete response of a target, with the headers that callers get. What
// its headers tell the entry is in platform.Reply.
type bufferedResponse struct {
	status int
	header http.Header
	body   *chunkBuffer
}

// release frees the memory of the response; there may be none.
func (r *bufferedResponse) release() {
	if r != nil {
		r.body.release()
	}
}

// readBuffered reads a response to its end and returns it, unless it is unusable. A response is
// unusable, and the attempt Lost, if it breaks off or may have done so, is larger than
// maxResponseBytes or than what the buffers of all responses have left, has a content encoding, is
// a success or redirect without the target's stamp, or has a status that implies that the request
// has not run. Any other response with a status of 500 or above is returned with Failed; the caller gets it if no
// other attempt follows.
func (x *exchange) readBuffered(resp *http.Response, reply platform.Reply) (attempts.Outcome, *bufferedResponse) {
	buffered := &bufferedResponse{status: reply.Status, header: platform.AnswerHeaders(resp.Header)}
	buffered.body = newChunkBuffer(&x.call.entry.buffers)
	outcome := x.readBody(resp, reply, buffered)
	if outcome == attempts.Lost {
		buffered.release()
		return outcome, nil
	}
	return outcome, buffered
}

// readBody does what readBuffered does. It reads the body into buffered.
func (x *exchange) readBody(resp *http.Response, reply platform.Reply, buffered *bufferedResponse) attempts.Outcome {
	if err := buffered.body.readAll(resp.Body, maxResponseBytes); err != nil {
		return x.abort(err)
	}
	if x.mayBeCutOff(resp) {
		return x.abort(io.ErrUnexpectedEOF)
	}
	if reply.HasContentEncoding {
		x.conn.reset()
		x.breakage = unusableBreakage(reply)
		return attempts.Lost
	}
	x.releaseConn(resp, reply)
	switch {
	case !reply.HasStamp && reply.Status < http.StatusBadRequest:
		x.breakage = breakageNoStamp
		return attempts.Lost
	case impliesNotRun(reply.Status):
		// The response lacks the target's mark that the attempt has not run, so its status
		// must not promise that to the caller.
		x.breakage = breakageUnmarkedRefusal
		return attempts.Lost
	case reply.Status >= http.StatusInternalServerError:
		return attempts.Failed
	}
	x.recordResponse(time.Since(x.start))
	return attempts.Completed
}

// impliesNotRun reports whether a status promises callers that the request has not run. A
// response with StatusMisdirectedRequest counts as marked (Reply.NotRun) and is handled
// before.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
