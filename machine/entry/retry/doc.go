// Package retry bounds the additional load that retries may cause, and computes after how
// long a refused caller should retry.
//
// A Budget holds an account for each service and for each team of a service. Every first
// attempt deposits the retry share into both accounts; every retry withdraws one unit from
// both. Retries therefore never exceed the share of the load plus a fixed burst, even if
// every attempt fails. A Window bounds the retries within a sliding window of time instead.
//
// The package has no clock and no goroutines. Its types are not safe for concurrent use.
package retry
