// Package cli holds the operators' commands of the program mimosastand: they
// speak the administration API of any entry host and fail over to another.
//
// Register attaches the commands to a parser; Run executes the one that was
// given. Exit codes are the Exit constants.
package cli
