package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

// request is one call to the platform.
type request struct {
	method  string // of HTTP
	name    string // get, list, put, delete or watch
	kind    string
	path    string
	body    []byte
	answer  any           // decoded into on success
	timeout time.Duration // 0: the client's
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
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.opts.Addr+r.path, bytes.NewReader(r.body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	req.Header.Set(CallerHeader, c.opts.Caller)
	resp, err := c.http.Do(req)
	if err != nil {
		return noAnswer(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &errNoAnswer{cause: err}
	}
	return decode(resp.StatusCode, body, r.answer)
}

// noAnswer tells a request that was surely not sent from the others.
func noAnswer(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &errNotSent{cause: err}
	}
	return &errNoAnswer{cause: err}
}

func decode(status int, body []byte, answer any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(body, answer); err != nil {
			return &errNoAnswer{cause: err}
		}
		return nil
	}
	var failure Failure
	_ = json.Unmarshal(body, &failure) // the status alone decides
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
		return &errNoAnswer{cause: errors.Newf("status %d: %s", status, failure.Message)}
	}
	return result.New(result.BadConfiguration, "the platform refused the request: %s", failure.Message)
}
