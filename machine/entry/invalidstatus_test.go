package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/settings"
)

// Guards against an answer without a valid status that its caller gets as a success.
func TestPlainAnswerWithoutValidStatusFails(t *testing.T) {
	for status, want := range map[int]int{
		0: http.StatusBadGateway, 42: http.StatusBadGateway, 999: http.StatusBadGateway,
		http.StatusCreated: http.StatusCreated, http.StatusNotFound: http.StatusNotFound,
	} {
		w := httptest.NewRecorder()
		rw := &responseWriter{w: w, control: http.NewResponseController(w)}
		rw.request.Kind = settings.KindPlain
		rw.writeFinal(dispatch.Finish{Outcome: contract.OutcomeDone, Answer: &dispatch.Answer{Status: status, Body: []byte("ok")}})
		if isBodySent := w.Body.String() == "ok"; w.Code != want || isBodySent != (status == want) {
			t.Errorf("answer with status %d: caller got %d with %q, want %d", status, w.Code, w.Body, want)
		}
	}
}
