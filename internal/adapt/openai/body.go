package openai

import (
	"encoding/json"
	"errors"

	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/port/engine"
)

// object is a JSON object whose other members are kept as they are.
type object map[string]json.RawMessage

// rewrite returns the caller's body as a stream with usage, priority and the
// token limit of the call.
func rewrite(ca engine.Call) ([]byte, error) {
	obj, err := parse(ca.Body)
	if err != nil {
		return nil, err
	}
	opts, err := parse(obj["stream_options"])
	if err != nil {
		return nil, err
	}
	opts["include_usage"] = json.RawMessage("true")
	obj["stream"] = json.RawMessage("true")
	if err := errors.Join(
		obj.set("stream_options", opts),
		obj.set("priority", ca.Priority),
		obj.limit(ca.MaxTokens),
	); err != nil {
		return nil, err
	}
	return json.Marshal(obj)
}

// parse returns an empty object for a member that is absent or null.
func parse(data []byte) (object, error) {
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

// limit lowers the caller's token limit to the one that escrow covers. Zero
// leaves the body as it is.
func (ob object) limit(most ident.Tokens) error {
	if most <= 0 {
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
		if err := ob.set(name, min(val, most)); err != nil {
			return err
		}
	}
	if found {
		return nil
	}
	return ob.set("max_tokens", most)
}
