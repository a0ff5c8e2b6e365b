package model

import (
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/balsamwood/balsamwood/internal/fake/fault"
)

// Order is an order that the engine accepted.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
}

// orders holds the accepted orders, the highest fencing number and the loaded
// models.
type orders struct {
	mu       sync.Mutex
	fencing  bool
	anyModel bool
	models   []string
	log      []Order
	fence    uint64
}

func newOrders(fencing bool, models []string) *orders {
	return &orders{fencing: fencing, anyModel: len(models) == 0, models: slices.Clone(models), log: []Order{}}
}

// Orders returns the accepted orders.
func (en *Engine) Orders() []Order { return en.orders.accepted() }

func (od *orders) accepted() []Order {
	od.mu.Lock()
	defer od.mu.Unlock()
	return slices.Clone(od.log)
}

func (od *orders) serves(model string) bool {
	od.mu.Lock()
	defer od.mu.Unlock()
	return od.anyModel || slices.Contains(od.models, model)
}

// apply executes the order unless its fencing number is superseded. It returns the
// highest fencing number and whether the order was accepted.
func (od *orders) apply(or Order) (uint64, bool) {
	od.mu.Lock()
	defer od.mu.Unlock()
	if od.fencing && or.Fence < od.fence {
		return od.fence, false
	}
	od.fence = max(od.fence, or.Fence)
	od.log = append(od.log, or)
	if or.Kind == "loadModel" && !slices.Contains(od.models, or.Subject) {
		od.models = append(od.models, or.Subject)
	}
	return od.fence, true
}

func (od *orders) accept(wr http.ResponseWriter, re *http.Request) {
	var or Order
	if !fault.ReadJSON(wr, re, &or) {
		return
	}
	if !slices.Contains([]string{"loadModel", "loadAdapter", "changeRole"}, or.Kind) {
		writeError(wr, http.StatusBadRequest, "invalid_request_error", "", "the order kind is not loadModel, loadAdapter or changeRole")
		return
	}
	if fence, ok := od.apply(or); !ok {
		writeError(wr, http.StatusConflict, "invalid_request_error", "stale_fence",
			fmt.Sprintf("fencing number %d is superseded by %d", or.Fence, fence))
		return
	}
	fault.WriteJSON(wr, http.StatusOK, or)
}

func (od *orders) list(wr http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(wr, http.StatusOK, od.accepted())
}
