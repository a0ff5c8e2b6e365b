package config

import (
	"strconv"
	"strings"
)

// maxNameLength bounds names, because they are parts of row keys in the table.
const maxNameLength = 64

// nameChars excludes "/", which separates the parts of row keys in the table.
const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

func checkName(re *report, path, name string) {
	if name == "" || len(name) > maxNameLength || strings.Trim(name, nameChars) != "" {
		re.add(path, "want a name of 1 to %d letters, digits, dots, hyphens or underscores, got %q", maxNameLength, name)
	}
}

// validAddress reports whether addr has the form ip:port.
func validAddress(addr string) bool {
	colon := strings.LastIndex(addr, ":")
	if colon < 0 {
		return false
	}
	port, err := strconv.ParseUint(addr[colon+1:], 10, 16)
	if err != nil || port == 0 {
		return false
	}
	host := addr[:colon]
	if inner, ok := strings.CutPrefix(host, "["); ok {
		inner, ok = strings.CutSuffix(inner, "]")
		return ok && strings.Count(inner, ":") >= 2 && strings.Trim(inner, "0123456789abcdefABCDEF:.") == ""
	}
	parts := strings.Split(host, ".")
	for _, pa := range parts {
		if _, err := strconv.ParseUint(pa, 10, 8); err != nil {
			return false
		}
	}
	return len(parts) == 4
}
