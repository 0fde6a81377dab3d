// Package admin serves the administration API of an entry host: JSON over HTTP, with
// scoped bearer tokens for authorization, problem details for refusals, and the history
// of changes as an audit trail.
//
// The API itself does not decide about changes. A change is appended to the log as a
// record, and package replay decides about the record in the same way on every host. So
// any entry host can answer any call.
//
// Tokens stay secret: the tokens file holds only their hashes, and no log line, response
// or log record contains a token.
package admin
