// Package admin serves the administration API of an entry host: JSON over HTTP,
// with bearer tokens that have scopes, problem details for refusals and the
// history of changes as audit.
//
// The API decides nothing: a change becomes a record of the log, and package
// replay decides it alike on every machine. Any entry host can answer any call.
//
// Secrets are kept out: a tokens file holds hashes, and neither logs nor answers
// nor log records carry a token.
package admin
