package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// apiKeyBytes is the length of a generated API key before encoding.
const apiKeyBytes = 32

// APIKeyPrefix starts every generated API key, so that secret scanners recognize
// a leaked key.
const APIKeyPrefix = "bw-"

// NewAPIKey returns a random API key. The key is shown once; only its hash is
// stored.
func NewAPIKey() string {
	var buf [apiKeyBytes]byte
	// crypto/rand.Read never returns an error; it ends the program instead.
	_, _ = rand.Read(buf[:])
	return APIKeyPrefix + base64.RawURLEncoding.EncodeToString(buf[:])
}

// HashAPIKey returns the hash under which an API key is stored.
func HashAPIKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}
