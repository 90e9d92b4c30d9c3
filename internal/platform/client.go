package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	defaultCallTimeout = 2 * time.Second                // of one attempt
	defaultRetryFor    = 5 * time.Second                // of one call with its retries, when ctx has no deadline
	retryFirst         = 50 * time.Millisecond          // before the second attempt
	retryMax           = 1 * time.Second                // between later attempts
	defaultWatchWait   = 3 * time.Second                // a watch on a silent connection is noticed after it and watchGrace
	watchGrace         = 1 * time.Second                // for a watch's answer to arrive
	listPage           = 100                            // objects a page
	maxIdleConns       = 8                              // kept open to the platform
	dialTimeout        = 1 * time.Second                // for a connection to the platform
	maxAnswerBytes     = (listPage + 1) * MaxValueBytes // largest body that is read
)

// Options configures a Client.
type Options struct {
	Addr   string // host:port of the platform's object API
	Caller string // this process, for the platform's counts
	// Budget is how many calls a second this process may make; 0: no bound.
	Budget float64
	// Dial opens connections; nil: plain TCP.
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	CallTimeout time.Duration // of one attempt; 0: 2 s
	WatchWait   time.Duration // how long a watch waits for news; 0: 3 s
	Dialect     Dialect       // spelling of the API; nil: the product's own
	Metrics     *metrics.Set  // nil: none are kept
	Log         logr.Logger
}

// Client calls the platform. Safe for concurrent use.
type Client struct {
	opts    Options
	http    *http.Client
	budget  *rate.Limiter
	state   *reachability
	metrics *callMetrics
}

// New returns a client. It makes no call by itself.
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
		opts:   opts,
		http:   &http.Client{Transport: transport},
		budget: rate.NewLimiter(rate.Inf, 0),
		state:  newReachability(time.Now()),
	}
	c.SetBudget(opts.Budget)
	c.metrics = newCallMetrics(opts.Metrics, c.state)
	return c
}

// SetBudget changes how many calls a second this process may make; 0: no bound.
func (c *Client) SetBudget(perSecond float64) {
	if perSecond <= 0 {
		c.budget.SetLimit(rate.Inf)
		return
	}
	c.budget.SetBurst(max(1, int(perSecond)))
	c.budget.SetLimit(rate.Limit(perSecond))
}

// Up tells whether the last attempt reached the platform, and since when it
// has been so.
func (c *Client) Up() (up bool, since time.Time) { return c.state.get() }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns an object, or an error of code NotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, kind, name, false)
}

// GetStale is Get with an answer that may be seconds old, where the platform
// offers such answers at a lower price.
func (c *Client) GetStale(ctx context.Context, kind, name string) (Object, error) {
	return c.get(ctx, kind, name, true)
}

func (c *Client) get(ctx context.Context, kind, name string, stale bool) (object Object, err error) {
	r := request{Call: c.dialect().Get(kind, name, stale), name: "get", kind: kind, decode: c.objectInto(kind, &object)}
	return object, c.retry(ctx, r)
}

// List returns all objects of a kind. Revision is that of the first page:
// a watch from there repeats what changed while the pages were read.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	var all List
	for page := ""; ; {
		var list List
		r := request{Call: c.dialect().List(kind, page, false), name: "list", kind: kind}
		r.decode = func(body []byte) (err error) {
			list, err = c.dialect().DecodeList(kind, body)
			return err
		}
		if err := c.retry(ctx, r); err != nil {
			return List{}, err
		}
		if page == "" {
			all.Revision = list.Revision
		}
		all.Objects = append(all.Objects, list.Objects...)
		if page = list.NextPage; page == "" {
			return all, nil
		}
	}
}

// Watch returns the changes of a kind after a revision. It waits some seconds
// for the first one and then returns none. ErrGone: list again.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) (changes Changes, err error) {
	wait := c.opts.WatchWait
	r := request{Call: c.dialect().Watch(kind, after, wait), name: "watch", kind: kind, timeout: wait + watchGrace}
	r.decode = func(body []byte) (err error) {
		changes, err = c.dialect().DecodeChanges(kind, body)
		return err
	}
	return changes, c.once(ctx, r)
}

// PutIf writes a value if the object has this version, 0: doesn't exist. It
// makes one attempt: ErrConflict and PlatformDown mean that it surely didn't
// take effect, PlatformUnknown that nobody knows.
func (c *Client) PutIf(ctx context.Context, object Object) (Object, error) {
	var written Object
	err := c.once(ctx, c.putRequest(object, &written))
	written.Value = object.Value
	return written, coded(err, result.PlatformUnknown)
}

func (c *Client) putRequest(object Object, answer *Object) request {
	return request{Call: c.dialect().Put(object), name: "put", kind: object.Kind, decode: c.objectInto(object.Kind, answer)}
}

func (c *Client) dialect() Dialect { return c.opts.Dialect }

func (c *Client) objectInto(kind string, object *Object) func([]byte) error {
	return func(body []byte) (err error) {
		*object, err = c.dialect().DecodeObject(kind, body)
		return err
	}
}

// withoutRetry is the key of a context under which calls make one attempt.
type withoutRetry struct{}

// WithoutRetry returns a context under which each call makes one attempt, for
// callers that come back by themselves.
func WithoutRetry(ctx context.Context) context.Context {
	return context.WithValue(ctx, withoutRetry{}, true)
}

// retry makes attempts until one is answered or the time is up. Use it only
// for requests that may be repeated.
func (c *Client) retry(ctx context.Context, r request) error {
	if ctx.Value(withoutRetry{}) != nil {
		return coded(c.once(ctx, r), result.PlatformDown)
	}
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryFirst
	delays.MaxInterval = retryMax
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := c.once(ctx, r)
		if err != nil && !worthRetrying(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(defaultRetryFor))
	return coded(err, result.PlatformDown)
}

func worthRetrying(err error) bool {
	var noAnswer *errNoAnswer
	var notSent *errNotSent
	return errors.As(err, &noAnswer) || errors.As(err, &notSent)
}

// coded gives an error without an answer its result code: unknown if the
// request may have been acted on.
func coded(err error, unknown result.Code) error {
	var noAnswer *errNoAnswer
	var notSent *errNotSent
	switch {
	case errors.As(err, &notSent):
		return result.New(result.PlatformDown, "%s", notSent.Error()).After(retryMax)
	case errors.As(err, &noAnswer):
		return result.New(unknown, "%s", noAnswer.Error()).After(retryMax)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return result.New(unknown, "%s", err.Error()).After(retryMax)
	}
	return err
}
