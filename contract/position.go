package contract

// offsetBits is the number of bits of a position that hold the offset: enough for 17 million
// million records of one era.
const offsetBits = 44

// NewPosition returns the position of a record in a topic of the platform's store. The store
// may come back from an older copy, which begins a new era, and then gives offsets out again;
// positions of a newer era are greater than all of an older one. In era 0, which is that of a
// store that reports none, a position is the offset.
func NewPosition(era, offset int64) int64 { return era<<offsetBits + offset }

// PositionEra returns the era of a position, and PositionOffset the offset in it.
func PositionEra(position int64) int64 { return position >> offsetBits }

// PositionOffset returns the offset of a position in its era.
func PositionOffset(position int64) int64 { return position & (1<<offsetBits - 1) }
