package sim

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/follow/spread"
)

// waiter is a long poll of the log; id tells it from other polls of the same node.
type waiter struct {
	after contract.Offset
	id    uint64
}

func (n *Node) append(data []byte) {
	if !n.logCut() {
		_, _ = n.world.Append(data)
	}
	n.deliver(spread.Appended{})
}

func (n *Node) probe(after contract.Offset) {
	batch, err := n.world.poll(after)
	if err != nil || n.logCut() {
		n.deliver(spread.ProbeFailed{})
		return
	}
	n.deliver(spread.ExtraRead{Batch: batch, Probe: true})
}

// readLog runs a long poll.
func (n *Node) readLog(e spread.ReadLog) {
	w := n.world
	if n.logCut() {
		w.queue.After(callTimeout, func() { n.deliver(spread.LogFailed{}) })
		return
	}
	batch, err := w.poll(e.After)
	if err != nil {
		n.deliver(spread.LogFailed{Trimmed: err == durable.ErrTrimmed})
		return
	}
	if len(batch.Records) > 0 || e.Wait == 0 {
		n.deliver(spread.LogRead{After: e.After, Batch: batch})
		return
	}
	w.polls++
	id := w.polls
	w.waiting[n] = waiter{after: e.After, id: id}
	w.queue.After(e.Wait, func() {
		if w.waiting[n].id == id {
			w.finish(n)
		}
	})
}

func (w *World) poll(after contract.Offset) (durable.Batch, error) {
	batch, _, err := w.Log.read(after)
	return batch, err
}

// finish answers a waiting long poll.
func (w *World) finish(n *Node) {
	after := w.waiting[n].after
	delete(w.waiting, n)
	batch, err := w.poll(after)
	if err != nil || n.logCut() {
		n.deliver(spread.LogFailed{Trimmed: err == durable.ErrTrimmed})
		return
	}
	n.deliver(spread.LogRead{After: after, Batch: batch})
}

// wakeWaiters answers all long polls, in the order of the nodes' start.
func (w *World) wakeWaiters() {
	for _, n := range w.nodes {
		if _, ok := w.waiting[n]; ok {
			w.queue.After(logDelay+w.LogDelay, func() {
				if _, still := w.waiting[n]; still {
					w.finish(n)
				}
			})
		}
	}
}
