package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/terms"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/proxy"
)

// maxTokens bounds the token counts in a request.
const maxTokens = 1 << 40

// requestInfoOf decodes the properties of a request that routing depends on.
func requestInfoOf(hd head, hn terms.HeaderNames, now time.Time) (proxy.RequestInfo, error) {
	path, _, _ := strings.Cut(hd.RequestURI, "?")
	info := proxy.RequestInfo{Host: hd.Host, Path: path, Arrived: now, LastEvent: -1}
	ids := hd.Header[http.CanonicalHeaderKey(hn.RequestID)]
	if len(ids) != 1 || ids[0] == "" {
		return info, badRequest("want one field %s, got %d", hn.RequestID, len(ids))
	}
	info.ID = ident.Request(ids[0])
	info.Key = apiKeyOf(hd.Header)
	if text := hd.Header.Get(hn.TimeLeft); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 || ms > float64(time.Hour.Milliseconds()*24) {
			return info, badRequest("malformed field %s", hn.TimeLeft)
		}
		info.Deadline = now.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if text := hd.Header.Get(hn.LastEventID); text != "" {
		num, err := strconv.ParseInt(text, 10, 64)
		if err != nil || num < 0 {
			return info, badRequest("malformed field %s", hn.LastEventID)
		}
		info.LastEvent = num
	}
	info.Resumes = ident.Request(hd.Header.Get(hn.Resumes))
	if text := hd.Header.Get(hn.TokenCounts); text != "" {
		pr, err := promptOf(hd.Header, hn, text)
		if err != nil {
			return info, err
		}
		info.Prompt = pr
	}
	return info, nil
}

// apiKeyOf returns the bearer token, or an empty string.
func apiKeyOf(hd http.Header) string {
	scheme, key, _ := strings.Cut(hd.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// promptOf decodes the description of the prompt. counts is the value of the
// field for token counts.
func promptOf(hd http.Header, hn terms.HeaderNames, counts string) (*proxy.Prompt, error) {
	input, output, ok := strings.Cut(counts, ",")
	in, errIn := parseTokens(input)
	out, errOut := parseTokens(output)
	if !ok || errIn != nil || errOut != nil {
		return nil, badRequest("malformed field %s", hn.TokenCounts)
	}
	pr := &proxy.Prompt{Model: ident.Model(hd.Get(hn.Model)), Input: in, MaxOutput: out}
	text := hd.Get(hn.PromptParts)
	if text == "" {
		return pr, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		num, err := parseTokens(size)
		if !ok || err != nil {
			return nil, badRequest("malformed field %s", hn.PromptParts)
		}
		pr.Parts = append(pr.Parts, proxy.Part{ID: id, Tokens: num})
	}
	return pr, nil
}

func parseTokens(text string) (ident.Tokens, error) {
	num, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err == nil && (num < 0 || num > maxTokens) {
		err = strconv.ErrRange
	}
	return ident.Tokens(num), err
}
