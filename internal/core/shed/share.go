package shed

import (
	"sync"
	"sync/atomic"

	"github.com/balsamwood/balsamwood/internal/core/ident"
)

// recentBytes counts bytes of about the last two windows. The zero value is ready for
// use. A window that ends during an update may lose that update.
type recentBytes struct {
	window            atomic.Int64
	current, previous atomic.Int64
}

// at moves on to the window and returns the bytes that are counted.
func (rb *recentBytes) at(window int64) int64 {
	if old := rb.window.Load(); window > old && rb.window.CompareAndSwap(old, window) {
		last := rb.current.Swap(0)
		if window > old+1 {
			last = 0
		}
		rb.previous.Store(last)
	}
	return rb.current.Load() + rb.previous.Load()
}

// add counts bytes in the window.
func (rb *recentBytes) add(bytes, window int64) {
	rb.at(window)
	rb.current.Add(bytes)
}

// shares knows which client accounts use the link. Only the first use of an account
// may take a lock.
type shares struct {
	total     recentBytes
	byAccount sync.Map
}

func (sh *shares) account(ac ident.Account) *recentBytes {
	if rb, ok := sh.byAccount.Load(ac); ok {
		return rb.(*recentBytes)
	}
	rb, _ := sh.byAccount.LoadOrStore(ac, new(recentBytes))
	return rb.(*recentBytes)
}

// add counts bytes of an account.
func (sh *shares) add(ac ident.Account, bytes, window int64) {
	sh.total.add(bytes, window)
	sh.account(ac).add(bytes, window)
}

// dominates reports whether the account uses more than half of what is used, and
// others use the link too.
func (sh *shares) dominates(ac ident.Account, window int64) bool {
	own, total := sh.account(ac).at(window), sh.total.at(window)
	return 2*own > total && own < total
}
