// Package load plays callers: it sends model calls and service calls through
// entry hosts, checks every answer to the last token and counts what came back.
package load
