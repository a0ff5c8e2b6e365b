package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/balsamwood/balsamwood/internal/bench/call"
	"github.com/balsamwood/balsamwood/internal/core/config"
	"github.com/balsamwood/balsamwood/internal/core/ident"
	"github.com/balsamwood/balsamwood/internal/core/refuse"
	"github.com/balsamwood/balsamwood/internal/fake/action"
	"github.com/balsamwood/balsamwood/internal/fake/model"
)

const (
	// requestTimeout is the time allowed for a request.
	requestTimeout = 6 * time.Second
	// callerTimeout is the time after which a caller gives up on a router that
	// does not respond.
	callerTimeout = requestTimeout + 3*time.Second
	// noResponsePause is the time for which a caller waits after a request without
	// a response.
	noResponsePause = time.Second
	// avoidPeriod is the time for which a router that did not respond is skipped.
	avoidPeriod = time.Second
	// maxRepeats bounds the repetitions of a request with a key.
	maxRepeats = 2
)

// entry is the result of one request with its budget, key and kind.
type entry struct {
	call.Result
	bu          *budget
	key         ident.Key
	requestKind requestKind
}

type requestKind int

const (
	chat requestKind = iota
	voucher
	lookup
)

// sendRequest sends the request with the number. Its content depends only on the
// seed and the number.
func (so *soak) sendRequest(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(so.op.Seed, uint64(number)))
	ro := rng.IntN(routerCount)
	switch percentile := rng.IntN(100); {
	case percentile < 45:
		so.chat(ctx, number, ro, so.large, rng.IntN(2) == 0)
	case percentile < 57:
		so.chat(ctx, number, ro, so.small, rng.IntN(2) == 0)
	case percentile < 90:
		so.voucher(ctx, number, ro)
	default:
		so.lookup(ctx, ro, rng.IntN(number)+1)
	}
}

func (so *soak) chat(ctx context.Context, number, ro int, bu *budget, keyed bool) {
	ch := call.Chat{
		Model: modelID, Prompt: fmt.Sprintf("May child %d enter breakfast club today?", number),
		MaxTokens: 2 * responseTokens, Class: config.Urgent, Timeout: requestTimeout,
	}
	if keyed {
		ch.Key = ident.Key(fmt.Sprintf("chat-%d-%d", so.op.Seed, number))
	}
	for try := range maxRepeats + 1 {
		re := so.send(ctx, ro+try, func(ctx context.Context, url string) call.Result {
			return bu.caller.Stream(ctx, url, ch)
		})
		so.record(entry{Result: re, bu: bu, key: ch.Key, requestKind: chat})
		if re.Served || !keyed || re.Reason == refuse.OverBudget {
			return
		}
	}
}

func (so *soak) voucher(ctx context.Context, number, ro int) {
	cl := call.Call{
		Service: serviceID, Method: "POST", Path: "/vouchers", Timeout: requestTimeout,
		Body: fmt.Sprintf(`{"child":"%d"}`, number), Key: ident.Key(fmt.Sprintf("voucher-%d-%d", so.op.Seed, number)),
	}
	for try := range maxRepeats + 1 {
		re := so.send(ctx, ro+try, func(ctx context.Context, url string) call.Result {
			return so.large.caller.CallService(ctx, url, cl)
		})
		re.Body = []byte(cl.Body)
		so.record(entry{Result: re, bu: so.large, key: cl.Key, requestKind: voucher})
		// Every other key is sent again after its response, often to a sidecar that
		// has not seen it.
		if re.Served && (try > 0 || number%2 == 0) || re.Reason == refuse.Cancelled {
			return
		}
	}
}

func (so *soak) lookup(ctx context.Context, ro, id int) {
	cl := call.Call{Service: serviceID, Method: "GET", Path: fmt.Sprintf("/vouchers/%d", id), Timeout: requestTimeout}
	re := so.send(ctx, ro, func(ctx context.Context, url string) call.Result {
		return so.large.caller.CallService(ctx, url, cl)
	})
	re.Body = []byte(fmt.Sprint(id))
	so.record(entry{Result: re, bu: so.large, requestKind: lookup})
}

func (so *soak) send(ctx context.Context, number int, send func(ctx context.Context, url string) call.Result) call.Result {
	timed, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	pick := so.pickRouter(number)
	re := send(timed, so.routers[pick].Load().URL())
	if re.Status == 0 {
		so.lastNoResponse[pick].Store(time.Now().UnixNano())
		// Without the pause, requests to a router that is down would fail at
		// once and use up the requests of the run.
		ti := time.NewTimer(noResponsePause)
		defer ti.Stop()
		select {
		case <-ti.C:
		case <-ctx.Done():
		}
	}
	return re
}

// record counts the result and checks it without the stand-ins' records.
func (so *soak) record(en entry) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.entries = append(so.entries, en)
	so.res.count(en)
	if len(en.Body) == 0 {
		return
	}
	if err := en.checkResponse(); err != nil {
		so.res.WrongResponses++
		so.res.addNote("wrong response to request %s: %v", en.Request, err)
	}
	if en.requestKind == chat && en.Served && len(strings.Fields(en.Text)) < responseTokens {
		so.res.Truncated++
		so.res.addNote("request %s was served %d of %d tokens as a complete response", en.Request, len(strings.Fields(en.Text)), responseTokens)
	}
}

// checkResponse returns an error if the response belongs to another request, or
// lacks, repeats or reorders a part before its end.
func (en entry) checkResponse() error {
	if en.requestKind == chat {
		count, err := model.Check(en.Body, en.Text)
		if err == nil && count > responseTokens {
			err = fmt.Errorf("%d tokens, but engines generate at most %d", count, responseTokens)
		}
		return err
	}
	if !en.Served || en.requestKind == lookup && en.Status == 404 {
		return nil
	}
	var ef action.Effect
	if err := json.Unmarshal([]byte(en.Text), &ef); err != nil {
		return fmt.Errorf("status %d: %w", en.Status, err)
	}
	if en.requestKind == lookup && ef.ID != string(en.Body) {
		return fmt.Errorf("got record %s, want %s", ef.ID, en.Body)
	}
	if en.requestKind == voucher && (ef.Body != string(en.Body) || ef.Key != string(en.key)) {
		return fmt.Errorf("got the effect of key %s, want %s", ef.Key, en.key)
	}
	return nil
}
