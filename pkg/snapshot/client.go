package snapshot

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/stall"
)

const (
	// firstShare is the part of the wait that a box is given while there are others to ask.
	firstShare = 2.0 / 3
	// askLeast is the least time for which it makes sense to ask a box.
	askLeast = 20 * time.Millisecond
	// wayMost is how long a question and the beginning of its answer may be on their way.
	wayMost = 50 * time.Millisecond
	// silenceMost is how long an answer that has begun may stand still.
	silenceMost = 300 * time.Millisecond
	// answerMost bounds a whole answer: what trickles is left for the source.
	answerMost = 10 * time.Second
	// firstLeast and firstSpread bound for how long a box that has nothing waits for others that are
	// still reading. The first boxes take about a second to read a list of 10,000 servers in its
	// pages, and those that pass it on as long again.
	firstLeast  = 3 * time.Second
	firstSpread = 5 * time.Second
	// tableRounds and listRounds are how often more a box asks for changes that others are still
	// reading, each time for the wait. They have to be in force within six times the wait; a table
	// takes longer to be read from the source than changes of the list.
	tableRounds = 1
	listRounds  = 2
	// loadingPause is how long a box rests between two rounds.
	loadingPause = 50 * time.Millisecond
	// passedOver is how long a box that gave no answer is asked after the others.
	passedOver = 5 * time.Second
)

// Client asks other boxes. It implements directory.Providers.
type Client struct {
	http      *http.Client
	providers func() []string
	wait      func() time.Duration

	mu sync.Mutex
	// silent are the addresses of boxes that gave no answer, and when.
	silent map[string]time.Time
}

// ClientDeps are what a Client is built on.
type ClientDeps struct {
	// Providers are the addresses of the boxes to ask, in order.
	Providers func() []string
	// ResponseTimeout is how long they may take together to begin an answer. The source could have been
	// asked in that time.
	ResponseTimeout func() time.Duration
}

// NewClient returns a client.
func NewClient(d ClientDeps) *Client {
	t := &http.Transport{
		DisableCompression: true,
		// Questions are rare: a kept connection to each box would cost more than it saves.
		DisableKeepAlives: true,
	}
	return &Client{http: &http.Client{Transport: t}, providers: d.Providers, wait: d.ResponseTimeout, silent: make(map[string]time.Time)}
}

// Table implements directory.Providers.
func (c *Client) Table(ctx context.Context, inForce *routing.Table, least uint64) (directory.TableCopy, error) {
	if inForce == nil {
		inForce = emptyTable
	}
	return ask(ctx, c, again(least, tableRounds), func(ctx context.Context, address string, wait time.Duration) (directory.TableCopy, error) {
		var delta routing.Delta
		k, has, err := c.fetch(ctx, address, pathTable, question{least: least, inForce: inForce.Version, wait: wait}, func(known) any { return &delta })
		if err != nil {
			return directory.TableCopy{}, err
		}
		table := inForce
		if has {
			table, err = applied(inForce, delta, address)
		}
		return directory.TableCopy{Table: table, Revision: k.revision, Changed: k.changed, ConfirmedAt: time.Now().Add(-k.age)}, err
	})
}

// applied returns the table that a delta leads to, which begins at the one in force or at
// nothing.
func applied(inForce *routing.Table, delta routing.Delta, address string) (*routing.Table, error) {
	from := inForce
	if delta.From == emptyTable.Version {
		from = emptyTable
	}
	table, ok := from.Apply(delta)
	if !ok {
		return nil, &DamagedError{Address: address, Reason: "it leads to another table than its sender has"}
	}
	return table, nil
}

// Servers implements directory.Providers.
func (c *Client) Servers(ctx context.Context, since, least uint64) (directory.ListCopy, error) {
	return ask(ctx, c, again(least, listRounds), func(ctx context.Context, address string, wait time.Duration) (directory.ListCopy, error) {
		var list directory.ListCopy
		k, has, err := c.fetch(ctx, address, pathServers, question{least: least, since: since, wait: wait}, func(k known) any {
			if k.since == 0 {
				return &list.Servers
			}
			list.Delta = &directory.Delta{From: k.since, To: k.revision}
			return &list.Delta.Events
		})
		if err == nil && !has {
			err = &DamagedError{Address: address, Reason: "it holds no list"}
		}
		list.Revision, list.Changed, list.Evacuations = k.revision, k.changed, k.evacuations
		list.ConfirmedAt = time.Now().Add(-k.age)
		return list, err
	})
}

// Boxes asks for the boxes that there are: at first for as long as for the rest that a box needs,
// later once.
func (c *Client) Boxes(ctx context.Context, first bool) (roster.Snapshot, error) {
	more := never
	if first {
		more = againAtFirst()
	}
	return ask(ctx, c, more, func(ctx context.Context, address string, wait time.Duration) (roster.Snapshot, error) {
		var entries []roster.Entry
		k, has, err := c.fetch(ctx, address, pathBoxes, question{wait: wait}, func(known) any { return &entries })
		if err == nil && !has {
			err = &DamagedError{Address: address, Reason: "it holds no boxes"}
		}
		return roster.Snapshot{Entries: entries, Revision: k.revision}, err
	})
}

