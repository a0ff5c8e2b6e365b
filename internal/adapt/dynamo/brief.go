package dynamo

import (
	"errors"

	"github.com/balsamwood/balsamwood/internal/port/store"
)

// maxDetail bounds how much of an answer an error message quotes.
const maxDetail = 200

func brief(data []byte) string { return string(data[:min(len(data), maxDetail)]) }

func throttled(err error) bool { return errors.Is(err, store.ErrThrottled) }
