package model

import (
	"slices"
	"sync"
)

// Run is the record of one call.
type Run struct {
	Request  string `json:"request"`
	Priority int    `json:"priority"`
	// StartOrder is the position of the call in the order in which calls got a
	// slot, from 1, or 0 if it has got none.
	StartOrder int `json:"started"`
	Prompt     int `json:"prompt"`
	// Cached is the number of prompt tokens whose prefill was skipped.
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
	// Completed means that the complete response was written.
	Completed = "completed"
	// Cancelled means that the client disconnected.
	Cancelled = "cancelled"
	// Failed means that Setting.FailAfter ended the call.
	Failed = "failed"
	// Cut means that Setting.CutAfter closed the connection. The call can be
	// resumed.
	Cut = "cut"
	// Refused means that the queue was full, so the call did not run.
	Refused = "refused"
)

// record holds the latest runs. The oldest ones are dropped above the limit.
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
	ru.StartOrder, ru.Cached, ru.State = rd.started, cached, Running
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
