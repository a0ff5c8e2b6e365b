package conf

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// rules holds the constraints in the tag `rule` of a field. They are separated by
// commas: required, addr (ip:port), url (http or https with an IP number), hash
// (SHA-256 in hexadecimal), min=, max= and oneof= with values separated by "|".
type rules struct {
	required, addr, url, hash bool
	min, max                  string
	oneof                     []string
}

func parseRules(fd reflect.StructField) rules {
	var ru rules
	for part := range strings.SplitSeq(fd.Tag.Get("rule"), ",") {
		name, arg, _ := strings.Cut(part, "=")
		switch name {
		case "required":
			ru.required = true
		case "addr":
			ru.addr = true
		case "url":
			ru.url = true
		case "hash":
			ru.hash = true
		case "min":
			ru.min = arg
		case "max":
			ru.max = arg
		case "oneof":
			ru.oneof = strings.Split(arg, "|")
		}
	}
	return ru
}

// check returns which constraint the value violates, or an empty string.
func (ru rules) check(va reflect.Value) string {
	switch va.Kind() {
	case reflect.String:
		return ru.checkString(va.String())
	case reflect.Int, reflect.Int64:
		return ru.checkRange(float64(va.Int()))
	case reflect.Float64:
		return ru.checkRange(va.Float())
	default:
		return ""
	}
}

func (ru rules) checkRange(val float64) string {
	if lo, err := strconv.ParseFloat(ru.min, 64); err == nil && val < lo {
		return fmt.Sprintf("%v is below the minimum %s", val, ru.min)
	}
	if hi, err := strconv.ParseFloat(ru.max, 64); err == nil && val > hi {
		return fmt.Sprintf("%v is above the maximum %s", val, ru.max)
	}
	return ""
}

func (ru rules) checkDuration(du time.Duration) string {
	if lo, err := time.ParseDuration(ru.min); err == nil && du < lo {
		return fmt.Sprintf("%s is below the minimum %s", du, ru.min)
	}
	if hi, err := time.ParseDuration(ru.max); err == nil && du > hi {
		return fmt.Sprintf("%s is above the maximum %s", du, ru.max)
	}
	return ""
}

func (ru rules) checkString(val string) string {
	switch {
	case ru.required && val == "":
		return "the value is empty"
	case ru.addr && !validAddr(val):
		return fmt.Sprintf("want ip:port, got %q", val)
	case ru.url && !validURL(val):
		return fmt.Sprintf("want http(s)://ip:port, got %q", val)
	case ru.hash && !validHash(val):
		return "want a SHA-256 with 64 hexadecimal digits"
	case len(ru.oneof) > 0 && !contains(ru.oneof, val):
		return fmt.Sprintf("want one of %s, got %q%s", strings.Join(ru.oneof, ", "), val, suggestion(val, ru.oneof))
	}
	return ""
}

func validAddr(val string) bool {
	_, err := netip.ParseAddrPort(val)
	return err == nil
}

func validURL(val string) bool {
	ur, err := url.Parse(val)
	if err != nil || ur.Scheme != "http" && ur.Scheme != "https" {
		return false
	}
	_, err = netip.ParseAddr(ur.Hostname())
	return err == nil
}

func validHash(val string) bool {
	raw, err := hex.DecodeString(val)
	return err == nil && len(raw) == 32
}
