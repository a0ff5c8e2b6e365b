// Package fault holds the failure switches that the stand-ins share.
package fault

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/balsamwood/balsamwood/internal/core/snap"
)

// Setting is the state of the switches. The zero value injects no failure.
type Setting struct {
	// Down breaks every connection before the request has an effect.
	Down bool `json:"down"`
	// Silent accepts requests and never answers them.
	Silent bool `json:"silent"`
	// DelayMillis delays every request before it has an effect.
	DelayMillis int `json:"delayMillis"`
	// LoseNext is the number of writes whose answers are still to be lost
	// after they take effect.
	LoseNext int `json:"loseNext"`
	// LoseShare is the share of the other writes whose answers are lost after
	// they take effect, from 0 to 1.
	LoseShare float64 `json:"loseShare"`
}

// WithDown returns a copy with the switch set.
func (se Setting) WithDown(on bool) Setting {
	se.Down = on
	return se
}

// WithSilent returns a copy with the switch set.
func (se Setting) WithSilent(on bool) Setting {
	se.Silent = on
	return se
}

// WithDelay returns a copy with the delay, in whole milliseconds.
func (se Setting) WithDelay(d time.Duration) Setting {
	se.DelayMillis = int(d.Milliseconds())
	return se
}

// WithLoseNext returns a copy that loses the answers of the next n writes.
func (se Setting) WithLoseNext(n int) Setting {
	se.LoseNext = n
	return se
}

// WithLoseShare returns a copy that loses the given share of answers.
func (se Setting) WithLoseShare(share float64) Setting {
	se.LoseShare = share
	return se
}

// Switches apply a Setting to requests.
type Switches struct {
	cell *snap.Cell[Setting]
	mu   sync.Mutex
	rng  *rand.Rand
}

// New returns switches that inject no failure. The seed decides which answers
// a LoseShare loses.
func New(seed uint64) *Switches {
	return &Switches{cell: snap.NewCell(Setting{}), rng: rand.New(rand.NewPCG(seed, seed))}
}

// Setting returns the current state.
func (sw *Switches) Setting() Setting { return sw.cell.Load() }

// Set replaces the state.
func (sw *Switches) Set(se Setting) { sw.cell.Store(se) }

// Cell returns the container of the state.
func (sw *Switches) Cell() *snap.Cell[Setting] { return sw.cell }

// Enter applies the switches that act before a request has an effect. It
// breaks the connection by a panic with http.ErrAbortHandler.
func (sw *Switches) Enter(re *http.Request) {
	se := sw.cell.Load()
	if se.Down {
		Abort()
	}
	if se.DelayMillis > 0 || se.Silent {
		buffer(re)
	}
	if se.DelayMillis > 0 && !Wait(re, time.Duration(se.DelayMillis)*time.Millisecond) {
		Abort()
	}
	if se.Silent {
		<-re.Context().Done()
		Abort()
	}
}

// Lose reports whether the answer of a write that took effect is to be lost.
func (sw *Switches) Lose() bool {
	if _, ok := sw.cell.Update(func(se Setting) (Setting, bool) {
		return se.WithLoseNext(se.LoseNext - 1), se.LoseNext > 0
	}); ok {
		return true
	}
	share := sw.cell.Load().LoseShare
	if share <= 0 {
		return false
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.rng.Float64() < share
}

// Abort breaks the connection of the current request without an answer.
func Abort() { panic(http.ErrAbortHandler) }

// maxBufferBytes bounds the body of a request that is delayed.
const maxBufferBytes = 64 << 20

// buffer reads the body, because the server notices that a client went away
// only after the body was read.
func buffer(re *http.Request) {
	data, err := io.ReadAll(io.LimitReader(re.Body, maxBufferBytes))
	if err != nil {
		Abort()
	}
	re.Body = io.NopCloser(bytes.NewReader(data))
}

// Wait waits for the duration and reports whether the client is still there.
func Wait(re *http.Request, d time.Duration) bool {
	if d <= 0 {
		return re.Context().Err() == nil
	}
	ti := time.NewTimer(d)
	defer ti.Stop()
	select {
	case <-ti.C:
		return true
	case <-re.Context().Done():
		return false
	}
}
