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

// writeTries bounds the attempts at one object in one round; the next round
// goes on.
const writeTries = 3

const writeTimeout = 5 * time.Second // for one object

// write merges what is due into the platform's objects and tells whether all
// of it could be written.
func (k *Keeper) write(ctx context.Context, silent time.Duration) bool {
	k.mu.Lock()
	due := k.holdings.ToWrite(time.Now(), silent)
	k.mu.Unlock()
	whole := true
	for source, readings := range due {
		if err := k.writeSource(ctx, source, readings); err != nil {
			whole = false
			k.opts.Log.Info("usage is not written yet", "source", recordName(source), "error", err.Error())
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if whole {
		k.lastFlush = time.Now()
	}
	return whole
}

// writeSource merges readings into one object. Merging again what a lost
// answer had written changes nothing.
func (k *Keeper) writeSource(ctx context.Context, source Source, readings []pool.Meter) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	for range writeTries {
		if err = k.mergeOnce(ctx, source, readings); err == nil {
			k.wrote(source, readings)
			return nil
		}
		var conflict *platform.ErrConflict
		if !errors.As(err, &conflict) && !isUnknown(err) {
			return err
		}
	}
	return err
}

// mergeOnce makes one conditional write. Of its own object a host needs no
// reading before, unless a witness has written it meanwhile.
func (k *Keeper) mergeOnce(ctx context.Context, source Source, readings []pool.Meter) error {
	object := platform.Object{Kind: platform.KindUsage, Name: recordName(source)}
	k.mu.Lock()
	object.Version = k.versions[source]
	k.mu.Unlock()
	if source != k.self || object.Version == 0 {
		present, err := k.opts.Client.Get(ctx, object.Kind, object.Name)
		if err != nil && result.As(err, result.PlatformDown).Code != result.NotFound {
			return err
		}
		object.Version, object.Value = present.Version, present.Value
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
		delete(k.versions, source) // read it again
		return err
	}
	k.versions[source] = written.Version
	return nil
}

func (k *Keeper) wrote(source Source, readings []pool.Meter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdings.Durable(readings)
	if source == k.self {
		k.durableNews = true
	} else {
		delete(k.versions, source)
	}
}

func isUnknown(err error) bool {
	return result.As(err, result.PlatformDown).Code == result.PlatformUnknown
}
