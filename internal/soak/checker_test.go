package soak

import (
	"testing"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
)

const completeBody = "id: 1\ndata: piece 1 of version 2\n\nid: 2\ndata: piece 2 of version 2\n\n"

func streamAnswer(body, weights string) Answer {
	return Answer{Kind: Chat, Attempt: "a", Status: 200, Body: body, Weights: weights, Entry: &harness.Machine{Name: "e"}}
}

// Each check reports the fault that it is for and accepts a correct answer.
func TestCheckerReportsBrokenPromises(t *testing.T) {
	pay := Answer{Kind: Pay, Attempt: "a", Status: 200, Sent: "POST /pay/x 5", Body: "POST /pay/x 5 tenant=t", Stamp: "stamp-s-a", Entry: &harness.Machine{Name: "e"}}
	for name, c := range map[string]struct {
		answer      Answer
		runs        int
		undisturbed bool
		want        Promise
	}{
		"complete stream":         {streamAnswer(completeBody, "2"), 1, true, ""},
		"stream without end":      {streamAnswer(completeBody[:33], "2"), 1, true, WholeStream},
		"repeated event":          {streamAnswer(completeBody[:33]+completeBody, "2"), 1, true, WholeStream},
		"events of two versions":  {streamAnswer("id: 1\ndata: piece 1 of version 1\n\n"+completeBody[33:], ""), 1, true, WholeStream},
		"other version reported":  {streamAnswer(completeBody, "1"), 1, true, WholeStream},
		"cut with error":          {Answer{Kind: Chat, Status: 200, Err: errors.New("cut"), Body: completeBody[:33], Entry: &harness.Machine{}}, 1, true, ""},
		"paid":                    {pay, 1, true, ""},
		"paid twice":              {pay, 2, true, OnceOnly},
		"answer to other request": {modified(pay, func(a *Answer) { a.Body = "POST /pay/y 6" }), 1, true, TrueAnswer},
		"stamp of other attempt":  {modified(pay, func(a *Answer) { a.Stamp = "stamp-s-b" }), 1, true, TrueAnswer},
		"refused and not run":     {Answer{Kind: Pay, Status: 503, Entry: &harness.Machine{}}, 0, true, ""},
		"refused although it ran": {Answer{Kind: Pay, Status: 503, Entry: &harness.Machine{}}, 1, true, TrueRefusal},
		"no answer":               {Answer{Kind: Look, Err: errors.New("reset"), Entry: &harness.Machine{}}, 0, true, Answered},
		"no answer, entry killed": {Answer{Kind: Look, Err: errors.New("reset"), Entry: &harness.Machine{}}, 0, false, ""},
		"failed without promise":  {Answer{Kind: Pay, Status: 502, Entry: &harness.Machine{}}, 1, true, ""},
	} {
		checker := NewChecker(2, func(string) int { return c.runs })
		checker.CheckAnswer(c.answer, c.undisturbed)
		checker.CheckRuns()
		violations := checker.Violations()
		switch {
		case c.want == "" && len(violations) > 0:
			t.Errorf("%s: Violations() = %v, want none", name, violations)
		case c.want != "" && (len(violations) == 0 || violations[0].Promise != c.want):
			t.Errorf("%s: Violations() = %v, want a violation of %q", name, violations, c.want)
		}
	}
}

func modified(a Answer, change func(*Answer)) Answer {
	change(&a)
	return a
}
