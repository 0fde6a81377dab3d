// Package retry bounds how much extra work retries may cause and computes when
// a refused caller should come back.
//
// A Budget holds an account for each service and for each team of a service.
// Every first attempt pays the retry share into both accounts; every retry
// draws one unit from both. Retries can therefore never exceed the share of
// the load plus a fixed burst, also when everything fails.
//
// The package has no clock and no goroutines. A Budget is not safe for
// concurrent use.
package retry
