// Package coldstart decides how many units of work a back end may run at once.
//
// A Limiter is a state machine without I/O. The caller passes the time with each event:
// units sent to the back end, first tokens, ended units, reports of the engine, and
// faults of the connection to it. Step returns whether and why the limit fell or the
// event was ignored; Limit returns the current limit.
//
// # Phases
//
// A back end that reports its load starts in PhaseUnknown: an earlier process may have
// left work that still runs in the engine. The limit is 0 until a report arrives that was
// taken after this process started. Units that such a report shows in excess of the
// process's own are foreign: they count against the limit until later reports show that
// they ended. A back end that does not report its load starts in PhaseSlowStart.
//
// PhaseCold keeps the limit at Settings.ColdLimit. A report that was taken after the last
// fall and says warm begins PhaseSlowStart, in which the limit rises in proportion to
// time, over Settings.SlowStart, to Settings.WarmLimit. Then the back end is in
// PhaseWarm, with that limit. In each phase the limit of the newest report is an upper
// bound, and while the newest report is older than Settings.StaleAfter the limit is at
// most Settings.ColdLimit.
//
// # Falls
//
// The limit falls to Settings.ColdLimit at once when the boot identity or the digest of
// the engine changes, when the back end begins to serve another version, when a report
// says cold, when the engine refuses a unit for overload, when an answer breaks off, and
// when first tokens take several times longer than before. Only a report that was taken
// after a fall can undo it. A back end that does not report its load begins a new slow
// start at once.
//
// # Ignored input
//
// Reports that repeat or precede an accepted one, that come from a former boot, or that
// contradict themselves are ignored; the caller counts them by their Cause. A time before
// that of an earlier event counts as the earlier time.
package coldstart
