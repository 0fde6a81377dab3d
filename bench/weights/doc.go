// Package weights measures the distribution of weights. It runs the state
// machines of weights/swarm over small paced links in memory and in virtual
// time: the same seed gives the same figures.
package weights
