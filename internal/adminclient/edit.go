package adminclient

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/admin"
)

// Current stands for the version that the asked host knows.
const Current uint64 = 0

// Create creates an object from a value with fields changed as by Set.
func (c *Client) Create(ctx context.Context, kind, name string, value json.RawMessage, assignments []string) (*admin.Edited, error) {
	value, err := Assign(value, assignments)
	if err != nil {
		return nil, err
	}
	return c.Put(ctx, kind, name, 0, value)
}

// SetVersion is Set on condition that version is the object's newest.
func (c *Client) SetVersion(ctx context.Context, kind, name string, version uint64, assignments []string) (*admin.Edited, error) {
	object, err := c.Get(ctx, kind, name)
	if err != nil {
		return nil, err
	}
	value, err := Assign(object.Value, assignments)
	if err != nil {
		return nil, err
	}
	return c.Put(ctx, kind, name, orCurrent(version, object), value)
}

// Replace puts a whole value in the place of the object's version.
func (c *Client) Replace(ctx context.Context, kind, name string, version uint64, value json.RawMessage) (*admin.Edited, error) {
	version, err := c.versionOf(ctx, kind, name, version)
	if err != nil {
		return nil, err
	}
	return c.Put(ctx, kind, name, version, value)
}

// Remove deletes the object's version.
func (c *Client) Remove(ctx context.Context, kind, name string, version uint64) (*admin.Edited, error) {
	version, err := c.versionOf(ctx, kind, name, version)
	if err != nil {
		return nil, err
	}
	return c.Delete(ctx, kind, name, version)
}

func (c *Client) versionOf(ctx context.Context, kind, name string, version uint64) (uint64, error) {
	if version != Current {
		return version, nil
	}
	object, err := c.Get(ctx, kind, name)
	if err != nil {
		return 0, errors.Wrap(err, "present version")
	}
	return object.Version, nil
}

func orCurrent(version uint64, object *admin.Object) uint64 {
	if version == Current {
		return object.Version
	}
	return version
}
