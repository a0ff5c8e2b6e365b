package claim

import "github.com/balsamwood/balsamwood/internal/core/ident"

// Claimant identifies the attempt that wants to run a call.
type Claimant struct {
	Sidecar  ident.Incarnation
	Upstream ident.Upstream
	Request  ident.Request
	Attempt  uint32
}

// Decision says how an attempt must proceed.
type Decision int

const (
	// Insert means that the attempt must write its claim and may run the call
	// once that write has taken effect.
	Insert Decision = iota
	// Run means that the attempt holds the claim.
	Run
	// Replay means that the stored outcome is returned as the response.
	Replay
	// KeyReused means that the key belongs to another request body.
	KeyReused
	// InProgress means that another attempt may be running the call.
	InProgress
	// Refused means that the key was cancelled.
	Refused
)

// Decide returns how the claimant must proceed. ex is the record that is stored
// for the key, or nil.
func Decide(ex *Record, fingerprint []byte, cl Claimant) Decision {
	switch {
	case ex == nil:
		return Insert
	case !ex.MatchesFingerprint(fingerprint):
		return KeyReused
	case ex.State == Done:
		return Replay
	case ex.State == Cancelled:
		return Refused
	case ex.State == Released:
		return Insert
	case ex.HeldBy(cl):
		return Run
	default:
		return InProgress
	}
}

// Cancellation is the result of an attempt to cancel a key.
type Cancellation int

const (
	// Cancellable means that nothing prevents the cancellation. It takes effect
	// once it is written.
	Cancellable Cancellation = iota
	// NeverRun means that the call was not run and never will be.
	NeverRun
	// MayBeRunning means that a sidecar may be running the call.
	MayBeRunning
	// AlreadyRun means that the call ran and its outcome is stored.
	AlreadyRun
	// FingerprintMismatch means that the key belongs to another request body, so
	// that the call with this body never ran and never will under this key.
	FingerprintMismatch
)

// DecideCancel returns the result of a cancellation. ex is the record that is
// stored for the key, or nil.
func DecideCancel(ex *Record, fingerprint []byte) Cancellation {
	switch {
	case ex == nil:
		return Cancellable
	case !ex.MatchesFingerprint(fingerprint):
		return FingerprintMismatch
	case ex.State == Done:
		return AlreadyRun
	case ex.State == Cancelled:
		return NeverRun
	case ex.State == Released:
		return Cancellable
	default:
		return MayBeRunning
	}
}
