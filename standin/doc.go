// Package standin is the parent of small stand-ins of the platform's services and of back
// ends.
//
// Those in engine, hostlist, logservice, service and store are http.Handlers that speak the
// protocol of docs/PLATFORM.md. Package fault adds switchable faults and statistics to each.
// Command standins serves them, for tests and benchmarks.
//
// Package fleet has separate stand-ins, for fleets whose processes find each other through
// the platform's store. The demo, the soak and tests run them in their own process.
package standin
