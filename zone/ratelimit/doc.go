// Package ratelimit holds the request rates to which targets limit all entries together.
//
// A target under pressure names the rate in its answers, for as long as the limit holds.
// Each answer is an observation. The entries report their observations to each other, so
// that an entry knows of a limit before the target has told it, and of its end when another
// entry asked. Package placement divides the rate among the entries.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent
// use.
package ratelimit
