// Package rollout decides when a target may leave service to change to another
// version. It is a state machine without I/O: Step applies one event at a time since
// an arbitrary start and returns effects; Next returns when to call Step with a Tick.
//
// # Rule
//
// There is no leader. The targets of a zone that run one service are its members;
// a hash of the version and the host puts them in an order that all of them compute
// alike. A target that is ready to change requests the status of the other members,
// mostly of those before it in the order that are not done. It changes when
//
//   - the members before it that are not done, plus itself, are no more than may be
//     out of service at once: the number of members less the number that must serve,
//     and
//   - at least the number that must serve are known to serve without it, by statuses
//     that are still valid, and
//   - no more than MaxFailures members are known to have failed.
//
// The number that must serve is the larger of MinReady's share of the members,
// rounded up, and what the live load needs. When MinReady is below 1, its share always
// lets one member be out, as small zones could never change otherwise. A target that
// serves nothing takes no capacity away and changes at once, unless too many members
// failed. A target that failed to change, and serves another version, does not try
// again until the settings change.
//
// # Bound with delayed statuses
//
// A member goes from old to changing to done, so a delayed status shows it as less far
// than it is, never further. Of the members that are changing, the last one in the
// order counted all the others as not done when it began, so no more than the allowed
// number are out at once, however late the statuses arrive. This holds among members
// that know the same host list, the same settings and the same required number; lists
// that differ by d members allow d more. At most MaxFailures plus the number that may
// be out at once can fail.
//
// A member that does not answer counts as not done and as not serving, so in a
// partitioned zone the roll-out waits and reports why.
package rollout
