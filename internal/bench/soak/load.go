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
	// requestTime is the time allowed for a request.
	requestTime = 6 * time.Second
	// giveUpTime is when a caller gives a router up that does not answer.
	giveUpTime = requestTime + 3*time.Second
	// refusedPause is how long a caller waits after no router answered.
	refusedPause = time.Second
	// avoidTime is how long a router that gave no answer is passed over.
	avoidTime = time.Second
	// repeats bounds how often a caller sends a key again.
	repeats = 2
)

// entry is the result of one request with what was asked.
type entry struct {
	call.Result
	bu   *budget
	key  ident.Key
	kind kind
}

type kind int

const (
	chat kind = iota
	act
	lookup
)

// request sends the request with the number. Its content depends on the seed
// and the number only.
func (so *soak) request(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(so.op.Seed, uint64(number)))
	ro := rng.IntN(routerCount)
	switch pick := rng.IntN(100); {
	case pick < 45:
		so.chat(ctx, number, ro, so.large, rng.IntN(2) == 0)
	case pick < 57:
		so.chat(ctx, number, ro, so.small, rng.IntN(2) == 0)
	case pick < 90:
		so.act(ctx, number, ro)
	default:
		so.lookup(ctx, ro, rng.IntN(number)+1)
	}
}

func (so *soak) chat(ctx context.Context, number, ro int, bu *budget, keyed bool) {
	ch := call.Chat{
		Model: theModel, Prompt: fmt.Sprintf("May child %d enter breakfast club today?", number),
		MaxTokens: 2 * answerTokens, Class: config.Urgent, Timeout: requestTime,
	}
	if keyed {
		ch.Key = ident.Key(fmt.Sprintf("chat-%d-%d", so.op.Seed, number))
	}
	for try := range repeats + 1 {
		re := so.send(ctx, ro+try, func(ctx context.Context, url string) call.Result {
			return bu.caller.Stream(ctx, url, ch)
		})
		so.add(entry{Result: re, bu: bu, key: ch.Key, kind: chat})
		if re.Served || !keyed || re.Reason == refuse.OverBudget {
			return
		}
	}
}

func (so *soak) act(ctx context.Context, number, ro int) {
	cl := call.Call{
		Service: desk, Method: "POST", Path: "/vouchers", Timeout: requestTime,
		Body: fmt.Sprintf(`{"child":"%d"}`, number), Key: ident.Key(fmt.Sprintf("voucher-%d-%d", so.op.Seed, number)),
	}
	for try := range repeats + 1 {
		re := so.send(ctx, ro+try, func(ctx context.Context, url string) call.Result {
			return so.large.caller.Service(ctx, url, cl)
		})
		re.Body = []byte(cl.Body)
		so.add(entry{Result: re, bu: so.large, key: cl.Key, kind: act})
		// Every other key is sent again after its answer, often to a sidecar
		// that has not seen it.
		if re.Served && (try > 0 || number%2 == 0) || re.Reason == refuse.Cancelled {
			return
		}
	}
}

func (so *soak) lookup(ctx context.Context, ro, id int) {
	cl := call.Call{Service: desk, Method: "GET", Path: fmt.Sprintf("/vouchers/%d", id), Timeout: requestTime}
	re := so.send(ctx, ro, func(ctx context.Context, url string) call.Result {
		return so.large.caller.Service(ctx, url, cl)
	})
	re.Body = []byte(fmt.Sprint(id))
	so.add(entry{Result: re, bu: so.large, kind: lookup})
}

func (so *soak) send(ctx context.Context, number int, send func(ctx context.Context, url string) call.Result) call.Result {
	own, cancel := context.WithTimeout(ctx, giveUpTime)
	defer cancel()
	pick := so.choose(number)
	re := send(own, so.routers[pick].Load().URL())
	if re.Status == 0 {
		so.failed[pick].Store(time.Now().UnixNano())
		// Without the pause, a router that is down would use up the requests.
		ti := time.NewTimer(refusedPause)
		defer ti.Stop()
		select {
		case <-ti.C:
		case <-ctx.Done():
		}
	}
	return re
}

// add counts the result and checks what it says by itself.
func (so *soak) add(en entry) {
	so.mu.Lock()
	defer so.mu.Unlock()
	so.log = append(so.log, en)
	so.res.count(en)
	if len(en.Body) == 0 {
		return
	}
	if err := en.wrong(); err != nil {
		so.res.Wrong++
		so.res.note("wrong answer to request %s: %v", en.Request, err)
	}
	if en.kind == chat && en.Served && len(strings.Fields(en.Text)) < answerTokens {
		so.res.Truncated++
		so.res.note("request %s was served %d of %d tokens as whole", en.Request, len(strings.Fields(en.Text)), answerTokens)
	}
}

// wrong returns an error if the answer belongs to another request, or lacks,
// repeats or reorders a part before its end.
func (en entry) wrong() error {
	if en.kind == chat {
		count, err := model.Check(en.Body, en.Text)
		if err == nil && count > answerTokens {
			err = fmt.Errorf("%d tokens, at most %d were produced", count, answerTokens)
		}
		return err
	}
	if !en.Served || en.kind == lookup && en.Status == 404 {
		return nil
	}
	var ef action.Effect
	if err := json.Unmarshal([]byte(en.Text), &ef); err != nil {
		return fmt.Errorf("status %d: %w", en.Status, err)
	}
	if en.kind == lookup && ef.ID != string(en.Body) {
		return fmt.Errorf("record %s in place of %s", ef.ID, en.Body)
	}
	if en.kind == act && (ef.Body != string(en.Body) || ef.Key != string(en.key)) {
		return fmt.Errorf("effect of key %s in place of %s", ef.Key, en.key)
	}
	return nil
}
