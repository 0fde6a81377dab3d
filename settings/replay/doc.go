// Package replay turns the records of the settings stream into the tree. All
// processes replay the same records by the same rule and so agree on the tree
// and on what became of every change, without talking to each other.
//
// # Contract
//
// State.Apply takes the records in the order of their offsets, without gaps.
// For each it returns a Decision:
//
//   - a change whose identifier is in the window of recent changes is a
//     duplicate and has no effect, so that a resend is harmless; the decision
//     names the first one and its outcome;
//   - a change whose base is older than the window is refused, because neither
//     a resend nor a conflict could be told any more;
//   - a change with a value that the schema does not allow is refused whole;
//   - a change of a key that another change set after the base is a conflict
//     and has no effect at all; the decision names the other change;
//   - any other change is accepted and sets all its keys;
//   - a checkpoint that equals the state before it is confirmed, any other is
//     refused; neither alters the state;
//   - bytes that are no record are counted and skipped.
//
// The state has no clock, goroutine or random source. Its size is bounded by
// the number of scopes and keys in use and by WindowRecords.
package replay
