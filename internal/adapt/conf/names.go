package conf

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// maxDistance is the largest edit distance at which a known name is suggested.
const maxDistance = 2

func fieldByKey(ty reflect.Type, name string) (reflect.StructField, bool) {
	for fd := range keyedFields(ty) {
		if keyOf(fd) == name {
			return fd, true
		}
	}
	return reflect.StructField{}, false
}

func keysOf(ty reflect.Type) []string {
	var names []string
	for fd := range keyedFields(ty) {
		names = append(names, keyOf(fd))
	}
	return names
}

// keyedFields yields the fields of a struct that have a key in the tag `yaml`.
func keyedFields(ty reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for _, fd := range reflect.VisibleFields(ty) {
			if keyOf(fd) != "" && !yield(fd) {
				return
			}
		}
	}
}

// keyOf returns the key in the tag `yaml`, without options.
func keyOf(fd reflect.StructField) string {
	name, _, _ := strings.Cut(fd.Tag.Get("yaml"), ",")
	return name
}

func contains(names []string, name string) bool { return slices.Contains(names, name) }

// suggestion returns a hint with the most similar name, or an empty string if none
// is within maxDistance.
func suggestion(got string, names []string) string {
	best, least := "", maxDistance+1
	for _, na := range names {
		if di := editDistance(strings.ToLower(got), strings.ToLower(na)); di < least {
			best, least = na, di
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", best)
}

// editDistance returns the Levenshtein distance.
func editDistance(le, ri string) int {
	row := make([]int, len(ri)+1)
	for ix := range row {
		row[ix] = ix
	}
	for ix := range len(le) {
		diag := row[0]
		row[0] = ix + 1
		for jx := range len(ri) {
			cost := diag
			if le[ix] != ri[jx] {
				cost++
			}
			diag = row[jx+1]
			row[jx+1] = min(cost, row[jx]+1, diag+1)
		}
	}
	return row[len(ri)]
}
