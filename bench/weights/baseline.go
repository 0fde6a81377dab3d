package weights

import "time"

// baselineWindow is how many chunks a baseline host draws, or a tree host sends
// to one child, at once.
const baselineWindow = 2

// RunOrigin lets each host draw every chunk from the origin.
func RunOrigin(p Params) Result {
	w := newWire(p)
	for _, h := range w.hosts {
		next, held := 0, 0
		var draw func()
		draw = func() {
			if next == p.chunks() {
				return
			}
			bytes := w.chunkSize(next)
			next++
			w.transfer(nil, h, bytes, nil, func(bool) {
				held++
				if held == p.chunks() {
					h.finished = w.clock.now
				}
				draw()
			}).start()
		}
		for range baselineWindow {
			draw()
		}
	}
	w.clock.run(p.Limit, w.allDone)
	return w.result()
}

// treeFanOut is the number of children of a host in the fixed tree.
const treeFanOut = 2

// treeNode is one host of the fixed tree.
type treeNode struct {
	host     *host
	children []*treeEdge
	held     int
}

// treeEdge queues the chunks that a node owes to one child.
type treeEdge struct {
	to    *treeNode
	queue []int
	busy  int
}

// RunTree sends chunks down a fixed tree: inside a region each host sends every
// chunk on to two others, and the first host of each further region is a child
// of the very first host.
func RunTree(p Params) Result {
	w := newWire(p)
	nodes := make([]*treeNode, len(w.hosts))
	for i, h := range w.hosts {
		nodes[i] = &treeNode{host: h}
	}
	for i := 1; i < len(nodes); i++ {
		nodes[treeParent(i, p.Regions)].addChild(nodes[i])
	}
	next := 0
	var draw func()
	draw = func() {
		if next == p.chunks() {
			return
		}
		i := next
		next++
		w.transfer(nil, w.hosts[0], w.chunkSize(i), nil, func(bool) { nodes[0].got(i); draw() }).start()
	}
	for range baselineWindow {
		draw()
	}
	w.clock.run(p.Limit, w.allDone)
	return w.result()
}

// treeParent returns the parent of host i. Host i is number i/regions of
// region i%regions.
func treeParent(i, regions int) int {
	region, k := i%regions, i/regions
	if k == 0 {
		return 0
	}
	return (k-1)/treeFanOut*regions + region
}

func (n *treeNode) addChild(c *treeNode) {
	n.children = append(n.children, &treeEdge{to: c})
}

func (n *treeNode) got(i int) {
	w := n.host.wire
	n.held++
	if n.held == w.p.chunks() {
		n.host.finished = max(w.clock.now, time.Nanosecond)
	}
	for _, e := range n.children {
		e.queue = append(e.queue, i)
		e.send(n)
	}
}

func (e *treeEdge) send(from *treeNode) {
	w := from.host.wire
	for e.busy < baselineWindow && len(e.queue) > 0 {
		i := e.queue[0]
		e.queue = e.queue[1:]
		e.busy++
		w.transfer(from.host, e.to.host, w.chunkSize(i), nil, func(bool) {
			e.busy--
			e.to.got(i)
			e.send(from)
		}).start()
	}
}
