package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Object kinds.
const (
	KindTemplate = "template"
	KindCustomer = "customer"
	KindGroup    = "group" // topology.Group
	KindHost     = "host"  // topology.Host; the platform's list lags behind the actual hosts
	KindUsage    = "usage"
)

// PublishGroup publishes the primary of a group for a term, unless a term at
// least as high is already published. It never lowers the published term and is
// idempotent. After a conflict or a lost answer it reads the group again.
func (c *Client) PublishGroup(ctx context.Context, group topology.GroupID, term uint64, primary topology.TargetID) error {
	deadline := time.Now().Add(defaultRetryTimeout)
	for {
		current, err := c.Get(ctx, KindGroup, string(group))
		if err != nil {
			return err
		}
		next, needed, err := setPrimary(current, term, primary)
		if err != nil || !needed {
			return err
		}
		if _, err = c.PutIf(ctx, next); err == nil {
			return nil
		}
		if time.Now().After(deadline) || !sleep(ctx, retryInitialDelay) {
			return err
		}
	}
}

// setPrimary returns the group object with a new term and primary. It keeps JSON
// fields that this version doesn't know. The result needed is false if the object
// already has a term at least as high.
func setPrimary(object Object, term uint64, primary topology.TargetID) (next Object, needed bool, err error) {
	var group topology.Group
	if err := json.Unmarshal(object.Value, &group); err != nil {
		return Object{}, false, errors.Wrap(err, "published group")
	}
	if group.Term >= term {
		return Object{}, false, nil
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(object.Value, &members); err != nil {
		return Object{}, false, errors.Wrap(err, "published group")
	}
	if members["term"], err = json.Marshal(term); err != nil {
		return Object{}, false, err
	}
	if members["primary"], err = json.Marshal(primary); err != nil {
		return Object{}, false, err
	}
	object.Value, err = json.Marshal(members)
	return object, true, err
}
