package usage

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

// maxWriteAttempts bounds the attempts to write one object in one round. The next
// round tries again.
const maxWriteAttempts = 3

const writeTimeout = 5 * time.Second // per object

// writeDue merges the readings that are due into the platform objects and reports
// whether all writes succeeded.
func (k *Keeper) writeDue(ctx context.Context, silence time.Duration) bool {
	k.mu.Lock()
	due := k.store.DueForWrite(time.Now(), silence)
	k.mu.Unlock()
	allWritten := true
	for source, readings := range due {
		if err := k.writeSource(ctx, source, readings); err != nil {
			allWritten = false
			k.opts.Log.Info("usage write failed, will retry", "source", recordName(source), "error", err.Error())
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if allWritten {
		k.lastFlush = time.Now()
	}
	return allWritten
}

// writeSource merges readings into the object of one source. It retries conflicts
// and writes with an unknown outcome; the merge is idempotent, so repeating a
// write whose response was lost is safe.
func (k *Keeper) writeSource(ctx context.Context, source Source, readings []pool.Meter) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	for range maxWriteAttempts {
		if err = k.tryWrite(ctx, source, readings); err == nil {
			k.markWritten(source, readings)
			return nil
		}
		var conflict *platform.ErrConflict
		if !errors.As(err, &conflict) && !isUnknownOutcome(err) {
			return err
		}
	}
	return err
}

// tryWrite makes one conditional write. It first reads the present object, except
// for the object of this process when its version is known. The write fails with
// a conflict if a witness has written that object in the meantime.
func (k *Keeper) tryWrite(ctx context.Context, source Source, readings []pool.Meter) error {
	object := platform.Object{Kind: platform.KindUsage, Name: recordName(source)}
	k.mu.Lock()
	object.Version = k.versions[source]
	k.mu.Unlock()
	if source != k.self || object.Version == 0 {
		stored, err := k.opts.Client.Get(ctx, object.Kind, object.Name)
		if err != nil && result.As(err, result.PlatformDown).Code != result.NotFound {
			return err
		}
		object.Version, object.Value = stored.Version, stored.Value
	}
	value, err := mergeRecord(source, object.Value, readings)
	if err != nil {
		return err
	}
	if string(value) == string(object.Value) {
		return nil
	}
	object.Value = json.RawMessage(value)
	written, err := k.opts.Client.PutIf(ctx, object)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		delete(k.versions, source) // forces a read before the next write
		return err
	}
	k.versions[source] = written.Version
	return nil
}

func (k *Keeper) markWritten(source Source, readings []pool.Meter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.MarkDurable(readings)
	if source == k.self {
		k.durableChanged = true
	} else {
		delete(k.versions, source)
	}
}

func isUnknownOutcome(err error) bool {
	return result.As(err, result.PlatformDown).Code == result.PlatformUnknown
}
