package entry

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/balsamwood/balsamwood/internal/core/intent"
)

// errBad is a request that is refused before anything else is known about it.
type errBad struct {
	status int
	text   string
}

// Error returns the reason.
func (eb errBad) Error() string { return eb.text }

func bad(format string, args ...any) error {
	return errBad{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// head is the header of a request with its framing.
type head struct {
	*http.Request
	// length is the size of the body, or -1 if it is sent in chunks.
	length int64
}

// readHead reads a header. It is stricter than net/http: whatever another
// parser could read in a different way is refused, so that no request is
// hidden inside another one.
func readHead(br *bufio.Reader, limit int) (head, error) {
	raw, err := readBlock(br, limit)
	if err != nil {
		return head{}, err
	}
	re, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		return head{}, bad("malformed request: %v", err)
	}
	fields, err := framing(raw)
	if err != nil {
		return head{}, err
	}
	if re.ProtoMajor != 1 {
		return head{}, bad("protocol %s is not served", re.Proto)
	}
	if fields.hosts != 1 {
		return head{}, bad("want one Host field, got %d", fields.hosts)
	}
	return head{Request: re, length: fields.length}, nil
}

// readBlock reads up to the empty line.
func readBlock(br *bufio.Reader, limit int) ([]byte, error) {
	var raw []byte
	for {
		line, err := br.ReadSlice('\n')
		raw = append(raw, line...)
		if len(raw) > limit {
			return nil, errBad{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the header exceeds %d bytes", limit)}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return raw, err
		}
		if !bytes.HasSuffix(raw, []byte("\r\n")) {
			return nil, bad("a header line does not end with CR LF")
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

type frame struct {
	length int64
	hosts  int
}

// framing finds the size of the body.
func framing(raw []byte) (frame, error) {
	fr := frame{}
	sized, chunked := false, false
	lines := strings.Split(string(raw[:len(raw)-4]), "\r\n")
	for _, line := range lines[1:] {
		if strings.ContainsAny(line, "\r\x00") || strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
			return fr, bad("malformed header line")
		}
		name, val, ok := strings.Cut(line, ":")
		if !ok || !validName(name) {
			return fr, bad("malformed header line")
		}
		val = strings.Trim(val, " \t")
		switch strings.ToLower(name) {
		case "host":
			fr.hosts++
		case "content-length":
			num, err := strconv.ParseUint(val, 10, 63)
			if err != nil || sized || strings.HasPrefix(val, "+") {
				return fr, bad("malformed or repeated Content-Length")
			}
			sized, fr.length = true, int64(num)
		case "transfer-encoding":
			if chunked || !strings.EqualFold(val, "chunked") {
				return fr, bad("transfer encoding %q is not served", val)
			}
			chunked, fr.length = true, -1
		}
	}
	if sized && chunked {
		return fr, bad("both Content-Length and Transfer-Encoding")
	}
	return fr, nil
}

// validName reports whether the name of a field is a token (RFC 9110, section
// 5.6.2). Parsers differ in what they do with others.
func validName(name string) bool {
	for _, ch := range []byte(name) {
		if ch <= ' ' || ch >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, ch) >= 0 {
			return false
		}
	}
	return name != ""
}

// maxTrailer bounds the fields after a body in chunks, which are dropped.
const maxTrailer = 4 << 10

// readBody reads the whole body.
func readBody(br *bufio.Reader, hd head, limits intent.Limits) ([]byte, error) {
	if hd.length > limits.MaxBody {
		return nil, tooLarge(limits)
	}
	if hd.length >= 0 {
		body := make([]byte, hd.length)
		_, err := io.ReadFull(br, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(br), limits.MaxBody+1))
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) || isTimeout(err) {
			return nil, err
		}
		return nil, bad("malformed chunks: %v", err)
	}
	if int64(len(body)) > limits.MaxBody {
		return nil, tooLarge(limits)
	}
	for size := 0; ; {
		line, err := br.ReadSlice('\n')
		size += len(line)
		switch {
		case err != nil:
			return nil, err
		case size > maxTrailer:
			return nil, bad("the trailer exceeds %d bytes", maxTrailer)
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return body, nil
		}
	}
}

func tooLarge(limits intent.Limits) error {
	return errBad{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body exceeds %d bytes", limits.MaxBody)}
}
