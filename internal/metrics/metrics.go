// Package metrics provides the metrics of a process: a tally scope to record them in, and an
// HTTP page in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/traffic"
	"mimosastand.example/mimosastand/link"
)

// reportInterval is how often the scope passes its metrics to the Prometheus reporter.
const reportInterval = time.Second

// Registry holds the metrics of one process.
type Registry struct {
	scope    tally.Scope
	reporter promreporter.Reporter
	closer   io.Closer
	// pages holds the handlers of other pages by path.
	pages map[string]http.Handler
}

// New returns a registry whose metric names begin with "mimosastand_", except those of the
// Go runtime and the operating-system process.
func New() *Registry {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "mimosastand",
		CachedReporter:         reporter,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, reporter: reporter, closer: closer, pages: map[string]http.Handler{}}
}

// Scope returns the root scope.
func (r *Registry) Scope() tally.Scope {
	return r.scope
}

// Handler serves the metrics page in the Prometheus text format.
func (r *Registry) Handler() http.Handler {
	return r.reporter.HTTPHandler()
}

// AddPage serves another page at a path of the address of the metrics page. It must be called before Serve.
func (r *Registry) AddPage(path string, page http.Handler) { r.pages[path] = page }

// Close flushes and stops the reporter.
func (r *Registry) Close() error {
	return r.closer.Close()
}

// CountRefusal counts a refusal by its reason.
func CountRefusal(scope tally.Scope, reason contract.Reason) {
	scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals").Inc(1)
}

// CountRetry counts a retry by its reason.
func CountRetry(scope tally.Scope, reason contract.Reason) {
	scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries").Inc(1)
}

// CountIgnored counts dropped input by its reason.
func CountIgnored(scope tally.Scope, reason contract.Reason) {
	scope.Tagged(map[string]string{"reason": string(reason)}).Counter("ignored").Inc(1)
}

// ReportStoreCalls reports how many calls to the platform's store ended with each result.
func ReportStoreCalls(scope tally.Scope, results map[string]uint64) {
	for result, n := range results {
		scope.Tagged(map[string]string{"result": result}).Gauge("store_calls").Update(float64(n))
	}
}

// ReportLinks reports the bytes sent and received on the links of a process.
func ReportLinks(scope tally.Scope, links link.Traffic) {
	scope.Gauge("link_sent_bytes").Update(float64(links.SentBytes))
	scope.Gauge("link_received_bytes").Update(float64(links.ReceivedBytes))
}

// Traffic reports the bytes sent and received on the links of a process and in its calls to
// the platform.
func Traffic(scope tally.Scope, links link.Traffic, calls *traffic.Meter) {
	sent, received := calls.Bytes()
	ReportLinks(scope, links)
	scope.Gauge("platform_sent_bytes").Update(float64(sent))
	scope.Gauge("platform_received_bytes").Update(float64(received))
}
