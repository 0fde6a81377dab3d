// Package entry implements the process of an entry host. It converts callers' HTTP
// requests, link messages, timers, settings and host lists to events of the state machine
// in package dispatch, and executes the state machine's effects: it sends messages,
// writes responses to callers and counts. All decisions are made by the state machine.
package entry
