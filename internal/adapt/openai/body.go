package openai

import (
	"encoding/json"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// object is a JSON object with encoded members, so that members that are not set
// stay unchanged.
type object map[string]json.RawMessage

// streamingBody returns the caller's body with streaming and usage reports
// enabled, and with the priority and the token limit of the call.
func streamingBody(ca engine.Call) ([]byte, error) {
	obj, err := parseObject(ca.Body)
	if err != nil {
		return nil, err
	}
	opts, err := parseObject(obj["stream_options"])
	if err != nil {
		return nil, err
	}
	opts["include_usage"] = json.RawMessage("true")
	obj["stream"] = json.RawMessage("true")
	if err := errors.Join(
		obj.set("stream_options", opts),
		obj.set("priority", ca.Priority),
		obj.limitTokens(ca.MaxTokens),
	); err != nil {
		return nil, err
	}
	return json.Marshal(obj)
}

// parseObject decodes a JSON object. The result is empty if data is nil or null.
func parseObject(data []byte) (object, error) {
	obj := object{}
	if data == nil {
		return obj, nil
	}
	if err := json.Unmarshal(data, &obj); err != nil {
		return nil, err
	}
	if obj == nil {
		obj = object{}
	}
	return obj, nil
}

func (ob object) set(name string, val any) error {
	data, err := json.Marshal(val)
	if err == nil {
		ob[name] = data
	}
	return err
}

// limitTokens lowers the caller's token limits to maxTokens, which escrow covers,
// or adds a limit if there is none. If maxTokens is 0, the body stays unchanged.
func (ob object) limitTokens(maxTokens ident.Tokens) error {
	if maxTokens <= 0 {
		return nil
	}
	found := false
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		raw, ok := ob[name]
		if !ok || string(raw) == "null" {
			continue
		}
		found = true
		var val ident.Tokens
		if err := json.Unmarshal(raw, &val); err != nil {
			return err
		}
		if err := ob.set(name, min(val, maxTokens)); err != nil {
			return err
		}
	}
	if found {
		return nil
	}
	return ob.set("max_tokens", maxTokens)
}
