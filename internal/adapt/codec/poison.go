package codec

import (
	"github.com/balsamwood/balsamwood/internal/core/poison"
	"github.com/balsamwood/balsamwood/internal/port/store"
)

// PoisonRecord returns the codec of the records of prompt parts.
func PoisonRecord() store.Codec[poison.Record] { return JSON[poison.Record]{} }
