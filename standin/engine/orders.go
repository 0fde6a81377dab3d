package engine

import (
	"net/http"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// order is the body of POST /v1/orders.
type order struct {
	Fence    contract.Fence  `json:"fence"`
	Order    string          `json:"order"`
	Digest   contract.Digest `json:"digest"`
	Adapters []string        `json:"adapters"`
	Role     string          `json:"role"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	if !e.checkFence(o.Fence) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, map[string]contract.Fence{"fence": e.fence})
		return
	}
	status := e.execute(o)
	e.recordSnapshot(time.Now())
	w.WriteHeader(status)
}

// checkFence reports whether an order with a fencing number may be carried out. An engine
// without fencing carries out all orders.
func (e *Engine) checkFence(fence contract.Fence) bool {
	if fence >= e.fence {
		e.fence = fence
		return true
	}
	if e.config.Fencing {
		e.stats.StaleRefused++
		return false
	}
	e.stats.StaleObeyed++
	return true
}

// execute carries out an order and returns the status of the reply.
func (e *Engine) execute(o order) int {
	switch o.Order {
	case "activate":
		return e.activate(o)
	case "drop":
		delete(e.staging, o.Digest)
		if e.active == o.Digest {
			e.active = ""
		}
		return http.StatusOK
	case "role":
		e.role = o.Role
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

func (e *Engine) activate(o order) int {
	if o.Digest == e.active {
		e.adapters = o.Adapters
		return http.StatusOK
	}
	if !e.staging[o.Digest].isComplete() {
		return http.StatusUnprocessableEntity
	}
	e.active = o.Digest
	e.adapters = o.Adapters
	if o.Role != "" {
		e.role = o.Role
	}
	e.startCold(time.Now())
	return http.StatusOK
}
