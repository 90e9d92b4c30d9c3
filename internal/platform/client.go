package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	defaultCallTimeout  = 2 * time.Second                    // until an answer begins, and without data after that
	maxTransferTime     = 30 * time.Second                   // of one answer; ends one whose data trickles
	defaultRetryTimeout = 5 * time.Second                    // for one call including its retries; a deadline of ctx may end it earlier
	retryInitialDelay   = 50 * time.Millisecond              // before the second attempt
	retryMaxDelay       = 1 * time.Second                    // upper limit of the exponential backoff
	defaultWatchWait    = 3 * time.Second                    // a dead connection is detected after this time plus watchGrace
	watchGrace          = 1 * time.Second                    // extra time for the response of a watch to begin
	listPageSize        = 100                                // objects per page
	maxIdleConns        = 8                                  // idle connections kept open to the platform
	dialTimeout         = 1 * time.Second                    // for opening a connection to the platform
	maxResponseBytes    = (listPageSize + 1) * MaxValueBytes // one page of objects of maximum size, plus overhead
)

// Options configures a Client.
type Options struct {
	Addr   string // host:port of the platform's object API
	Caller string // name of this process, by which the platform counts calls
	// Budget is the limit of calls per second of this process; 0 means no limit.
	Budget float64
	// Dial opens connections; nil means plain TCP.
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	CallTimeout time.Duration // until the platform answers, and between parts of its answer; 0 means 2 s
	WatchWait   time.Duration // how long the platform holds a watch without changes; 0 means 3 s
	Dialect     Dialect       // HTTP form of the API; nil means the proxy's own platform API
	Metrics     *metrics.Set  // nil disables metrics
	Log         logr.Logger
}

// Client is a client of the platform's object API. It is safe for concurrent use.
type Client struct {
	opts         Options
	httpClient   *http.Client
	budget       *rate.Limiter
	reachability *reachability
	era          *eraTracker
	metrics      *callMetrics
	// unreadableKinds has the kinds of which an unreadable object was logged.
	unreadableKinds sync.Map
}

// New returns a client. It sends nothing until a method is called.
func New(opts Options) *Client {
	if opts.CallTimeout == 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.WatchWait == 0 {
		opts.WatchWait = defaultWatchWait
	}
	if opts.Dialect == nil {
		opts.Dialect = native{}
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{DialContext: opts.Dial, MaxIdleConnsPerHost: maxIdleConns}
	c := &Client{
		opts:         opts,
		httpClient:   &http.Client{Transport: transport},
		budget:       rate.NewLimiter(rate.Inf, 0),
		reachability: newReachability(time.Now()),
		era:          newEraTracker(),
	}
	c.SetBudget(opts.Budget)
	c.metrics = newCallMetrics(opts.Metrics, c.reachability)
	return c
}

// SetBudget changes the limit of calls per second of this process; 0 means no limit.
func (c *Client) SetBudget(perSecond float64) {
	if perSecond <= 0 {
		c.budget.SetLimit(rate.Inf)
		return
	}
	c.budget.SetBurst(max(1, int(perSecond)))
	c.budget.SetLimit(rate.Limit(perSecond))
}

// Reachable reports whether the last attempt reached the platform, and since when this
// state has lasted.
func (c *Client) Reachable() (up bool, since time.Time) { return c.reachability.get() }

// Close closes idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Get returns an object, or an error with the code NotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, kind, name, false)
}

// GetStale is like Get, but the object may be seconds old if the platform offers
// stale reads, which cost less.
func (c *Client) GetStale(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, kind, name, true)
}

func (c *Client) get(ctx context.Context, kind, name string, stale bool) (object Object, err error) {
	req := request{Call: c.dialect().Get(kind, name, stale), operation: "get", kind: kind, decode: c.decodeObjectInto(kind, &object)}
	req.noteEra = func(era uint64) { object.Era = era }
	return object, c.retry(ctx, req)
}

// errEraChanged ends a list whose pages are of different eras.
var errEraChanged = errors.New("the platform came back from an older copy between two pages")

// List returns all objects of a kind. Its Revision is that of the first page, so
// that a watch from there repeats the changes made while later pages were read. A list
// that spans a change of the era is read again.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	for {
		list, err := c.listOnce(ctx, kind)
		if !errors.Is(err, errEraChanged) {
			return list, err
		}
	}
}

func (c *Client) listOnce(ctx context.Context, kind string) (List, error) {
	var list List
	for nextPage := ""; ; {
		var page List
		req := request{Call: c.dialect().List(kind, nextPage, false), operation: "list", kind: kind}
		req.decode = func(body []byte) (err error) {
			page, err = c.dialect().DecodeList(kind, body)
			return err
		}
		var era uint64
		req.noteEra = func(answerEra uint64) { era = answerEra }
		if err := c.retry(ctx, req); err != nil {
			return List{}, err
		}
		if nextPage == "" {
			list.Revision, list.Era = page.Revision, era
		} else if era != list.Era {
			return List{}, errEraChanged
		}
		list.Objects = append(list.Objects, page.Objects...)
		list.Unreadable += page.Unreadable
		if nextPage = page.NextPage; nextPage == "" {
			c.noteUnreadable(kind, list.Unreadable)
			return list, nil
		}
	}
}

