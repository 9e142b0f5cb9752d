package snapshot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"headhill.example/headhill/pkg/clock"
	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/forms"
	"headhill.example/headhill/pkg/pause"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routing"
	"headhill.example/headhill/pkg/stall"
	"headhill.example/headhill/pkg/storerev"
)

const (
	// perBoxShare is the fraction of the remaining wait given to each box but the last.
	perBoxShare = 2.0 / 3
	// minAskTime is the minimum remaining wait for asking another box.
	minAskTime = 20 * time.Millisecond
	// maxRoundTrip is the network time allowed in addition to the wait.
	maxRoundTrip = 50 * time.Millisecond
	// stallTimeout is how long a response may stall after its first byte.
	stallTimeout = 300 * time.Millisecond
	// maxResponseTime limits the time to receive a response.
	maxResponseTime = 10 * time.Second
	// minStartupWait and startupWaitJitter bound how long a starting box waits for others that
	// are still loading. The first boxes take about a second to read a list of 10,000 servers, and
	// those that forward it as long again.
	minStartupWait    = 3 * time.Second
	startupWaitJitter = 5 * time.Second
	// tableRetries and listRetries are how often a request for a change is retried while other
	// boxes are still loading it.
	tableRetries = 1
	listRetries  = 2
	// lateRetries is how often a request for a change is retried after a box did not answer in time. A
	// box short of CPU time answers more than maxRoundTrip late; without a retry, all boxes that asked
	// it read the source at once. More retries would leave too little time to read the source.
	lateRetries = 1
	// lateStartupWait is how long a starting box retries since the last answer of another box.
	lateStartupWait = 1500 * time.Millisecond
	// lateWaitShare is the fraction of the wait after which a box that is asked again has to answer that
	// it is still loading. The rest is left for an answer that is late again.
	lateWaitShare = 0.5
	// retryDelay is the delay between two retries.
	retryDelay = 50 * time.Millisecond
	// unresponsivePeriod is how long a box that did not respond is asked after the others.
	unresponsivePeriod = 5 * time.Second
)

// Client fetches snapshots from other boxes. It implements directory.Providers.
type Client struct {
	http            *http.Client
	providers       func() []string
	responseTimeout func() time.Duration

	mu sync.Mutex
	// unresponsive maps the addresses of boxes that did not respond to the time of the request.
	unresponsive map[string]time.Time
}

// ClientDeps are the dependencies of a Client.
type ClientDeps struct {
	// Providers returns the addresses of the boxes to ask, in order.
	Providers func() []string
	// ResponseTimeout returns the time in which one of the boxes must start to respond. After
	// that, reading from the source is faster.
	ResponseTimeout func() time.Duration
}

// NewClient returns a Client.
func NewClient(d ClientDeps) *Client {
	t := &http.Transport{
		DisableCompression: true,
		// Requests are rare, so idle connections to all boxes would not pay off.
		DisableKeepAlives: true,
	}
	return &Client{http: &http.Client{Transport: t}, providers: d.Providers, responseTimeout: d.ResponseTimeout, unresponsive: make(map[string]time.Time)}
}

// Table implements directory.Providers.
func (c *Client) Table(ctx context.Context, current *routing.Table, minRevision storerev.Revision) (directory.TableCopy, error) {
	if current == nil {
		current = emptyTable
	}
	return ask(ctx, c, newRetryPolicy(minRevision, tableRetries), func(ctx context.Context, address string, timing timing) (directory.TableCopy, error) {
		var delta routing.Delta
		m, hasBody, err := c.fetch(ctx, address, pathTable, request{minRevision: minRevision, tableVersion: current.Version, wait: timing.wait}, timing.limit, func(metadata) any { return &delta })
		if err != nil {
			return directory.TableCopy{}, err
		}
		table := current
		if hasBody {
			table, err = applyDelta(current, delta, address)
		}
		return directory.TableCopy{Table: table, Revision: m.revision, Changed: m.changed, ConfirmedAt: clock.Now().Add(-m.age)}, err
	})
}

// applyDelta applies a delta that starts from the current table or from the empty table.
func applyDelta(current *routing.Table, delta routing.Delta, address string) (*routing.Table, error) {
	from := current
	if delta.From == emptyTable.Version {
		from = emptyTable
	}
	table, ok := from.Apply(delta)
	if !ok {
		return nil, &DamagedError{Address: address, Reason: "delta does not produce the table of the sender"}
	}
	return table, nil
}

