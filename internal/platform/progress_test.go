package platform

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// slowBody receives a part of maxProgressRead bytes each time the interval has passed, or
// never if it is 0. Like the body of net/http, it may return only once p is full.
type slowBody struct {
	ctx      context.Context
	interval time.Duration
	parts    int // still to be received
	buffered int // bytes
}

func (b *slowBody) Read(p []byte) (n int, err error) {
	for n < len(p) {
		if b.buffered == 0 {
			if b.parts == 0 {
				return n, io.EOF
			}
			if err := b.receive(); err != nil {
				return n, err
			}
		}
		part := copy(p[n:], bytes.Repeat([]byte("x"), b.buffered))
		n, b.buffered = n+part, b.buffered-part
	}
	return n, nil
}

func (b *slowBody) receive() error {
	var next <-chan time.Time
	if b.interval > 0 {
		next = time.After(b.interval)
	}
	select {
	case <-next:
		b.parts, b.buffered = b.parts-1, maxProgressRead
		return nil
	case <-b.ctx.Done():
		return context.Cause(b.ctx)
	}
}

// An answer must be read to its end while data arrives, and be given up if none does or
// it never ends.
func TestAnswerIsReadWhileDataArrives(t *testing.T) {
	limits := attemptLimits{answer: 3 * time.Second, silence: time.Second, transfer: 10 * time.Second}
	for _, test := range []struct {
		name          string
		answerAfter   time.Duration
		interval      time.Duration
		parts         int
		wantErr       error
		wantEndsAfter time.Duration
	}{
		{"no answer", time.Hour, time.Second, 1, errNoData, 3 * time.Second},
		{"silent in the middle", 2 * time.Second, 0, 1, errNoData, 3 * time.Second},
		{"too slow between parts", 2 * time.Second, 1100 * time.Millisecond, 5, errNoData, 3 * time.Second},
		{"large", 2 * time.Second, 300 * time.Millisecond, 30, nil, 11 * time.Second},
		{"never ends", 0, 300 * time.Millisecond, 1000, context.DeadlineExceeded, 13 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				ctx, p, stop := limits.start(context.Background())
				defer stop()
				err := readSlowly(ctx, p, test.answerAfter, &slowBody{ctx: ctx, interval: test.interval, parts: test.parts})
				qt.Check(t, errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(startedAt), qt.Equals, test.wantEndsAfter)
			})
		})
	}
}

// readSlowly reads a body that begins after a time, and checks that it is whole.
func readSlowly(ctx context.Context, p *progress, answerAfter time.Duration, body *slowBody) error {
	select {
	case <-time.After(answerAfter):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	want := body.parts * maxProgressRead
	got, err := io.ReadAll(p.reader(body))
	if err == nil && !bytes.Equal(got, bytes.Repeat([]byte("x"), want)) {
		return errors.Newf("%d of %d bytes", len(got), want)
	}
	return err
}

// A shorter timeout of a caller must not end a watch that the platform holds on purpose.
func TestCallTimeoutOfContextSparesTheWait(t *testing.T) {
	c := New(Options{CallTimeout: 2 * time.Second})
	ctx := WithCallTimeout(context.Background(), time.Second)
	qt.Check(t, c.limits(context.Background(), request{}), qt.Equals, attemptLimits{2 * time.Second, 2 * time.Second, maxTransferTime})
	qt.Check(t, c.limits(ctx, request{}), qt.Equals, attemptLimits{time.Second, time.Second, maxTransferTime})
	qt.Check(t, c.limits(ctx, request{timeout: time.Minute}), qt.Equals, attemptLimits{time.Minute, time.Second, maxTransferTime})
}
