package platform

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
)

// EditResult is the result of an edit that took effect.
type EditResult struct {
	Object     Object // as last read or written
	Superseded bool   // a later edit has already replaced this one
}

// Edit replaces the object that has the given version with body, a JSON object.
// Version 0 creates the object, also if an object of this name is marked as
// deleted. Edit returns ErrConflict if another edit replaced that version first,
// and PlatformUnknown if the outcome could not be determined in time.
//
// Each attempt carries the same edit ID and version condition, so that retries
// are idempotent: the first attempt to arrive takes effect, and the later ones
// fail with a conflict whose current object contains the edit's record.
func (c *Client) Edit(ctx context.Context, kind, name string, version uint64, body json.RawMessage) (EditResult, error) {
	base := Object{Kind: kind, Name: name}
	if version > 0 {
		current, err := c.Get(ctx, kind, name)
		if err != nil {
			return EditResult{}, err
		}
		if current.Version != version {
			return EditResult{}, &ErrConflict{Current: &current}
		}
		base = current
	}
	edited, err := c.applyToBase(ctx, base, body)
	var conflict *ErrConflict
	if version == 0 && errors.As(err, &conflict) && conflict.Current != nil && IsDeleted(conflict.Current.Value) {
		return c.applyToBase(ctx, *conflict.Current, body)
	}
	return edited, err
}

// Remove marks the object that has the given version as deleted. The deletion is
// an edit like any other.
func (c *Client) Remove(ctx context.Context, kind, name string, version uint64) (EditResult, error) {
	return c.Edit(ctx, kind, name, version, deletedBody)
}

// applyToBase replaces base with body. Version 0 of base means that the object
// doesn't exist yet.
func (c *Client) applyToBase(ctx context.Context, base Object, body json.RawMessage) (EditResult, error) {
	var earlier []EditRecord
	if base.Version > 0 {
		var err error
		if _, earlier, err = SplitEdits(base.Value); err != nil {
			return EditResult{}, result.New(result.BadConfiguration, "%s", err.Error())
		}
	}
	edit := EditRecord{ID: rand.Text(), Base: base.Version}
	value, err := appendEdit(body, earlier, edit)
	if err != nil {
		return EditResult{}, result.New(result.BadConfiguration, "%s", err.Error())
	}
	base.Value = value
	return c.writeUntilResolved(ctx, base, edit)
}

// writeUntilResolved repeats the conditional write until its outcome is known or
// the time is up.
func (c *Client) writeUntilResolved(ctx context.Context, object Object, edit EditRecord) (EditResult, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryInitialDelay
	delays.MaxInterval = retryMaxDelay
	deadline := time.Now().Add(defaultRetryTimeout)
	mayBeApplied := false
	for {
		var written Object
		err := c.attemptOnce(ctx, c.putRequest(object, &written))
		if err == nil {
			object.Version = written.Version
			return EditResult{Object: object}, nil
		}
		var conflict *ErrConflict
		if errors.As(err, &conflict) {
			return resolveConflict(edit, conflict, mayBeApplied)
		}
		mayBeApplied = mayBeApplied || mayBeAppliedAfter(err)
		if !isRetryable(err) || time.Now().After(deadline) || !sleep(ctx, delays.NextBackOff()) {
			return EditResult{}, unresolvedError(err, mayBeApplied)
		}
	}
}

// resolveConflict returns the outcome of an edit whose last attempt failed with a
// version conflict. The conflict may be with an earlier attempt of the same edit.
func resolveConflict(edit EditRecord, conflict *ErrConflict, mayBeApplied bool) (EditResult, error) {
	if !mayBeApplied {
		return EditResult{}, conflict
	}
	if conflict.Current == nil {
		return EditResult{}, result.New(result.PlatformUnknown, "the object was removed before the edit's outcome was known")
	}
	switch ResolveEdit(edit, *conflict.Current) {
	case EditApplied:
		return EditResult{Object: *conflict.Current, Superseded: !isLatestEdit(edit, conflict.Current)}, nil
	case EditRejected:
		return EditResult{}, conflict
	default:
		return EditResult{}, result.New(result.PlatformUnknown, "too many later edits to determine this edit's outcome")
	}
}

// isLatestEdit reports whether edit is the last one recorded in current.
func isLatestEdit(edit EditRecord, current *Object) bool {
	_, edits, err := SplitEdits(current.Value)
	return err == nil && len(edits) > 0 && edits[len(edits)-1] == edit
}

// mayBeAppliedAfter reports whether a request that failed with err may still have
// reached the platform.
func mayBeAppliedAfter(err error) bool {
	var notAppliedErr *errNotApplied
	if errors.As(err, &notAppliedErr) {
		return false // its cause may be a context that ended
	}
	var unknownErr *errOutcomeUnknown
	return errors.As(err, &unknownErr) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func unresolvedError(err error, mayBeApplied bool) error {
	if mayBeApplied {
		return result.New(result.PlatformUnknown, "%s", err.Error()).WithRetryAfter(retryMaxDelay)
	}
	return toResultError(err, result.PlatformUnknown)
}

// sleep waits for d and reports whether ctx was still active at the end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// DeleteIf permanently removes the object if it has object.Version, in one
// attempt. Objects that operators edit are marked as deleted with Remove instead.
func (c *Client) DeleteIf(ctx context.Context, object Object) error {
	req := request{Call: c.dialect().Delete(object), operation: "delete", kind: object.Kind}
	req.decode = func([]byte) error { return nil }
	return toResultError(c.attemptOnce(ctx, req), result.PlatformUnknown)
}
