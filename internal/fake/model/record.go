package model

import (
	"slices"
	"sync"
)

// Run is the record of one call.
type Run struct {
	Request  string `json:"request"`
	Priority int    `json:"priority"`
	// Started is the position in the order in which calls got a slot, from 1,
	// or 0 while the call waits.
	Started int `json:"started"`
	Prompt  int `json:"prompt"`
	// Cached is the number of prompt tokens whose prefill was saved.
	Cached   int    `json:"cached"`
	Produced int    `json:"produced"`
	State    string `json:"state"`
}

// States of a run.
const (
	// Waiting means that the call has no slot yet.
	Waiting = "waiting"
	// Running means that the call has a slot.
	Running = "running"
	// Completed means that the whole answer was written.
	Completed = "completed"
	// Cancelled means that the client went away.
	Cancelled = "cancelled"
	// Failed means that a switch broke the call.
	Failed = "failed"
	// Cut means that the connection was cut and that the call can be resumed.
	Cut = "cut"
	// Refused means that the queue was full, so the call did not run.
	Refused = "refused"
)

// record keeps the last runs. The oldest ones are dropped above the limit.
type record struct {
	mu      sync.Mutex
	limit   int
	started int
	runs    []*Run
}

func newRecord(limit int) *record { return &record{limit: limit} }

func (rd *record) add(ru Run) *Run {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if len(rd.runs) >= rd.limit {
		rd.runs = slices.Delete(rd.runs, 0, len(rd.runs)-rd.limit+1)
	}
	rd.runs = append(rd.runs, &ru)
	return &ru
}

func (rd *record) change(ru *Run, change func(*Run)) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	change(ru)
}

func (rd *record) start(ru *Run, cached int) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	rd.started++
	ru.Started, ru.Cached, ru.State = rd.started, cached, Running
}

func (rd *record) all() []Run {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	out := make([]Run, 0, len(rd.runs))
	for _, ru := range rd.runs {
		out = append(out, *ru)
	}
	return out
}
