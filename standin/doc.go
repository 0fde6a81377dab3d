// Package standin is the parent of small stand-ins of the platform's services and of back
// ends, for tests and for the demo. Each is an http.Handler that speaks the protocol of
// docs/PLATFORM.md. Package fault adds switchable faults and a page of statistics to each.
package standin
