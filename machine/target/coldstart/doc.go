// Package coldstart decides how many units of work a back end may have at once.
//
// A Limiter is a state machine without I/O. Its user passes the time with each
// event: units sent to the back end, first tokens, ended units, reports of the
// engine and faults of the hop to it. Step answers whether the limit fell or
// the event was ignored, and why; Limit gives the limit in force.
//
// # Phases
//
// PhaseUnknown is the first phase beside a back end that reports: the process
// may have followed another one whose work still runs in the engine. The limit
// is 0 until a report that was taken after the process started. Work that such
// a report shows beyond the process's own is foreign: it counts against the
// limit until later reports show that it ended.
//
// PhaseCold holds the limit at Settings.Cold. A report that was taken after
// the fall and says warm begins PhaseRising, in which the limit rises in
// proportion to time over Settings.SlowStart; then the back end is in PhaseWarm
// with the limit Settings.Max. In each phase the limit of the newest report is
// an upper bound, and without a report for Settings.StaleAfter the limit is at
// most Settings.Cold.
//
// # Falls
//
// The limit falls to Settings.Cold at once when the boot identity or the
// digest of the engine changes, when a report says cold, when the engine
// refuses for overload, when an answer breaks off, and when first tokens take
// several times longer than they did. A fall is undone only by a report that
// was taken after it.
//
// # Input that is ignored
//
// Reports that repeat or precede an accepted one, that come from a former boot
// or contradict themselves are counted by their Cause and change nothing. A
// time before that of an earlier event counts as the earlier time.
package coldstart
