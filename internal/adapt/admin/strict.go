package admin

import (
	"bytes"
	"encoding/json"
)

// checkMembers refuses members that T does not have, so that a misspelt limit is
// not ignored.
func checkMembers[T any](data []byte) error {
	var val T
	de := json.NewDecoder(bytes.NewReader(data))
	de.DisallowUnknownFields()
	if err := de.Decode(&val); err != nil {
		return badRequest("body: %v", err)
	}
	return nil
}
