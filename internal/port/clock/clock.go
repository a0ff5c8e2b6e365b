// Package clock is the port through which time enters the system.
package clock

import "time"

// Clock tells the time. Decisions receive times as parameters; only code that
// composes or waits asks a clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }
