package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/balsamwood/balsamwood/internal/app/front"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// chatBody holds the members of a chat completion request that the router
// reads. All other members are forwarded unchanged.
type chatBody struct {
	Model               ident.Model       `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	StreamOptions       streamOptions     `json:"stream_options"`
	MaxTokens           *ident.Tokens     `json:"max_tokens"`
	MaxCompletionTokens *ident.Tokens     `json:"max_completion_tokens"`
	N                   *int              `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (fe *Frontend) chat(ec echo.Context) error {
	rq, err := fe.newRequest(ec)
	if err != nil {
		return err
	}
	data, err := fe.readBody(ec, rq.Account.ID)
	if err != nil {
		return err
	}
	cb, err := fe.decodeChat(data)
	if err != nil {
		return err
	}
	if rq, err = fe.chatRequest(rq, cb, data); err != nil {
		return err
	}
	if cb.Stream {
		return fe.streamChat(ec, rq, cb.StreamOptions.IncludeUsage)
	}
	return fe.collectChat(ec, rq)
}

// decodeChat decodes and checks the body. MaxTokens of the result is the
// completion limit of the request.
func (fe *Frontend) decodeChat(data []byte) (chatBody, error) {
	var cb chatBody
	if err := json.Unmarshal(data, &cb); err != nil {
		return cb, refuse.New(refuse.BadRequest, "the body is not a chat completion request: %v", err)
	}
	if err := checkMemberCase(data); err != nil {
		return cb, err
	}
	switch {
	case cb.Model == "":
		return cb, refuse.New(refuse.BadRequest, "model is missing")
	case len(cb.Messages) == 0:
		return cb, refuse.New(refuse.BadRequest, "messages is empty")
	case cb.N != nil && *cb.N != 1:
		return cb, refuse.New(refuse.BadRequest, "n must be 1")
	}
	maxTokens, err := fe.maxCompletionTokens(cb)
	cb.MaxTokens = &maxTokens
	return cb, err
}

// chatMembers are the JSON names of the members of chatBody. encoding/json
// ignores the case of a name when it decodes; an engine may not.
var chatMembers = []string{"model", "messages", "stream", "stream_options", "max_tokens", "max_completion_tokens", "n"}

// checkMemberCase refuses a member whose name differs from one of chatMembers in
// case only. Otherwise the router could check the value of that member while the
// engine reads the value of another one.
func checkMemberCase(data []byte) error {
	var found map[string]json.RawMessage
	if err := json.Unmarshal(data, &found); err != nil {
		return refuse.New(refuse.BadRequest, "the body is not a JSON object: %v", err)
	}
	for name := range found {
		for _, known := range chatMembers {
			if name != known && strings.EqualFold(name, known) {
				return refuse.New(refuse.BadRequest, "the member %q must be written %q", name, known)
			}
		}
	}
	return nil
}

// maxCompletionTokens returns the completion limit of the request, or the default
// if it has none.
func (fe *Frontend) maxCompletionTokens(cb chatBody) (ident.Tokens, error) {
	maxTokens := fe.defaultTokens
	if cb.MaxTokens != nil {
		maxTokens = *cb.MaxTokens
	}
	if cb.MaxCompletionTokens != nil {
		maxTokens = *cb.MaxCompletionTokens
	}
	if maxTokens < 1 || maxTokens > fe.maxTokens {
		return 0, refuse.New(refuse.BadRequest, "max_tokens must be from 1 to %d", fe.maxTokens)
	}
	return maxTokens, nil
}

// chatRequest checks the model and adds the chat completion to the request.
func (fe *Frontend) chatRequest(rq front.Request, cb chatBody, data []byte) (front.Request, error) {
	sn := fe.cfg.Load()
	if !sn.ServesModel(cb.Model) {
		return rq, refuse.New(refuse.UnknownModel, "no engine serves the model %q", cb.Model)
	}
	if !rq.Account.MayUseModel(cb.Model) {
		return rq, refuse.New(refuse.Forbidden, "the client account may not use the model %q", cb.Model)
	}
	body, err := withMaxTokens(data, *cb.MaxTokens)
	if err != nil {
		return rq, err
	}
	sum := sha256.Sum256(data)
	rq.Kind, rq.Model, rq.Idempotent, rq.Fingerprint = config.Engine, cb.Model, true, sum[:]
	// The length of the body is an upper bound of the prompt tokens: a token
	// covers at least one byte, and the JSON syntax around a message has more
	// bytes than the chat template adds tokens for it.
	rq.Prompt = ident.Tokens(len(data))
	rq.MaxTokens = *cb.MaxTokens
	rq.Prefixes = prefixes(cb.Messages)
	rq.Call = engine.Call{
		Request: rq.ID, Key: rq.Key, Body: body, Deadline: rq.Deadline,
		Priority: rq.Class.Rank(), MaxTokens: rq.MaxTokens, Stream: cb.Stream,
	}
	return rq, nil
}

// withMaxTokens returns the body with the completion limit, so that the engine
// does not generate more tokens than were reserved.
func withMaxTokens(data []byte, maxTokens ident.Tokens) ([]byte, error) {
	var found map[string]json.RawMessage
	if err := json.Unmarshal(data, &found); err != nil {
		return nil, refuse.New(refuse.BadRequest, "the body is not a JSON object: %v", err)
	}
	delete(found, "max_completion_tokens")
	found["max_tokens"] = json.RawMessage(strconv.FormatInt(int64(maxTokens), 10))
	body, err := json.Marshal(found)
	if err != nil {
		return nil, refuse.New(refuse.BadRequest, "the body cannot be encoded: %v", err)
	}
	return body, nil
}

// streamChat forwards each event to the caller as it arrives. A stream that fails is
// broken off after an error event.
func (fe *Frontend) streamChat(ec echo.Context, rq front.Request, withUsage bool) error {
	rs := ec.Response()
	var out []byte
	_, err := fe.sv.Serve(ec.Request().Context(), rq, func(ch engine.Chunk) error {
		if !withUsage && isUsageOnly(ch.Data) {
			return nil
		}
		if !rs.Committed {
			startEventStream(rs)
		}
		out = append(append(append(out[:0], "data: "...), ch.Data...), "\n\n"...)
		if _, err := rs.Write(out); err != nil {
			return err
		}
		rs.Flush()
		return nil
	})
	if err != nil {
		if !rs.Committed {
			return err
		}
		if err := writeErrorEvent(rs, rq.ID, refuse.From(err)); err != nil {
			return err
		}
		// Closes the connection without the last chunk.
		panic(http.ErrAbortHandler)
	}
	if !rs.Committed {
		startEventStream(rs)
	}
	_, err = rs.Write([]byte("data: [DONE]\n\n"))
	rs.Flush()
	return err
}

func startEventStream(rs *echo.Response) {
	rs.Header().Set(echo.HeaderContentType, "text/event-stream")
	rs.Header().Set(echo.HeaderCacheControl, "no-cache")
	rs.WriteHeader(http.StatusOK)
}

// writeErrorEvent reports the failure of a stream that has already started. It writes
// no [DONE], so that a client does not take the response for complete.
func writeErrorEvent(rs *echo.Response, id ident.Request, rf *refuse.Refusal) error {
	data, err := json.Marshal(newProblem(id, statusOf(rf.Reason), rf))
	if err != nil {
		return err
	}
	if _, err := rs.Write(append(append([]byte("data: "), data...), "\n\n"...)); err != nil {
		return err
	}
	rs.Flush()
	return nil
}

var emptyChoices = []byte(`"choices":[]`)

// isUsageOnly reports whether an event has no choices, so that it only carries
// the usage.
func isUsageOnly(data []byte) bool { return bytes.Contains(data, emptyChoices) }

// collectChat responds to a caller that did not request a stream.
func (fe *Frontend) collectChat(ec echo.Context, rq front.Request) error {
	var co collector
	rs, err := fe.sv.Serve(ec.Request().Context(), rq, func(ch engine.Chunk) error { return co.add(ch.Data) })
	if err != nil {
		return err
	}
	setResultHeader(ec, rs)
	return ec.JSON(http.StatusOK, co.completion(rs.Result.Usage))
}

func setResultHeader(ec echo.Context, rs front.Response) {
	hd := ec.Response().Header()
	hd.Set(headerCharged, strconv.FormatInt(int64(rs.Charged), 10))
	if rs.Replay {
		hd.Set(headerReplay, "true")
	}
}

// models lists the models that the client account may use.
func (fe *Frontend) models(ec echo.Context) error {
	ac, err := fe.authenticate(ec.Request().Header)
	if err != nil {
		return err
	}
	seen := make(map[ident.Model]bool)
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, up := range fe.cfg.Load().Upstreams() {
		for _, mo := range up.Models {
			if !seen[mo] && ac.MayUseModel(mo) {
				seen[mo] = true
				list.Data = append(list.Data, modelItem{ID: mo, Object: "model", OwnedBy: "balsamwood"})
			}
		}
	}
	return ec.JSON(http.StatusOK, list)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      ident.Model `json:"id"`
	Object  string      `json:"object"`
	OwnedBy string      `json:"owned_by"`
}
