package entry

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// requestError is the error for a request that is malformed or too large.
type requestError struct {
	status int
	text   string
}

// Error returns the description.
func (er requestError) Error() string { return er.text }

func badRequest(format string, args ...any) error {
	return requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// head is the header of a request with its framing.
type head struct {
	*http.Request
	// length is the size of the body, or -1 if it is sent in chunks.
	length int64
	// memory is an upper estimate of the bytes that the header takes in memory.
	memory int64
}

// fieldMemory is the memory that a field takes in addition to its bytes, which are held
// twice.
const fieldMemory = 256

// readHead reads a header. It is stricter than net/http: it refuses everything
// that another parser could interpret differently, which prevents request
// smuggling.
func readHead(br *bufio.Reader, limit int) (head, error) {
	raw, err := readHeaderBlock(br, limit)
	if err != nil {
		return head{}, err
	}
	re, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return head{}, badRequest("malformed request: %v", err)
	}
	fr, err := parseFraming(raw)
	if err != nil {
		return head{}, err
	}
	if re.ProtoMajor != 1 {
		return head{}, badRequest("protocol %s is not supported", re.Proto)
	}
	if fr.hosts != 1 {
		return head{}, badRequest("want one Host field, got %d", fr.hosts)
	}
	memory := int64(2*len(raw) + fieldMemory*bytes.Count(raw, []byte("\n")))
	return head{Request: re, length: fr.length, memory: memory}, nil
}

// readHeaderBlock reads the request line and the header up to and including the
// empty line.
func readHeaderBlock(br *bufio.Reader, limit int) ([]byte, error) {
	var raw []byte
	for {
		line, err := br.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > limit {
			return nil, requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header exceeds %d bytes", limit)}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return raw, err
		}
		if !bytes.HasSuffix(raw, []byte("\r\n")) {
			return nil, badRequest("a header line does not end with CR LF")
		}
		if len(raw) == 2 {
			// An empty line before a request is ignored (RFC 9112, section 2.2).
			raw = raw[:0]
			limit -= 2
			continue
		}
		if bytes.HasSuffix(raw, []byte("\r\n\r\n")) {
			return raw, nil
		}
	}
}

// framing holds the length of the body, or -1 if it is chunked, and the number of
// Host fields.
type framing struct {
	length int64
	hosts  int
}

// parseFraming determines the length of the body from the raw header and refuses
// ambiguous or malformed fields.
func parseFraming(raw []byte) (framing, error) {
	fr := framing{}
	hasLength, chunked := false, false
	lines := strings.Split(string(raw[:len(raw)-4]), "\r\n")
	for _, line := range lines[1:] {
		if strings.ContainsAny(line, "\r\x00") || strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
			return fr, badRequest("malformed header line")
		}
		name, val, ok := strings.Cut(line, ":")
		if !ok || !validFieldName(name) {
			return fr, badRequest("malformed header line")
		}
		val = strings.Trim(val, " \t")
		switch strings.ToLower(name) {
		case "host":
			fr.hosts++
		case "content-length":
			num, err := strconv.ParseUint(val, 10, 63)
			if err != nil || hasLength || strings.HasPrefix(val, "+") {
				return fr, badRequest("malformed or repeated Content-Length")
			}
			hasLength, fr.length = true, int64(num)
		case "transfer-encoding":
			if chunked || !strings.EqualFold(val, "chunked") {
				return fr, badRequest("transfer encoding %q is not supported", val)
			}
			chunked, fr.length = true, -1
		}
	}
	if hasLength && chunked {
		return fr, badRequest("the request has both Content-Length and Transfer-Encoding")
	}
	return fr, nil
}

// validFieldName reports whether the name of a field is a token (RFC 9110, section
// 5.6.2). Parsers differ in how they handle other names.
func validFieldName(name string) bool {
	for _, ch := range []byte(name) {
		if ch <= ' ' || ch >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, ch) >= 0 {
			return false
		}
	}
	return name != ""
}

// maxTrailerBytes bounds the trailer of a chunked body. Trailers are discarded.
const maxTrailerBytes = 4 << 10

// skipTrailer reads the trailer of a chunked body.
func skipTrailer(br *bufio.Reader) error {
	for size := 0; ; {
		line, err := br.ReadSlice('\n')
		size += len(line)
		switch {
		case err != nil:
			return err
		case size > maxTrailerBytes:
			return badRequest("the trailer exceeds %d bytes", maxTrailerBytes)
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return nil
		}
	}
}

func bodyTooLarge(limit int64) error {
	return requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit)}
}
