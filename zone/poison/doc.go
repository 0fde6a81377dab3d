// Package poison finds out which part of a prompt crashes the model engines that answer it,
// as a poison message does the consumers of a queue, and refuses the requests that hold it.
//
// An attempt is proven once its answer is complete or has been streaming for ProvenAfter. One
// that breaks off unproven, and whose target's incarnation then turns out to have ended, is
// an observation against the parts of its prompt, except the last, which no other request
// holds. The entries report their observations to each other. A part is blamed if several
// crashes in a row happened to attempts with it, each sent after the one before had broken,
// while attempts without it were proven. Blame is spread in verdicts, which all entries relay;
// a request with the part that is proven lifts it. Now and then one entry sends a request
// with a blamed part, as a probe.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent
// use.
package poison
