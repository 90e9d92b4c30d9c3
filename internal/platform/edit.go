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

// Edited is the outcome of an edit that took effect.
type Edited struct {
	Object     Object // as last seen
	Superseded bool   // a later edit already came on top
}

// Edit replaces an object of this version by body, a JSON object; version 0
// creates it, also where a deleted one was. It returns ErrConflict when another
// edit was first, and PlatformUnknown when no answer could be had in time.
//
// Each attempt carries the same edit id and condition, so that repeating one
// is harmless: whichever arrives first takes effect, and the conflict that the
// others meet names it.
func (c *Client) Edit(ctx context.Context, kind, name string, version uint64, body json.RawMessage) (Edited, error) {
	base := Object{Kind: kind, Name: name}
	if version > 0 {
		current, err := c.Get(ctx, kind, name)
		if err != nil {
			return Edited{}, err
		}
		if current.Version != version {
			return Edited{}, &ErrConflict{Current: &current}
		}
		base = current
	}
	edited, err := c.editFrom(ctx, base, body)
	var conflict *ErrConflict
	if version == 0 && errors.As(err, &conflict) && conflict.Current != nil && IsDeleted(conflict.Current.Value) {
		return c.editFrom(ctx, *conflict.Current, body)
	}
	return edited, err
}

// Remove marks an object of this version as deleted, as an edit like others.
func (c *Client) Remove(ctx context.Context, kind, name string, version uint64) (Edited, error) {
	return c.Edit(ctx, kind, name, version, deletedBody)
}

// editFrom replaces base, whose version is 0 if there is no object yet.
func (c *Client) editFrom(ctx context.Context, base Object, body json.RawMessage) (Edited, error) {
	var earlier []EditRecord
	if base.Version > 0 {
		var err error
		if _, earlier, err = SplitEdits(base.Value); err != nil {
			return Edited{}, result.New(result.BadConfiguration, "%s", err.Error())
		}
	}
	edit := EditRecord{ID: rand.Text(), Base: base.Version}
	value, err := withEdit(body, earlier, edit)
	if err != nil {
		return Edited{}, result.New(result.BadConfiguration, "%s", err.Error())
	}
	base.Value = value
	return c.applyEdit(ctx, base, edit)
}

// applyEdit repeats the conditional write until its outcome is known.
func (c *Client) applyEdit(ctx context.Context, object Object, edit EditRecord) (Edited, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = retryFirst
	delays.MaxInterval = retryMax
	deadline := time.Now().Add(defaultRetryFor)
	maybeSent := false
	for {
		var written Object
		err := c.once(ctx, c.putRequest(object, &written))
		if err == nil {
			object.Version = written.Version
			return Edited{Object: object}, nil
		}
		var conflict *ErrConflict
		if errors.As(err, &conflict) {
			return judged(edit, conflict, maybeSent)
		}
		maybeSent = maybeSent || mayHaveArrived(err)
		if !worthRetrying(err) || time.Now().After(deadline) || !sleep(ctx, delays.NextBackOff()) {
			return Edited{}, unresolved(err, maybeSent)
		}
	}
}

// judged tells the outcome of an edit whose last attempt met a conflict.
func judged(edit EditRecord, conflict *ErrConflict, maybeSent bool) (Edited, error) {
	if !maybeSent {
		return Edited{}, conflict
	}
	if conflict.Current == nil {
		return Edited{}, result.New(result.PlatformUnknown, "the object was removed meanwhile")
	}
	switch Judge(edit, *conflict.Current) {
	case TookEffect:
		return Edited{Object: *conflict.Current, Superseded: !isLast(edit, conflict.Current)}, nil
	case Lost:
		return Edited{}, conflict
	default:
		return Edited{}, result.New(result.PlatformUnknown, "too many later edits came to tell this one's outcome")
	}
}

func isLast(edit EditRecord, current *Object) bool {
	_, edits, err := SplitEdits(current.Value)
	return err == nil && len(edits) > 0 && edits[len(edits)-1] == edit
}

func mayHaveArrived(err error) bool {
	var noAnswer *errNoAnswer
	return errors.As(err, &noAnswer) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func unresolved(err error, maybeSent bool) error {
	if maybeSent {
		return result.New(result.PlatformUnknown, "%s", err.Error()).After(retryMax)
	}
	return coded(err, result.PlatformUnknown)
}

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

// DeleteIf removes an object of this version for good, in one attempt. Kinds
// whose deletions are edited by operators keep a marked object instead.
func (c *Client) DeleteIf(ctx context.Context, object Object) error {
	r := request{Call: c.dialect().Delete(object), name: "delete", kind: object.Kind}
	r.decode = func([]byte) error { return nil }
	return coded(c.once(ctx, r), result.PlatformUnknown)
}
