package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// randomBytes is the length of a generated identifier before encoding. 128
// random bits make a collision between processes negligible.
const randomBytes = 16

// NewRequest returns a random request identifier.
func NewRequest() Request { return Request(random()) }

// NewIncarnation returns a random incarnation identifier.
func NewIncarnation() Incarnation { return Incarnation(random()) }

// NewOp returns a random operation identifier.
func NewOp() Op { return Op(random()) }

func random() string {
	var buf [randomBytes]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(buf[:])
	return hex.EncodeToString(buf[:])
}
