// Package load simulates callers: it sends model calls and calls of plain services through
// entry hosts, checks each answer to the last token or byte, and counts the results.
package load
