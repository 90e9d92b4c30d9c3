package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

// request is one call to the platform.
type request struct {
	Call
	name    string // get, list, put, delete or watch
	kind    string
	decode  func(body []byte) error // reads the body of a success
	timeout time.Duration           // 0: the client's
}

// once spends from the budget and makes one attempt.
func (c *Client) once(ctx context.Context, r request) error {
	if err := c.spend(ctx); err != nil {
		c.metrics.count(r, "over_budget")
		return err
	}
	timeout := r.timeout
	if timeout == 0 {
		timeout = c.opts.CallTimeout
	}
	attempt, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.attempt(attempt, r)
	if ctx.Err() == nil { // a caller who gave up tells nothing about the platform
		c.state.note(!worthRetrying(err), time.Now())
	}
	c.metrics.count(r, outcome(err))
	return err
}

// spend waits for the budget if ctx has the time, and refuses otherwise.
func (c *Client) spend(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := c.budget.Wait(ctx); err != nil {
		e := result.New(result.LimitReached, "this host's budget of platform calls is used up")
		return e.After(time.Duration(float64(time.Second) / float64(c.budget.Limit())))
	}
	return nil
}

func (c *Client) attempt(ctx context.Context, r request) error {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.opts.Addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	if c.opts.Caller != "" {
		req.Header.Set(CallerHeader, c.opts.Caller)
	}
	if len(r.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return noAnswer(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &errNoAnswer{cause: err}
	}
	return c.judge(resp.StatusCode, body, r)
}

// noAnswer tells a request that was surely not sent from the others.
func noAnswer(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &errNotSent{cause: err}
	}
	return &errNoAnswer{cause: err}
}

// judge turns an answer into its outcome.
func (c *Client) judge(status int, body []byte, r request) error {
	if status == http.StatusOK || status == http.StatusCreated {
		if err := r.decode(body); err != nil {
			return &errNoAnswer{cause: err}
		}
		return nil
	}
	failure := c.dialect().DecodeFailure(r.kind, body)
	switch status {
	case http.StatusNotFound:
		return result.New(result.NotFound, "no such object")
	case http.StatusConflict:
		return &ErrConflict{Current: failure.Current}
	case http.StatusGone:
		return ErrGone
	case http.StatusTooManyRequests:
		return &errNotSent{cause: errors.New("the platform's call budget is used up")}
	}
	if status >= http.StatusInternalServerError {
		cause := errors.Newf("status %d: %s", status, failure.Message)
		if c.dialect().NothingDone(status) {
			return &errNotSent{cause: cause}
		}
		return &errNoAnswer{cause: cause}
	}
	return result.New(result.BadConfiguration, "the platform refused the request: %s", failure.Message)
}
