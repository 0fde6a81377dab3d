// Package cli implements the operators' commands of the program mimosastand. The
// commands call the administration API of an entry host and fail over to another one.
//
// Register attaches the commands to a parser; CommandSet.Run executes the one that the
// command line names. The Exit constants are the exit codes.
package cli
