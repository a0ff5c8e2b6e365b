package dynamo

import (
	"errors"

	"github.com/balsamwood/balsamwood/internal/port/store"
)

// maxExcerptBytes is how much of a response an error message contains at most.
const maxExcerptBytes = 200

// excerpt returns the beginning of a response for an error message.
func excerpt(data []byte) string { return string(data[:min(len(data), maxExcerptBytes)]) }

func isThrottled(err error) bool { return errors.Is(err, store.ErrThrottled) }
