package link_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"google.golang.org/protobuf/proto"

	"github.com/balsamwood/balsamwood/internal/adapt/link"
	"github.com/balsamwood/balsamwood/internal/adapt/wire"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/port/engine"
	"github.com/balsamwood/balsamwood/internal/port/peer"
)

func encode(t testing.TB, ms proto.Message) []byte {
	data, err := proto.Marshal(ms)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func sampleEvents() []peer.Event {
	return []peer.Event{
		{Request: "q", Attempt: 1, Kind: peer.Accepted},
		{Request: "q", Attempt: 1, Kind: peer.Data, Seq: 3, Chunk: engine.Chunk{Data: []byte("x"), Tokens: 1}},
		{Request: "q", Attempt: 2, Kind: peer.Final, Seq: 3, Charged: 9, Replay: true, Result: engine.Result{
			Status: 200, Header: []engine.Field{{Name: "A", Value: "b"}}, Usage: engine.Usage{Prompt: 1, Completion: 2}}},
		{Request: "q", Attempt: 1, Kind: peer.Refused, Refusal: refuse.New(refuse.Busy, "full")},
		{Request: "q", Attempt: 1, Kind: peer.Failed, Refusal: refuse.New(refuse.UpstreamFailed, "gone"), Charged: 4},
	}
}

// FuzzReadFrame guards against input that makes the reader panic, and against a
// frame above the limit or without a body.
func FuzzReadFrame(f *testing.F) {
	for _, ev := range sampleEvents() {
		data := encode(f, link.EncodeEvent(ev, nil))
		f.Add(append(binary.AppendUvarint(nil, uint64(len(data))), data...))
	}
	f.Add(binary.AppendUvarint(nil, link.MaxFrameBytes+1))
	f.Add([]byte{5, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		fr, err := link.ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		if err == nil && (fr.GetBody() == nil || proto.Size(fr) > link.MaxFrameBytes) {
			t.Errorf("frame of %d bytes with body %v", proto.Size(fr), fr.GetBody())
		}
	})
}

// FuzzDecodeEvent guards against a refusal or failure with an unknown outcome
// that is decoded as proof that the attempt did not run, and against events that
// an encoding round trip changes.
func FuzzDecodeEvent(f *testing.F) {
	for _, ev := range sampleEvents() {
		f.Add(encode(f, link.EncodeEvent(ev, nil)))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fr := &wire.Frame{}
		if proto.Unmarshal(data, fr) != nil {
			return
		}
		ev, ok := link.DecodeEvent(fr)
		if !ok {
			return
		}
		switch ev.Kind {
		case peer.Refused:
			if fr.GetRefused().GetUnknown() && ev.Refusal.Outcome != refuse.Unknown {
				t.Errorf("refusal %v, want unknown", ev.Refusal)
			}
		case peer.Failed:
			if ev.Refusal.Outcome != refuse.Unknown {
				t.Errorf("failure %v, want unknown", ev.Refusal)
			}
		}
		again, ok := link.DecodeEvent(link.EncodeEvent(ev, nil))
		if diff := cmp.Diff(ev, again, cmpopts.EquateEmpty()); !ok || diff != "" {
			t.Errorf("event after a round trip (-want +got):\n%s", diff)
		}
	})
}

// FuzzDecodeDispatch guards against a dispatch that an encoding round trip
// changes.
func FuzzDecodeDispatch(f *testing.F) {
	di := dispatch("q", 0)
	di.Call.Header = []engine.Field{{Name: "A", Value: "b"}}
	f.Add(encode(f, link.EncodeDispatch(di).GetDispatch()))
	f.Fuzz(func(t *testing.T, data []byte) {
		wd := &wire.Dispatch{}
		if proto.Unmarshal(data, wd) != nil {
			return
		}
		di := link.DecodeDispatch(wd)
		again := link.DecodeDispatch(link.EncodeDispatch(di).GetDispatch())
		if diff := cmp.Diff(di, again, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("dispatch after a round trip (-want +got):\n%s", diff)
		}
	})
}
