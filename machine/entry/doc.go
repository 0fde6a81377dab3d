// Package entry is the daemon of an entry host. It turns callers' HTTP requests,
// link messages, timers, settings and host lists into events of the state
// machine in package dispatch, and the machine's effects into bytes. It makes
// no decisions of its own.
package entry
