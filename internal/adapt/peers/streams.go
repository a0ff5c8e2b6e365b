package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/balsamwood/balsamwood/internal/adapt/client"
	"github.com/balsamwood/balsamwood/internal/app/resume"
	"github.com/balsamwood/balsamwood/internal/core/ident"
)

const (
	streamsPath = "/v1/streams"
	// maxStreamsBytes bounds a message with records of streams.
	maxStreamsBytes = 1 << 20
	// streamTimeout bounds a call about streams up to the header of its response.
	streamTimeout = 200 * time.Millisecond
)

// stream is the record of a stream. Times are durations, because the clocks of routers
// differ.
type stream struct {
	ID      ident.Request `json:"id"`
	Service ident.Service `json:"service"`
	Release string        `json:"release"`
	LeftMs  int64         `json:"leftMs"`
}

func streamOf(st resume.Stream, now time.Time) stream {
	return stream{ID: st.ID, Service: st.Service, Release: st.Release, LeftMs: st.Deadline.Sub(now).Milliseconds()}
}

func (st stream) record(now time.Time) resume.Stream {
	return resume.Stream{ID: st.ID, Service: st.Service, Release: st.Release, Deadline: now.Add(time.Duration(st.LeftMs) * time.Millisecond)}
}

// serveStreams keeps records of other routers.
func serveStreams(add func(streams []resume.Stream)) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		var docs []stream
		if err := json.NewDecoder(http.MaxBytesReader(wr, re.Body, maxStreamsBytes)).Decode(&docs); err != nil {
			http.Error(wr, "want a list of streams", http.StatusBadRequest)
			return
		}
		now := time.Now()
		records := make([]resume.Stream, 0, len(docs))
		for _, doc := range docs {
			records = append(records, doc.record(now))
		}
		add(records)
		wr.WriteHeader(http.StatusNoContent)
	}
}

// serveStream responds with what is known of one stream, or without a body.
func serveStream(lookup func(qu resume.Query) (resume.Stream, bool)) http.HandlerFunc {
	return func(wr http.ResponseWriter, re *http.Request) {
		age, err := strconv.ParseInt(re.FormValue("ageMs"), 10, 64)
		if err != nil {
			http.Error(wr, "want a number in the parameter ageMs", http.StatusBadRequest)
			return
		}
		now := time.Now()
		st, ok := lookup(resume.Query{
			ID: ident.Request(re.FormValue("id")), Service: ident.Service(re.FormValue("service")), Since: now.Add(-time.Duration(age) * time.Millisecond),
		})
		if !ok {
			wr.WriteHeader(http.StatusNoContent)
			return
		}
		writeJSON(wr, streamOf(st, now))
	}
}

// SendStreams gives records to the router at addr.
func (cl *Client) SendStreams(ctx context.Context, addr string, streams []resume.Stream) error {
	ctx, stop := client.WithLowestRate(ctx, time.Now().Add(streamTimeout), configRate)
	defer stop()
	docs, now := make([]stream, 0, len(streams)), time.Now()
	for _, st := range streams {
		docs = append(docs, streamOf(st, now))
	}
	body, err := json.Marshal(docs)
	if err != nil {
		return err
	}
	return cl.post(ctx, addr+streamsPath, body, nil)
}

// FetchStream requests what the router at addr knows of a stream, and reports whether it
// knows its release.
func (cl *Client) FetchStream(ctx context.Context, addr string, qu resume.Query) (resume.Stream, bool, error) {
	ctx, stop := client.WithLowestRate(ctx, time.Now().Add(streamTimeout), configRate)
	defer stop()
	args := url.Values{"id": {string(qu.ID)}, "service": {string(qu.Service)}, "ageMs": {strconv.FormatInt(time.Since(qu.Since).Milliseconds(), 10)}}
	var doc *stream
	if err := cl.get(ctx, addr+streamsPath+"?"+args.Encode(), maxMessageBytes, &doc); err != nil || doc == nil {
		return resume.Stream{}, false, err
	}
	return doc.record(time.Now()), true, nil
}
