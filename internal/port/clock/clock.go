// Package clock is the port to the system time.
package clock

import "time"

// Clock returns the current time. Code that makes decisions receives times as
// parameters; only code that composes components or waits uses a clock.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns time.Now.
func (System) Now() time.Time { return time.Now() }
