package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

// request is one call to the platform with its metric labels and decoder.
type request struct {
	Call
	operation string // get, list, put, delete or watch
	kind      string
	decode    func(body []byte) error // parses the body of a successful response
	timeout   time.Duration           // until the answer begins; 0 means Options.CallTimeout
	noteEra   func(era uint64)        // called with the era of a successful answer; may be nil
}

// attemptOnce waits for the call budget and makes one attempt.
func (c *Client) attemptOnce(ctx context.Context, req request) error {
	if ctx.Err() != nil {
		return &errNotApplied{cause: ctx.Err()}
	}
	if err := c.waitForBudget(ctx); err != nil {
		c.metrics.count(req, "over_budget")
		return err
	}
	attemptCtx, progress, stop := c.limits(ctx, req).start(ctx)
	defer stop()
	err := c.attempt(attemptCtx, req, progress)
	if ctx.Err() == nil { // an attempt that the caller canceled says nothing about the platform
		c.reachability.record(!isRetryable(err), time.Now())
	}
	c.metrics.count(req, outcomeLabel(err))
	return err
}

// waitForBudget takes one call from the budget, waiting if necessary. It returns
// a LimitReached error if the wait would exceed ctx's deadline.
func (c *Client) waitForBudget(ctx context.Context) error {
	if err := c.budget.Wait(ctx); err != nil {
		limitReached := result.New(result.LimitReached, "this host's budget for platform calls is exhausted")
		return limitReached.WithRetryAfter(time.Duration(float64(time.Second) / float64(c.budget.Limit())))
	}
	return nil
}

func (c *Client) attempt(ctx context.Context, req request, progress *progress) error {
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, "http://"+c.opts.Addr+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	if c.opts.Caller != "" {
		httpReq.Header.Set(CallerHeader, c.opts.Caller)
	}
	if len(req.Body) > 0 {
		httpReq.Header.Set("Content-Type", "application/json")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := c.httpClient.Do(httpReq.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return classifyTransportError(err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(progress.reader(resp.Body), maxResponseBytes))
	if err != nil {
		return &errOutcomeUnknown{cause: err}
	}
	era, err := c.noteAnswerEra(resp.Header)
	if err != nil {
		return err
	}
	if err := c.interpretResponse(resp.StatusCode, body, req); err != nil {
		return err
	}
	if req.noteEra != nil {
		req.noteEra(era)
	}
	return nil
}

// classifyTransportError returns errNotApplied if the request was never sent:
// it got no connection, or the dial that followed a broken one failed. Otherwise
// it returns errOutcomeUnknown. connected tells whether the request got a
// connection; without one, err may be that of a context that ended first.
func classifyTransportError(err error, connected bool) error {
	var opErr *net.OpError
	if !connected || errors.As(err, &opErr) && opErr.Op == "dial" {
		return &errNotApplied{cause: err}
	}
	return &errOutcomeUnknown{cause: err}
}

// interpretResponse decodes a successful response and turns any other status
// into an error.
func (c *Client) interpretResponse(status int, body []byte, req request) error {
	if status == http.StatusOK || status == http.StatusCreated {
		if err := req.decode(body); err != nil {
			return &errOutcomeUnknown{cause: err}
		}
		return nil
	}
	failure := c.dialect().DecodeFailure(req.kind, body)
	switch status {
	case http.StatusNotFound:
		return result.New(result.NotFound, "no such object")
	case http.StatusConflict:
		return &ErrConflict{Current: failure.Current}
	case http.StatusGone:
		return ErrGone
	case http.StatusTooManyRequests:
		return &errNotApplied{cause: errors.New("the platform's call budget is exhausted")}
	}
	if status >= http.StatusInternalServerError {
		cause := errors.Newf("status %d: %s", status, failure.Message)
		if c.dialect().HadNoEffect(status) {
			return &errNotApplied{cause: cause}
		}
		return &errOutcomeUnknown{cause: cause}
	}
	return result.New(result.BadConfiguration, "the platform rejected the request: %s", failure.Message)
}
