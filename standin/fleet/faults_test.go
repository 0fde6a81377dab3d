package fleet

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	faultEvents   = 6
	faultInterval = 20 * time.Millisecond
	// faultTimeout bounds what a test waits for.
	faultTimeout = 5 * time.Second
)

func startFaulty(t *testing.T, useRelay bool) (*Store, *Engine) {
	t.Helper()
	store := NewStore()
	t.Cleanup(store.Close)
	e := &Engine{ID: "i", Service: ModelService, Model: Model, Slots: 4, EventCount: faultEvents, EventInterval: faultInterval, UseRelay: useRelay}
	if err := e.Start(store, 3); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return store, e
}

// open sends a request with a prompt of parts to an engine.
func open(e *Engine, attempt string, parts ...string) (*http.Response, error) {
	var prompt []PromptPart
	for _, id := range parts {
		prompt = append(prompt, PromptPart{ID: id, Tokens: 100})
	}
	req, err := Request{AttemptID: attempt, Entry: e.Address(), Method: http.MethodPost, Path: ChatPath + "x", Prompt: prompt}.NewHTTPRequest()
	if err != nil {
		return nil, err
	}
	req.Header.Set("Expect-Instance", e.ID)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: faultTimeout}
	return client.Do(req)
}

// read sends a request and reads its whole answer.
func read(e *Engine, attempt string, parts ...string) (string, error) {
	resp, err := open(e, attempt, parts...)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// listed returns the entry of the engine in the target list.
func listed(store *Store) string {
	store.mu.Lock()
	defer store.mu.Unlock()
	return string(store.topic(TopicTargets).values["i"])
}

func countEvents(body string) int { return strings.Count(body, "\n\n") }

// A part that crashes the engine ends all its streams; the port is closed until the engine is
// back as a new incarnation. The part does no harm in the last place.
func TestCrashingPartEndsAllConnections(t *testing.T) {
	for _, useRelay := range []bool{false, true} {
		store, e := startFaulty(t, useRelay)
		e.SetCrashCauses(CrashCauses{Parts: []string{"bad"}})
		if body, err := read(e, "last", "good", "bad"); err != nil || countEvents(body) != faultEvents {
			t.Errorf("part in the last place: body %q, error %v, want a whole stream", body, err)
		}
		before := listed(store)
		bystander, err := open(e, "bystander", "good", "own")
		if err != nil {
			t.Fatal(err)
		}
		if body, err := read(e, "cause", "good", "bad", "own"); err == nil || body != "" {
			t.Errorf("crashing request: body %q, error %v, want a cut before the first event", body, err)
		}
		if body, err := io.ReadAll(bystander.Body); err == nil {
			t.Errorf("stream beside the crash: body %q, want it cut", body)
		}
		if conn, err := net.Dial("tcp", e.Address()); err == nil {
			_ = conn.Close()
			t.Error("a connection to a crashed engine was accepted")
		}
		e.Publish("ready")
		if got := listed(store); got != before {
			t.Errorf("a crashed engine published %s", got)
		}
		time.Sleep(DefaultDowntime + 200*time.Millisecond)
		if body, err := read(e, "after", "good", "own"); err != nil || !strings.Contains(body, "of version 3") {
			t.Errorf("after the crash: body %q, error %v, want a stream of version 3", body, err)
		}
		if got := listed(store); got == before || !strings.Contains(got, `"ready"`) {
			t.Errorf("engine is back and listed as %s, want ready as a new incarnation", got)
		}
		if crashes := e.Crashes(); len(crashes) != 1 || crashes[0].AttemptID != "cause" {
			t.Errorf("Crashes() = %v, want one by attempt cause", crashes)
		}
		if a := e.Arrivals()[0]; len(a.Parts) != 2 || a.Parts[1] != "bad" {
			t.Errorf("Arrivals()[0] = %+v, want parts good and bad", a)
		}
	}
}

func TestSilenceDelaysStreamsAndLosesNothing(t *testing.T) {
	_, e := startFaulty(t, true)
	start := time.Now()
	time.AfterFunc(2*faultInterval, func() { e.SilenceFor(time.Second) })
	body, err := read(e, "a")
	if took := time.Since(start); err != nil || countEvents(body) != faultEvents || took < time.Second {
		t.Errorf("stream through a silence: body %q, error %v after %v, want all events after a second", body, err, took)
	}
}

func TestUnframedAnswersEndWithTheirConnection(t *testing.T) {
	_, e := startFaulty(t, false)
	for framing, want := range map[Framing]int{UnframedAnswers: faultEvents, UnframedAnswersCut: faultEvents / 2} {
		e.SetFraming(framing)
		resp, err := open(e, "a")
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || countEvents(string(body)) != want || len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0 || !resp.Close {
			t.Errorf("framing %d: body %q, error %v, encoding %v, length %d, want %d events without framing",
				framing, body, err, resp.TransferEncoding, resp.ContentLength, want)
		}
		if ends := strings.HasSuffix(string(body), "\n\n"); ends != (framing == UnframedAnswers) {
			t.Errorf("framing %d: body %q ends with an event: %v", framing, body, ends)
		}
	}
}

// Each kind of answer without end sends on after a mebibyte and ends once the caller closes.
func TestEndlessAnswersGoOnUntilTheCallerCloses(t *testing.T) {
	const enough = 1 << 20
	_, e := startFaulty(t, false)
	for kind := EndlessHead; kind < EndlessKindCount; kind++ {
		e.SetEndless(kind)
		conn, err := net.Dial("tcp", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		req, err := Request{AttemptID: "a", Entry: e.Address(), Method: http.MethodPost, Path: ChatPath + "x"}.NewHTTPRequest()
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Expect-Instance", e.ID)
		if err := req.Write(conn); err != nil {
			t.Fatal(err)
		}
		if n, err := io.CopyN(io.Discard, bufio.NewReader(conn), enough); err != nil {
			t.Errorf("kind %d: %d bytes, error %v, want %d bytes", kind, n, err, enough)
		}
		_ = conn.Close()
	}
	e.SetEndless(EndlessNone)
	for until := time.Now().Add(faultTimeout); e.inFlight() > 0; time.Sleep(faultInterval) {
		if time.Now().After(until) {
			t.Fatal("an answer without end goes on although its connection is closed")
		}
	}
}

func (e *Engine) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
