package config

import (
	"strconv"
	"strings"
)

// maxName bounds names, because they are parts of keys in the table.
const maxName = 64

// nameChars excludes "/", which separates the parts of keys in the table.
const nameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

func checkName(re *report, path, name string) {
	if name == "" || len(name) > maxName || strings.Trim(name, nameChars) != "" {
		re.add(path, "want a name of 1 to %d letters, digits, dots, hyphens or underscores, got %q", maxName, name)
	}
}

// validAddress reports whether addr has the form ip:port.
func validAddress(addr string) bool {
	cut := strings.LastIndex(addr, ":")
	if cut < 0 {
		return false
	}
	port, err := strconv.ParseUint(addr[cut+1:], 10, 16)
	if err != nil || port == 0 {
		return false
	}
	host := addr[:cut]
	if in, ok := strings.CutPrefix(host, "["); ok {
		in, ok = strings.CutSuffix(in, "]")
		return ok && strings.Count(in, ":") >= 2 && strings.Trim(in, "0123456789abcdefABCDEF:.") == ""
	}
	parts := strings.Split(host, ".")
	for _, pa := range parts {
		if _, err := strconv.ParseUint(pa, 10, 8); err != nil {
			return false
		}
	}
	return len(parts) == 4
}
