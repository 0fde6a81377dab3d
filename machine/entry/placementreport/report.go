// Package placementreport holds the query and the answer by which an entry tells where a request would
// go now, and why.
package placementreport

import (
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Path is the path of the report at an entry's metrics address.
const Path = "/placement"

// Query describes a request. It has a service, or the host and the path by which the entry finds the
// route and the service, or both.
type Query struct {
	Service, Host, Path string
	// Team is the name of the caller's team; empty if the route needs none.
	Team string
	// PromptTokens is the size of the prompt and AnswerTokens the caller's estimate of the size of the answer,
	// in tokens; 0 means that the caller does not say.
	PromptTokens, AnswerTokens float64
	// Version is the only version of the weights that may answer, as for a stream that has begun; 0 means
	// any.
	Version int64
}

// Values returns the query as the parameters of an HTTP request.
func (q Query) Values() url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" {
			v.Set(name, value)
		}
	}
	set("service", q.Service)
	set("host", q.Host)
	set("path", q.Path)
	set("team", q.Team)
	if q.PromptTokens != 0 {
		set("prompt", strconv.FormatFloat(q.PromptTokens, 'f', -1, 64))
	}
	if q.AnswerTokens != 0 {
		set("answer", strconv.FormatFloat(q.AnswerTokens, 'f', -1, 64))
	}
	if q.Version != 0 {
		set("version", strconv.FormatInt(q.Version, 10))
	}
	return v
}

// Parse returns the query with the parameters of an HTTP request. Its error names the parameter.
func Parse(v url.Values) (Query, error) {
	q := Query{Service: v.Get("service"), Host: v.Get("host"), Path: v.Get("path"), Team: v.Get("team")}
	var err error
	if q.PromptTokens, err = parseTokens(v, "prompt"); err != nil {
		return q, err
	}
	if q.AnswerTokens, err = parseTokens(v, "answer"); err != nil {
		return q, err
	}
	if text := v.Get("version"); text != "" {
		if q.Version, err = strconv.ParseInt(text, 10, 64); err != nil {
			return q, errors.Newf("version %q: must be a whole number", text)
		}
	}
	return q, q.Check()
}

// maxTokens bounds the sizes in a query.
const maxTokens = 1 << 30

func parseTokens(v url.Values, name string) (float64, error) {
	text := v.Get(name)
	if text == "" {
		return 0, nil
	}
	tokens, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, errors.Newf("%s %q: must be a number of tokens", name, text)
	}
	return tokens, nil
}

// Check returns an error that names what is missing or out of range.
func (q Query) Check() error {
	switch {
	case q.Service == "" && q.Host == "":
		return errors.New("a service, or a host and a path, must be given")
	case q.Host != "" && q.Path == "":
		return errors.New("a path must be given with the host")
	case q.Host == "" && q.Path != "":
		return errors.New("a host must be given with the path")
	case !(q.PromptTokens >= 0 && q.PromptTokens <= maxTokens && q.AnswerTokens >= 0 && q.AnswerTokens <= maxTokens):
		return errors.Newf("sizes must be from 0 to %d tokens", maxTokens)
	case q.Version < 0:
		return errors.New("version must not be negative")
	}
	return nil
}

// Report tells where a request would go now.
type Report struct {
	// Machine is the entry that reports, Manifest the version of the operators' records that it uses.
	Machine  string `json:"machine"`
	Manifest int64  `json:"manifest"`
	Route    string `json:"route"`
	Service  string `json:"service"`
	Team     string `json:"team,omitempty"`
	// LimitMS is the time within which the first event is due, in ms. OldestVersion is the oldest version
	// of the weights that may begin; 0 for any.
	LimitMS       int64 `json:"limit_ms"`
	OldestVersion int64 `json:"oldest_version,omitempty"`
	// Target is the target that would get the request; empty if it would be refused, for Reason. A caller
	// would then be told to come back after RetryAfterMS, in ms. MayWaitMS is for how long a request that
	// finds no target waits for one before it is refused, in ms.
	Target       string `json:"target,omitempty"`
	Reason       string `json:"reason,omitempty"`
	MayWaitMS    int64  `json:"may_wait_ms,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// Targets lists all targets of the service: those that may get the request, the soonest first, then
	// the others by the rule that excludes them.
	Targets []Target `json:"targets"`
}

// Target is what the entry knows of a target.
type Target struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version int64  `json:"version"`
	// Exclusion is the rule by which the target does not get the request, or "free".
	Exclusion string `json:"exclusion"`
	// FirstMS is the predicted time to the first event in ms, of targets that are free or full.
	FirstMS *int64 `json:"first_ms,omitempty"`
	// Load is the estimated number of requests at the target, of which OwnInFlight are this entry's.
	Load        float64 `json:"load"`
	Slots       int     `json:"slots"`
	OwnInFlight int     `json:"own_in_flight"`
	// Pace is how long work takes at the target in percent of what is usual; 0 if it is not known.
	Pace int `json:"pace,omitempty"`
}
