// Package swarm decides how a target downloads the chunks of weight versions and serves
// them to its peers. It is a state machine without I/O: Step takes one event and the
// time and returns effects; Next returns when to call Step with a Tick. Times are
// durations since an arbitrary start.
//
// # Topology
//
// There is no tracker. Every target computes the following from the list of targets
// alone:
//
//   - its neighbours, which come from two circulant graphs whose rings are ordered by
//     hash: one over the targets of its zone, and, if the region has further zones, one
//     with fewer edges over the targets of its region. A slot holder also has the other
//     slot holders of its region as neighbours;
//   - the slot holders: each version has Config.Slots slots, chunk i belongs to slot
//     i mod Slots, and rendezvous hashing assigns one target per region to each slot;
//   - the region order of a slot, which starts with the region of the origin. A slot
//     holder downloads from the holder in the preceding region, and the holder in the
//     first region downloads from the origin.
//
// As long as nothing fails, the origin therefore sends one copy in total, each chunk
// enters a region once, and the links between regions share the load. All other targets
// download from neighbours, rarest chunk first.
//
// # Take-over
//
// If no further chunk of a slot has appeared in the region for some time, the target that
// is next in the slot's rendezvous order downloads the missing chunks; the target after
// that one does so later still. The times are jittered and follow the measured progress
// of the slot.
//
// # Guarantees
//
//   - A chunk counts as held only after the event ChunkVerified.
//   - A request is made only to a peer that advertised the chunk, or to the origin.
//   - At most Config.Downloads requests to peers of the region are outstanding, except
//     during the endgame, in which late chunks are requested from further sources.
//   - At most Config.Uploads requests are served at once and at most Config.UploadQueue
//     wait, separately for peers of the region and for other peers.
//   - A withdrawn version is neither requested nor served.
//   - Scheduled Have messages to neighbours stay within Config.ControlBytes per second,
//     apart from a burst. Replies to a Have without chunks and announcements to the holders
//     and successors of a slot are sent without this limit.
package swarm
