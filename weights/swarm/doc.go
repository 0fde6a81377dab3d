// Package swarm decides how a target draws the chunks of weight versions and
// serves them to its peers. It is a state machine without I/O: Step takes one
// event and the time and returns effects; Next tells when to call Step with a
// Tick again. The time is the duration since an arbitrary start.
//
// # Topology
//
// There is no tracker. Every target computes from the host list alone:
//
//   - its neighbours: a circulant graph over the targets of its region, ordered
//     by hash, its own zone first;
//   - the slot holders: each version has Config.Slots slots, chunk i belongs to
//     slot i mod Slots, and rendezvous hashing names one target per region for
//     each slot;
//   - the region order of a slot: the origin's region first. A slot holder draws
//     from the holder in the preceding region, the first one from the origin.
//
// So the origin gives one copy in all, each chunk enters a region once, and the
// links between regions share the load. All other targets draw from neighbours,
// rarest chunk first.
//
// # Take-over
//
// When no chunk of a slot has become visible for a while, the target that is
// next in the slot's rendezvous order draws it, the one after that later still.
// The times are jittered and follow the measured pace of the slot.
//
// # Guarantees
//
//   - A chunk counts as held only after the event ChunkVerified.
//   - A request is made only to a peer that advertised the chunk, or to the origin.
//   - At most Config.Downloads requests are outstanding, at most Config.Uploads
//     are served at once and at most Config.UploadQueue wait, for each class.
//   - A withdrawn version is neither requested nor served.
//   - Have messages stay within Config.ControlBytes a second, apart from a burst.
package swarm
