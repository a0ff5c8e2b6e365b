package admin

import (
	"bytes"
	"encoding/json"
)

// strict reports members that T does not have. A misspelt limit must not be
// ignored.
func strict[T any](data []byte) error {
	var val T
	de := json.NewDecoder(bytes.NewReader(data))
	de.DisallowUnknownFields()
	if err := de.Decode(&val); err != nil {
		return badRequest("body: %v", err)
	}
	return nil
}
