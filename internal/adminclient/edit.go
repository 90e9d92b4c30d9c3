package adminclient

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/admin"
)

// CurrentVersion stands for the latest version that the called host knows.
const CurrentVersion uint64 = 0

// Create creates an object from a value with the assignments applied.
func (c *Client) Create(ctx context.Context, kind, name string, value json.RawMessage, assignments []string) (*admin.EditResult, error) {
	value, err := Assign(value, assignments)
	if err != nil {
		return nil, err
	}
	return c.Put(ctx, kind, name, 0, value)
}

// SetIfVersion is like Set, but fails with a version conflict unless version is
// the object's newest version.
func (c *Client) SetIfVersion(ctx context.Context, kind, name string, version uint64, assignments []string) (*admin.EditResult, error) {
	object, err := c.Get(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	value, err := Assign(object.Value, assignments)
	if err != nil {
		return nil, err
	}
	return c.Put(ctx, kind, name, versionOrCurrent(version, object), value)
}

// Replace replaces the whole value of an object if it has the given version.
func (c *Client) Replace(ctx context.Context, kind, name string, version uint64, value json.RawMessage) (*admin.EditResult, error) {
	version, err := c.resolveVersion(ctx, kind, name, version)
	if err != nil {
		return nil, err
	}
	return c.Put(ctx, kind, name, version, value)
}

// Remove deletes an object if it has the given version, which may be
// CurrentVersion.
func (c *Client) Remove(ctx context.Context, kind, name string, version uint64) (*admin.EditResult, error) {
	version, err := c.resolveVersion(ctx, kind, name, version)
	if err != nil {
		return nil, err
	}
	return c.Delete(ctx, kind, name, version)
}

func (c *Client) resolveVersion(ctx context.Context, kind, name string, version uint64) (uint64, error) {
	if version != CurrentVersion {
		return version, nil
	}
	object, err := c.Get(ctx, kind, name)
	if err != nil {
		return 0, errors.Wrap(err, "read current version")
	}
	return object.Version, nil
}

func versionOrCurrent(version uint64, object *admin.Object) uint64 {
	if version == CurrentVersion {
		return object.Version
	}
	return version
}