// Servers implements directory.Providers.
func (c *Client) Servers(ctx context.Context, since, minRevision storerev.Revision) (directory.ListCopy, error) {
	return ask(ctx, c, newRetryPolicy(minRevision, listRetries), func(ctx context.Context, address string, timing timing) (directory.ListCopy, error) {
		var list directory.ListCopy
		m, hasBody, err := c.fetch(ctx, address, pathServers, request{minRevision: minRevision, since: since, wait: timing.wait}, timing.limit, func(m metadata) any {
			if m.since == 0 {
				return &list.Servers
			}
			list.Delta = &directory.Delta{From: m.since, To: m.revision}
			return &list.Delta.Events
		})
		if err == nil && !hasBody {
			err = &DamagedError{Address: address, Reason: "no server list in body"}
		}
		list.Revision, list.Changed, list.Evacuations = m.revision, m.changed, m.evacuations
		list.ConfirmedAt = clock.Now().Add(-m.age)
		return list, err
	})
}

// Boxes fetches the roster. A starting box retries while other boxes are loading.
func (c *Client) Boxes(ctx context.Context, starting bool) (roster.Snapshot, error) {
	retry := noRetry()
	if starting {
		retry = startupRetry()
	}
	return ask(ctx, c, retry, func(ctx context.Context, address string, timing timing) (roster.Snapshot, error) {
		var entries []roster.Entry
		m, hasBody, err := c.fetch(ctx, address, pathBoxes, request{wait: timing.wait}, timing.limit, func(metadata) any { return &entries })
		if err == nil && !hasBody {
			err = &DamagedError{Address: address, Reason: "no roster in body"}
		}
		return roster.Snapshot{Entries: entries, Revision: m.revision}, err
	})
}

// timing holds the times of one request.
type timing struct {
	// wait is how long the box may wait until it has the requested data.
	wait time.Duration
	// limit is the timeout for the first byte of the response.
	limit time.Duration
}

// ask asks the boxes in turn until one responds, as often as retry allows. Asking again keeps many
// boxes from reading the source at once.
func ask[T any](ctx context.Context, c *Client, retry retryPolicy, askOne func(context.Context, string, timing) (T, error)) (T, error) {
	waitShare := 1.0
	for {
		got, err := askEach(ctx, c, waitShare, askOne)
		if err == nil || ctx.Err() != nil || !retry.allows(err) {
			return got, err
		}
		if anyLate(err) {
			waitShare = lateWaitShare
		}
		pause.For(ctx, retryDelay)
	}
}

// retryPolicy limits how often the boxes are asked again.
type retryPolicy struct {
	// whileLoading reports whether to ask again after a box answered that it is still loading the data,
	// whileLate whether to do so after a box did not answer in time. Each call counts as a retry.
	whileLoading, whileLate func() bool
}

// allows reports whether to ask again after an error.
func (p retryPolicy) allows(err error) bool {
	if anyLoading(err) {
		return p.whileLoading()
	}
	return anyLate(err) && p.whileLate()
}

// newRetryPolicy returns the policy for a request. The retries are limited by count for a change, and
// by time for a box that has no data yet.
func newRetryPolicy(minRevision storerev.Revision, retries int) retryPolicy {
	if minRevision == 0 {
		return startupRetry()
	}
	return retryPolicy{whileLoading: atMost(retries), whileLate: atMost(lateRetries)}
}

// atMost returns a function that returns true n times.
func atMost(n int) func() bool {
	return func() bool {
		n--
		return n >= 0
	}
}

// startupRetry returns a policy that retries for a random time. The jitter keeps boxes that wait
// for each other from reading the source all at once.
func startupRetry() retryPolicy {
	answeredAt := clock.Now()
	end := answeredAt.Add(minStartupWait + rand.N(startupWaitJitter))
	return retryPolicy{
		whileLoading: func() bool {
			answeredAt = clock.Now()
			return answeredAt.Before(end)
		},
		whileLate: func() bool { return clock.Since(answeredAt) < lateStartupWait },
	}
}

// noRetry returns a policy without retries.
func noRetry() retryPolicy { return retryPolicy{whileLoading: atMost(0), whileLate: atMost(0)} }

// anyLoading reports whether any box was still loading the requested data.
func anyLoading(err error) bool {
	for _, e := range joinedErrors(err) {
		var status *StatusError
		if errors.As(e, &status) && status.Loading {
			return true
		}
	}
	return false
}