// ask asks one box after the other until one answers. It gives up when none has begun to in time,
// but may ask again as long as one of them is still reading what is asked for: of hundreds all others
// would read the source for themselves.
func ask[T any](ctx context.Context, c *Client, again func() bool, one func(context.Context, string, time.Duration) (T, error)) (T, error) {
	for {
		got, err := askOnce(ctx, c, one)
		if err == nil || !isLoading(err) || ctx.Err() != nil || !again() {
			return got, err
		}
		pause.For(ctx, loadingPause)
	}
}

// again tells whether boxes that are still reading a part are asked once more: for some rounds where
// it has changed, for some time where a box has nothing.
func again(least uint64, rounds int) func() bool {
	if least == 0 {
		return againAtFirst()
	}
	return func() bool {
		rounds--
		return rounds >= 0
	}
}

// againAtFirst is true for some time. Boxes draw it, so that where all of them wait in vain a few ask
// the source first, and the others have it from those.
func againAtFirst() func() bool {
	end := time.Now().Add(firstLeast + rand.N(firstSpread))
	return func() bool { return time.Now().Before(end) }
}

// never is for what is asked for once.
func never() bool { return false }

// isLoading tells whether any box was still reading what it was asked for.
func isLoading(err error) bool {
	for _, e := range failuresOf(err) {
		var status *StatusError
		if errors.As(e, &status) && status.Loading {
			return true
		}
	}
	return false
}

// failuresOf are the errors that make one up.
func failuresOf(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// askOnce asks one box after the other, each once, until one answers.
func askOnce[T any](ctx context.Context, c *Client, one func(context.Context, string, time.Duration) (T, error)) (T, error) {
	var none T
	var failures []error
	end := time.Now().Add(min(c.wait(), waitMost))
	addresses := c.inOrder()
	for i, address := range addresses {
		wait := time.Until(end)
		if wait < askLeast {
			break
		}
		if i < len(addresses)-1 {
			wait = time.Duration(firstShare * float64(wait))
		}
		got, err := one(ctx, address, wait)
		c.note(address, err)
		if err == nil {
			return got, nil
		}
		failures = append(failures, err)
	}
	if len(failures) == 0 {
		return none, directory.ErrNoProvider
	}
	return none, errors.Join(failures...)
}

// inOrder are the boxes to ask, those last that have just given no answer.
func (c *Client) inOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var answering, silent []string
	for _, address := range c.providers() {
		if since, failed := c.silent[address]; failed && time.Since(since) < passedOver {
			silent = append(silent, address)
			continue
		}
		answering = append(answering, address)
	}
	return append(answering, silent...)
}

// note notes whether a box has answered. One that says that it can't serve has; one of an earlier
// build is asked after the others.
func (c *Client) note(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var status *StatusError
	if err == nil || errors.As(err, &status) {
		delete(c.silent, address)
		return
	}
	c.silent[address] = time.Now()
}

// fetch asks one box for a part, and decodes it into what the head of the answer calls for. It
// returns false where the box has what the asker has.
func (c *Client) fetch(ctx context.Context, address, path string, q question, to func(known) any) (known, bool, error) {
	ctx, cancel := stall.WithLimits(ctx, stall.Limits{FirstByte: q.wait + wayMost, Idle: silenceMost, Total: answerMost})
	defer cancel()
	values := url.Values{
		keyLeast:   {strconv.FormatUint(q.least, 10)},
		keyInForce: {strconv.FormatUint(q.inForce, 10)},
		keySince:   {strconv.FormatUint(q.since, 10)},
		keyWait:    {strconv.FormatInt(q.wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?"+values.Encode(), nil)
	if err != nil {
		return known{}, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return known{}, false, errors.Join(err, context.Cause(ctx))
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return known{}, false, &StatusError{Address: address, Status: resp.StatusCode, Loading: resp.Header.Get(headerLoading) != ""}
	}
	k, ok := readKnown(resp.Header)
	if !ok || k.revision < q.least {
		return known{}, false, &DamagedError{Address: address, Reason: "it does not say up to where it is known, or not as far as was asked"}
	}
	if path != pathBoxes && !forms.Complete(k.level) {
		return known{}, false, &OlderBuildError{Address: address, Level: forms.EffectiveLevel(k.level)}
	}
	if resp.StatusCode == http.StatusNoContent {
		return k, false, nil
	}
	body := stall.NewReader(ctx, io.LimitReader(resp.Body, bodyMost))
	if err := decode(body, to(k)); err != nil {
		return known{}, false, errors.Join(&DamagedError{Address: address, Reason: "its body is no part"}, err, context.Cause(ctx))
	}
	return k, true, nil
}