// Watch returns the changes of a kind after a revision. It waits up to
// Options.WatchWait for the first change and then returns none. After ErrGone the
// caller must list the kind again.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) (changes Changes, err error) {
	wait := c.opts.WatchWait
	req := request{Call: c.dialect().Watch(kind, after, wait), operation: "watch", kind: kind, timeout: wait + watchGrace}
	req.decode = func(body []byte) (err error) {
		changes, err = c.dialect().DecodeChanges(kind, body)
		return err
	}
	var era uint64
	req.noteEra = func(answerEra uint64) { era = answerEra }
	err = c.attemptOnce(ctx, req)
	changes.Era = era
	c.noteUnreadable(kind, changes.Unreadable)
	return changes, err
}

// noteUnreadable counts objects that were left out, and logs the first of each kind.
func (c *Client) noteUnreadable(kind string, count int) {
	if count == 0 {
		return
	}
	c.metrics.countUnreadable(kind, count)
	if _, logged := c.unreadableKinds.LoadOrStore(kind, true); !logged {
		c.opts.Log.Info("ignoring objects whose names or versions can't be read", "kind", kind, "count", count)
	}
}

// PutIf writes a value if the object has object.Version; version 0 means that the
// object must not exist. It makes one attempt. After ErrConflict or PlatformDown
// the write has not taken effect; after PlatformUnknown its outcome is unknown. It is
// unknown also if object was read in an earlier era: its version may since have been
// given to another content.
func (c *Client) PutIf(ctx context.Context, object Object) (Object, error) {
	var written Object
	req := c.putRequest(object, &written)
	req.noteEra = func(era uint64) { written.Era = era }
	err := c.attemptOnce(ctx, req)
	written.Value = object.Value
	if err == nil && object.Version > 0 && written.Era != object.Era {
		err = &errOutcomeUnknown{cause: errors.Newf("written in era %d under a version of era %d", written.Era, object.Era)}
	}
	return written, toResultError(err, result.PlatformUnknown)
}

func (c *Client) putRequest(object Object, written *Object) request {
	return request{Call: c.dialect().Put(object), operation: "put", kind: object.Kind, decode: c.decodeObjectInto(object.Kind, written)}
}

func (c *Client) dialect() Dialect { return c.opts.Dialect }

func (c *Client) decodeObjectInto(kind string, object *Object) func([]byte) error {
	return func(body []byte) (err error) {
		*object, err = c.dialect().DecodeObject(kind, body)
		return err
	}
}

// withoutRetryKey is the context key that disables retries.
type withoutRetryKey struct{}

// WithoutRetry returns a context that limits each call to one attempt, for
// callers that repeat their calls themselves, such as polling loops.
func WithoutRetry(ctx context.Context) context.Context {
	return context.WithValue(ctx, withoutRetryKey{}, true)
}

// retry makes attempts until the platform answers or the time is up. It must
// only be used for idempotent requests.
func (c *Client) retry(ctx context.Context, req request) error {
	if ctx.Value(withoutRetryKey{}) != nil {
		return toResultError(c.attemptOnce(ctx, req), result.PlatformDown)
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryInitialDelay
	delays.MaxInterval = retryMaxDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := c.attemptOnce(ctx, req)
		if err != nil && !isRetryable(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(defaultRetryTimeout))
	return toResultError(err, result.PlatformDown)
}

// isRetryable reports whether the platform gave no answer, or an answer that
// guarantees that the request had no effect.
func isRetryable(err error) bool {
	var unknownErr *errOutcomeUnknown
	var notAppliedErr *errNotApplied
	return errors.As(err, &unknownErr) || errors.As(err, &notAppliedErr)
}

// toResultError gives an error without an answer its result code: PlatformDown if
// the request was not applied, and unknownCode if it may have been.
func toResultError(err error, unknownCode result.Code) error {
	var unknownErr *errOutcomeUnknown
	var notAppliedErr *errNotApplied
	switch {
	case errors.As(err, &notAppliedErr):
		return result.New(result.PlatformDown, "%s", notAppliedErr.Error()).WithRetryAfter(retryMaxDelay)
	case errors.As(err, &unknownErr):
		return result.New(unknownCode, "%s", unknownErr.Error()).WithRetryAfter(retryMaxDelay)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return result.New(unknownCode, "%s", err.Error()).WithRetryAfter(retryMaxDelay)
	}
	return err
}
