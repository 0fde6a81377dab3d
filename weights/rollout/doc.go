// Package rollout decides when a target may leave service to change to another
// version. It is a state machine without I/O: Step takes one event and the time
// since an arbitrary start, and returns effects; Next tells when to call Step
// with a Tick.
//
// # Rule
//
// There is no leader. The targets of a zone that run one service are its
// members; hashing the version and the machine puts them in an order that all
// compute alike. A target that is ready to change asks the other members for
// their status, those before it in the order first. It changes when
//
//   - the members before it that are not done, plus itself, are no more than
//     may be out of service at once: the number of members less the number that
//     must serve, and
//   - without it, at least the number that must serve are known to serve by
//     fresh answers, and
//   - no more than MaxFailures members are known to have failed.
//
// The number that must serve is the larger of MinReady's share of the members,
// rounded up, and what the live load needs. When MinReady is below 1, one member
// may always be out by MinReady's share, or small zones could never change. A
// target that serves nothing takes no capacity away and changes at once. A target
// that failed to change, and serves another version, does not try again until
// the settings change.
//
// # Bound under lagging knowledge
//
// A member goes from old to changing to done, so late knowledge shows it as less
// far than it is, never further. The member with the last place in the order
// among those that are changing counted all others among them as not done when
// it began, so no more than the allowed number are out at once, however late the
// answers come. This holds among members that know the same host list, the same
// settings and the same need; lists that differ by d members allow d more. At
// most MaxFailures plus the number that may be out at once can fail.
//
// A member that does not answer counts as not done and as not serving, so in a
// zone that is cut in two the roll-out waits, and says why.
package rollout
