package ident

import (
	"crypto/rand"
	"encoding/hex"
)

// randomBytes is the length of a generated identifier before encoding. 128
// random bits make a collision between processes negligible.
const randomBytes = 16

// NewRequest returns a random request identifier.
func NewRequest() Request { return Request(randomHex()) }

// NewIncarnation returns a random incarnation identifier.
func NewIncarnation() Incarnation { return Incarnation(randomHex()) }

// NewOp returns a random operation identifier.
func NewOp() Op { return Op(randomHex()) }

func randomHex() string {
	var buf [randomBytes]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(buf[:])
	return hex.EncodeToString(buf[:])
}
