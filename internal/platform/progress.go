package platform

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoData is the cause of an attempt's end when the platform sent no data in time.
var errNoData = errors.New("no data from the platform in time")

// attemptLimits bound one attempt. None of them bounds the size of an answer: a large one
// over a slow link may take long, as long as its data arrives.
type attemptLimits struct {
	answer   time.Duration // until the answer begins
	silence  time.Duration // without data after that
	transfer time.Duration // of the whole answer, from a platform that never ends it
}

// progress ends the context of an attempt when no data arrives in time.
type progress struct {
	limits attemptLimits
	timer  *time.Timer
}

// start returns the context of an attempt. The caller calls stop when the attempt is over.
func (l attemptLimits) start(ctx context.Context) (attemptCtx context.Context, p *progress, stop func()) {
	ctx, cancelDeadline := context.WithTimeout(ctx, l.answer+l.transfer)
	ctx, cancel := context.WithCancelCause(ctx)
	p = &progress{limits: l, timer: time.AfterFunc(l.answer, func() { cancel(errNoData) })}
	return ctx, p, func() {
		p.timer.Stop()
		cancel(nil)
		cancelDeadline()
	}
}

// noteData records that data has arrived.
func (p *progress) noteData() { p.timer.Reset(p.limits.silence) }

// reader returns a reader of an answer's body that records its data.
func (p *progress) reader(body io.Reader) io.Reader {
	p.noteData() // its header
	return &progressReader{body: body, progress: p}
}

// maxProgressRead is the largest part of an answer, in bytes, that one read asks for. A
// read may return only when it is complete, and must be over before the silence limit.
const maxProgressRead = 4 << 10

type progressReader struct {
	body     io.Reader
	progress *progress
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b[:min(len(b), maxProgressRead)])
	if n > 0 {
		r.progress.noteData()
	}
	return n, err
}

// callTimeoutKey is the context key of WithCallTimeout.
type callTimeoutKey struct{}

// WithCallTimeout returns a context whose calls use d in place of Options.CallTimeout.
func WithCallTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, callTimeoutKey{}, d)
}

// limits returns the limits of an attempt at a request.
func (c *Client) limits(ctx context.Context, req request) attemptLimits {
	l := attemptLimits{answer: req.timeout, silence: c.opts.CallTimeout, transfer: maxTransferTime}
	if d, ok := ctx.Value(callTimeoutKey{}).(time.Duration); ok {
		l.silence = d
	}
	if l.answer == 0 {
		l.answer = l.silence
	}
	return l
}
