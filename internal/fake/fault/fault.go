// Package fault holds the fault injection that the stand-ins share.
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

// Setting is the set of faults to inject. The zero value injects none.
type Setting struct {
	// Down closes the connection of every request before the request has an
	// effect.
	Down bool `json:"down"`
	// Silent accepts requests and sends no response to them.
	Silent bool `json:"silent"`
	// DelayMillis delays every request before it has an effect.
	DelayMillis int `json:"delayMillis"`
	// LoseNext is the number of next writes whose responses are lost after the
	// writes took effect.
	LoseNext int `json:"loseNext"`
	// LoseShare is the share of the other writes whose responses are lost after
	// the writes took effect, from 0 to 1.
	LoseShare float64 `json:"loseShare"`
}

// WithDown returns a copy with Down set to on.
func (se Setting) WithDown(on bool) Setting {
	se.Down = on
	return se
}

// WithSilent returns a copy with Silent set to on.
func (se Setting) WithSilent(on bool) Setting {
	se.Silent = on
	return se
}

// WithDelay returns a copy with the delay, in whole milliseconds.
func (se Setting) WithDelay(d time.Duration) Setting {
	se.DelayMillis = int(d.Milliseconds())
	return se
}

// WithLoseNext returns a copy that loses the responses to the next n writes.
func (se Setting) WithLoseNext(n int) Setting {
	se.LoseNext = n
	return se
}

// WithLoseShare returns a copy that loses the given share of the responses to
// writes.
func (se Setting) WithLoseShare(share float64) Setting {
	se.LoseShare = share
	return se
}

// Switches injects the faults of a Setting into requests.
type Switches struct {
	cell *snap.Cell[Setting]
	mu   sync.Mutex
	rng  *rand.Rand
}

// New returns switches that inject no fault. The seed determines which responses
// are lost by LoseShare.
func New(seed uint64) *Switches {
	return &Switches{cell: snap.NewCell(Setting{}), rng: rand.New(rand.NewPCG(seed, seed))}
}

// Setting returns the current setting.
func (sw *Switches) Setting() Setting { return sw.cell.Load() }

// Set replaces the setting.
func (sw *Switches) Set(se Setting) { sw.cell.Store(se) }

// Cell returns the cell that holds the setting.
func (sw *Switches) Cell() *snap.Cell[Setting] { return sw.cell }

// BeforeEffect injects the faults that come before a request has an effect: Down,
// DelayMillis and Silent. It aborts the request with Abort.
func (sw *Switches) BeforeEffect(re *http.Request) {
	se := sw.cell.Load()
	if se.Down {
		Abort()
	}
	if se.DelayMillis > 0 || se.Silent {
		bufferBody(re)
	}
	if se.DelayMillis > 0 && !Wait(re, time.Duration(se.DelayMillis)*time.Millisecond) {
		Abort()
	}
	if se.Silent {
		<-re.Context().Done()
		Abort()
	}
}

// LoseResponse reports whether the response to a write that took effect is to
// be lost. It counts LoseNext down.
func (sw *Switches) LoseResponse() bool {
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

// Abort closes the connection of the current request without a response, by a
// panic with http.ErrAbortHandler.
func Abort() { panic(http.ErrAbortHandler) }

// maxBufferBytes bounds the body of a request that is delayed or gets no response.
const maxBufferBytes = 64 << 20

// bufferBody reads the body into memory, because net/http detects that a client
// has disconnected only after the body was read.
func bufferBody(re *http.Request) {
	data, err := io.ReadAll(io.LimitReader(re.Body, maxBufferBytes))
	if err != nil {
		Abort()
	}
	re.Body = io.NopCloser(bytes.NewReader(data))
}

// Wait waits for the duration and reports whether the client is still connected.
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
