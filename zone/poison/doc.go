// Package poison finds out which requests crash the targets that run them, as a poison message
// does the consumers of a queue, and refuses them. What crashes targets is a part of the prompts
// of many requests, or one request as a whole that comes again; both are a Part here.
//
// An attempt is proven once its answer is complete or has been streaming for ProvenAfter. One
// that breaks off unproven, and whose target's incarnation then turns out to have ended, is
// an observation against the request as a whole and the parts of its prompt, except the last,
// which no other request holds. The entries report their observations to each other. A part is
// blamed if several crashes in a row happened to attempts with it, each sent after the one before
// had broken, while attempts without it were proven. Requests as a whole are judged first, and
// repeats of one request count once against the parts of its prompt. A request that is about to
// be blamed is held back. Blame is spread in verdicts, which all entries relay; a request with the
// part that is proven lifts it. Now and then one entry sends a request with a blamed part, as a
// probe.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent
// use.
package poison
