package peers

import (
	"math/bits"
	"time"
)

// LargeTopicBytes is the size of a topic's records from which on the processes of a zone take
// turns to bring them into the zone: 44 copies of a manifest of 500 KB took 7 s of a link of
// 25 Mbit/s. Smaller topics are fetched by all processes at the same time.
const LargeTopicBytes = 64 << 10

const (
	// firstTurnDelay is how long the process with the first turn leaves a large record to the
	// store, and TurnInterval the time from a turn to the next. One copy of a compressed
	// manifest of 500 KB takes about 50 ms of a link of 25 Mbit/s.
	firstTurnDelay = 250 * time.Millisecond
	TurnInterval   = 350 * time.Millisecond
)

// TransferTurn returns the turn of the process with a rank in its zone to bring a large record
// into the zone. The ranks 0 and 1 have a turn of their own, and each later turn is that of twice
// as many: few copies cross a link while one of the first delivers, and 44 processes are through
// after 7 turns although the first of them are gone.
func TransferTurn(rank int) int { return bits.Len(uint(max(rank, 0))) }

// turnDelay returns the time from the first turn to the moment at which the process with a rank
// begins. Those of one turn begin evenly spread over it, so that the first of them to end a
// transfer can serve the others.
func turnDelay(rank int) time.Duration {
	turn := TransferTurn(rank)
	if turn == 0 {
		return 0
	}
	first := 1 << (turn - 1)
	return time.Duration(turn)*TurnInterval + time.Duration(rank-first)*TurnInterval/time.Duration(first)
}

// RemotePullDelay returns how long after a peer of another zone reported a newer record the
// process with a rank in its zone pulls it from there. heldBytes is the size of the topic as the
// process holds it.
func RemotePullDelay(rank, heldBytes int) time.Duration {
	if heldBytes < LargeTopicBytes {
		return remoteGracePeriod
	}
	return firstTurnDelay + turnDelay(rank)
}
