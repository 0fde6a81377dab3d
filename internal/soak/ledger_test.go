package soak

import (
	"testing"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
)

const wholeBody = "id: 1\ndata: piece 1 of version 2\n\nid: 2\ndata: piece 2 of version 2\n\n"

func stream(body, weights string) Answer {
	return Answer{Kind: Chat, Attempt: "a", Status: 200, Body: body, Weights: weights, Entry: &harness.Machine{Name: "e"}}
}

// Each check is shown to find what it is for, and to pass what is right.
func TestChecksFindWhatTheyAreFor(t *testing.T) {
	pay := Answer{Kind: Pay, Attempt: "a", Status: 200, Sent: "POST /pay/x 5", Body: "POST /pay/x 5 tenant=t", Stamp: "stamp-s-a", Entry: &harness.Machine{Name: "e"}}
	for name, c := range map[string]struct {
		answer      Answer
		runs        int
		undisturbed bool
		want        Promise
	}{
		"whole stream":             {stream(wholeBody, "2"), 1, true, ""},
		"stream without its end":   {stream(wholeBody[:33], "2"), 1, true, WholeStream},
		"event twice":              {stream(wholeBody[:33]+wholeBody, "2"), 1, true, WholeStream},
		"two versions":             {stream("id: 1\ndata: piece 1 of version 1\n\n"+wholeBody[33:], ""), 1, true, WholeStream},
		"another version told":     {stream(wholeBody, "1"), 1, true, WholeStream},
		"cut and told so":          {Answer{Kind: Chat, Status: 200, Err: errors.New("cut"), Body: wholeBody[:33], Entry: &harness.Machine{}}, 1, true, ""},
		"paid":                     {pay, 1, true, ""},
		"paid twice":               {pay, 2, true, OnceOnly},
		"another's answer":         {with(pay, func(a *Answer) { a.Body = "POST /pay/y 6" }), 1, true, TrueAnswer},
		"another's stamp":          {with(pay, func(a *Answer) { a.Stamp = "stamp-s-b" }), 1, true, TrueAnswer},
		"refused and not run":      {Answer{Kind: Pay, Status: 503, Entry: &harness.Machine{}}, 0, true, ""},
		"refused although it ran":  {Answer{Kind: Pay, Status: 503, Entry: &harness.Machine{}}, 1, true, TrueRefusal},
		"no answer":                {Answer{Kind: Look, Err: errors.New("reset"), Entry: &harness.Machine{}}, 0, true, Answered},
		"no answer, entry killed":  {Answer{Kind: Look, Err: errors.New("reset"), Entry: &harness.Machine{}}, 0, false, ""},
		"failed and promises none": {Answer{Kind: Pay, Status: 502, Entry: &harness.Machine{}}, 1, true, ""},
	} {
		l := NewChecker(2, func(string) int { return c.runs })
		l.CheckAnswer(c.answer, c.undisturbed)
		l.CheckRuns()
		broken := l.Violations()
		switch {
		case c.want == "" && len(broken) > 0:
			t.Errorf("%s: %v", name, broken)
		case c.want != "" && (len(broken) == 0 || broken[0].Promise != c.want):
			t.Errorf("%s: found %v, want %q", name, broken, c.want)
		}
	}
}

func with(a Answer, change func(*Answer)) Answer {
	change(&a)
	return a
}
