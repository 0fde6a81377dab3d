// Package gate decides which attempts reach the back end of a target, and when. It is the
// only way to that back end.
//
// A Gate is a state machine without I/O. Step applies one event at a given time and
// returns effects, which the caller carries out in order. NextWake returns the time at
// which the gate needs its next Tick. The caller serializes all calls.
//
// # At most once
//
// An attempt has a record before its Run effect is returned, and no attempt with a record
// or a tombstone is run. The attempt of a Refuse effect has a tombstone, or a form that is
// never accepted, so that late copies of it are refused too. A copy of an attempt that is
// queued, running or done gets a ReportStatus effect with the attempt's state and is never
// refused. An attempt of a request that is not idempotent is refused while another attempt
// of the request may have run here.
//
// A target answers for its own process only. A query about an attempt that was first sent
// before the process could receive it, that is older than the retention of records, or
// whose age is unknown, is answered with contract.AttemptNoRecord unless the process itself
// has received the attempt. contract.AttemptNeverRan is the answer only for an attempt that
// has a tombstone.
//
// # Pauses
//
// After a pause of the process, the time that attempts have waited in its sockets is
// unknown, and its settings may be out of date. A gap of more than Config.PauseThreshold
// between two steps counts as a pause. Queued attempts, and those that arrive within
// Config.PauseGrace after it, are refused.
//
// # Order of checks
//
// An arriving attempt is checked for its form, for records and tombstones, for the
// target's state (leaving, settings, zone), for its deadline, for its weights, and for
// room. The deadline is checked again when the attempt leaves the queue, and attempts
// that are queued for other weights are refused when the active version changes. The
// caller checks the deadline and the weights a last time with Sendable before it calls the
// back end. The weights are checked once more when the work ends.
//
// # Room
//
// Package coldstart determines the limit of running units. The queue is bounded by that
// limit, by Config.MaxQueue and by Config.MaxQueueBytes. It is ordered by priority and
// then by arrival. An attempt that would wait beyond its deadline at the present drain
// rate is refused. All queued attempts are refused at once when the zone is evacuated, when
// the target begins to leave and when the limit falls. If it falls only because the back
// end reports a lower limit, just those in excess of the new queue limit are refused.
//
// A unit counts as running until the back end is known to have stopped working on it. An
// attempt whose answer has ended may linger until Released or until its linger time is
// over.
package gate
