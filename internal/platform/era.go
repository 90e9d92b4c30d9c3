package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

// eraTracker holds the newest era of the platform that this process knows of.
//
// A platform that comes back from an older copy of its objects has lost what it
// acknowledged since, and gives out revisions again. It tells so by a higher era.
type eraTracker struct {
	mu      sync.Mutex
	era     uint64
	changed chan struct{} // closed and replaced when the era rises
}

func newEraTracker() *eraTracker { return &eraTracker{changed: make(chan struct{})} }

// note records an era and reports whether it is newer than all before.
func (t *eraTracker) note(era uint64) (risen bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return false
	}
	t.era = era
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

func (t *eraTracker) get() (era uint64, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era, t.changed
}

// Era returns the newest era of the platform that this process knows of.
func (c *Client) Era() uint64 {
	era, _ := c.era.get()
	return era
}

// NoteEra records an era that another host knows of. Answers of older eras are
// discarded from then on.
func (c *Client) NoteEra(era uint64) {
	if c.era.note(era) {
		c.opts.Log.Info("platform came back from an older copy", "era", era, "source", "another host")
	}
}

// noteAnswerEra records the era of an answer. It returns an error if the answer is one
// of an older era, which may have been lost: its outcome is unknown.
func (c *Client) noteAnswerEra(header http.Header) (uint64, error) {
	era := uint64(0) // if the platform sends none
	if text := header.Get(c.dialect().EraHeader()); text != "" {
		var err error
		if era, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, &errOutcomeUnknown{cause: errors.Wrap(err, "era of the answer")}
		}
	}
	if c.era.note(era) {
		c.opts.Log.Info("platform came back from an older copy", "era", era, "source", "an answer")
	}
	if known := c.Era(); era < known {
		return era, &errOutcomeUnknown{cause: errors.Newf("answer of era %d, the platform is in era %d", era, known)}
	}
	return era, nil
}

// withinEra returns a context that ends when the platform is known to have left the
// era.
func (c *Client) withinEra(ctx context.Context, era uint64) (context.Context, context.CancelFunc) {
	known, changed := c.era.get()
	ctx, cancel := context.WithCancel(ctx)
	if known != era {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
