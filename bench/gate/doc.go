// Package gate measures the gate of a target: what a back end that turns cold
// without warning is given with and without the policy, in virtual time, and
// what the way through a target process costs beside a direct call, over real
// links.
package gate