// anyLate reports whether any box did not answer in time.
func anyLate(err error) bool {
	for _, e := range joinedErrors(err) {
		var stalled *stall.Error
		if errors.As(e, &stalled) && !stalled.Started {
			return true
		}
	}
	return false
}

// joinedErrors returns the errors that were joined into one.
func joinedErrors(err error) []error {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return joined.Unwrap()
	}
	return []error{err}
}

// askEach asks each box once, in turn, until one responds. A box that is still loading answers after
// waitShare of its time.
func askEach[T any](ctx context.Context, c *Client, waitShare float64, askOne func(context.Context, string, timing) (T, error)) (T, error) {
	var none T
	var failures []error
	// Listing the boxes may take longer than the wait, as it may read the roster.
	addresses := c.orderedAddresses()
	left := min(c.responseTimeout(), maxWait)
	for i, address := range addresses {
		if left < minAskTime {
			break
		}
		wait := left
		if i < len(addresses)-1 {
			wait = time.Duration(perBoxShare * float64(left))
		}
		start := clock.Now()
		got, err := askOne(ctx, address, timing{wait: time.Duration(waitShare * float64(wait)), limit: wait + maxRoundTrip})
		// A box that does not answer takes no more than its share from the next ones.
		left -= min(wait, clock.Since(start))
		c.recordResult(address, err)
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

// orderedAddresses returns the addresses of the boxes to ask, with unresponsive boxes last.
func (c *Client) orderedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var responsive, unresponsive []string
	for _, address := range c.providers() {
		if since, failed := c.unresponsive[address]; failed && clock.Since(since) < unresponsivePeriod {
			unresponsive = append(unresponsive, address)
			continue
		}
		responsive = append(responsive, address)
	}
	return append(responsive, unresponsive...)
}

// recordResult records whether a box has responded. An error status counts as a response, while a
// box with an older build counts as unresponsive.
func (c *Client) recordResult(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var status *StatusError
	if err == nil || errors.As(err, &status) {
		delete(c.unresponsive, address)
		return
	}
	c.unresponsive[address] = clock.Now()
}

// fetch sends a request to one box, whose response must begin within limit, and decodes the body into
// the value returned by target. It returns false if there is no body, because the requester's data is current.
func (c *Client) fetch(ctx context.Context, address, path string, params request, limit time.Duration, target func(metadata) any) (metadata, bool, error) {
	ctx, cancel := stall.WithLimits(ctx, stall.Limits{FirstByte: limit, Idle: stallTimeout, Total: maxResponseTime})
	defer cancel()
	values := url.Values{
		paramMinRevision:  {formatNumber(params.minRevision)},
		paramMinEra:       {strconv.FormatUint(params.minRevision.Era(), 10)},
		paramTableVersion: {strconv.FormatUint(params.tableVersion, 10)},
		paramSince:        {formatNumber(params.since)},
		paramSinceEra:     {strconv.FormatUint(params.since.Era(), 10)},
		paramWait:         {strconv.FormatInt(params.wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?"+values.Encode(), nil)
	if err != nil {
		return metadata{}, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return metadata{}, false, errors.Join(err, context.Cause(ctx))
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return metadata{}, false, &StatusError{Address: address, Status: resp.StatusCode, Loading: resp.Header.Get(headerLoading) != ""}
	}
	m, ok := parseMetadata(resp.Header)
	if !ok {
		return metadata{}, false, &DamagedError{Address: address, Reason: "headers missing or invalid"}
	}
	if m.revision < params.minRevision {
		return metadata{}, false, &DamagedError{Address: address, Reason: fmt.Sprintf("revision %s is older than %s", m.revision, params.minRevision)}
	}
	if path != pathBoxes && !forms.Complete(m.level) {
		return metadata{}, false, &OlderBuildError{Address: address, Level: forms.EffectiveLevel(m.level)}
	}
	if resp.StatusCode == http.StatusNoContent {
		return m, false, nil
	}
	body := stall.NewReader(ctx, io.LimitReader(resp.Body, maxBodyBytes))
	if err := decode(body, target(m)); err != nil {
		return metadata{}, false, errors.Join(&DamagedError{Address: address, Reason: "body cannot be decoded"}, err, context.Cause(ctx))
	}
	return m, true, nil
}
