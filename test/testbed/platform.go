package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// Platform is the process of the platform stand-in.
type Platform struct {
	*Process
	*Node
}

func (b *Bed) startPlatform(ctx context.Context) error {
	node := b.newNode("platform", KindPlatform, "")
	process, err := b.startProgram(b.programs.Platform, "platform",
		"--listen", node.addr(platformPort),
		"--control", node.addr(controlPort),
		"--host-lag", b.Plan.HostListLag.String(),
	)
	if err != nil {
		return err
	}
	b.Platform = &Platform{Process: process, Node: node}
	return Until(ctx, "the platform responds", func() bool {
		_, err := b.Platform.Calls(ctx)
		return err == nil
	})
}

// SetFaults replaces the faults that the platform injects into its responses.
func (p *Platform) SetFaults(ctx context.Context, f standin.Faults) error {
	return p.callControl(ctx, http.MethodPatch, "/v1/control/faults", f, nil)
}

// Down starts an outage in which the platform sends no responses. Up ends the outage.
func (p *Platform) Down(ctx context.Context) error {
	return p.SetFaults(ctx, standin.Faults{Outage: standin.OutageSilent})
}

// Up removes all faults.
func (p *Platform) Up(ctx context.Context) error { return p.SetFaults(ctx, standin.Faults{}) }

// Slow delays every response. It replaces all other faults.
func (p *Platform) Slow(ctx context.Context, delay time.Duration) error {
	return p.SetFaults(ctx, standin.Faults{Delay: delay})
}

// Calls returns the platform's call counters.
func (p *Platform) Calls(ctx context.Context) (json.RawMessage, error) {
	var calls json.RawMessage
	err := p.callControl(ctx, http.MethodGet, "/v1/control/calls", nil, &calls)
	return calls, err
}

func (p *Platform) callControl(ctx context.Context, method, path string, body, reply any) error {
	return httpJSON(ctx, method, "http://"+p.addr(controlPort)+path, body, reply)
}

// Put writes an object regardless of its version, retrying after conflicts.
func (p *Platform) Put(ctx context.Context, kind, name string, value any) error {
	url := "http://" + p.addr(platformPort) + "/v1/objects/" + kind + "/" + name
	for {
		version, err := p.currentVersion(ctx, url)
		if err != nil {
			return err
		}
		err = httpJSON(ctx, http.MethodPut, fmt.Sprintf("%s?if_version=%d", url, version), value, nil)
		if !errors.Is(err, errConflict) {
			return err
		}
	}
}

// Change reads a group object, applies edit, and writes it back. It retries all
// steps after a conflict.
func (p *Platform) Change(ctx context.Context, kind, name string, edit func(*topology.Group)) error {
	url := "http://" + p.addr(platformPort) + "/v1/objects/" + kind + "/" + name
	for {
		var object platform.Object
		if err := httpJSON(ctx, http.MethodGet, url, nil, &object); err != nil {
			return err
		}
		var group topology.Group
		if err := json.Unmarshal(object.Value, &group); err != nil {
			return err
		}
		edit(&group)
		err := httpJSON(ctx, http.MethodPut, fmt.Sprintf("%s?if_version=%d", url, object.Version), group, nil)
		if !errors.Is(err, errConflict) {
			return err
		}
	}
}

// Delete deletes an object regardless of its version, retrying after conflicts.
func (p *Platform) Delete(ctx context.Context, kind, name string) error {
	url := "http://" + p.addr(platformPort) + "/v1/objects/" + kind + "/" + name
	for {
		version, err := p.currentVersion(ctx, url)
		if err != nil || version == 0 {
			return err
		}
		err = httpJSON(ctx, http.MethodDelete, fmt.Sprintf("%s?if_version=%d", url, version), nil, nil)
		if !errors.Is(err, errConflict) {
			return err
		}
	}
}

// currentVersion returns the version of the object, or zero if it doesn't exist.
func (p *Platform) currentVersion(ctx context.Context, url string) (uint64, error) {
	var object platform.Object
	err := httpJSON(ctx, http.MethodGet, url, nil, &object)
	if errors.Is(err, errNotFound) {
		return 0, nil
	}
	return object.Version, err
}

var (
	errConflict = errors.New("conflict")
	errNotFound = errors.New("not found")
)

// httpJSON sends body as JSON and decodes the response into reply, unless reply is
// nil or the response is empty.
func httpJSON(ctx context.Context, method, url string, body, reply any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	req.Header.Set(platform.CallerHeader, "testbed")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return errConflict
	case resp.StatusCode == http.StatusNotFound:
		return errNotFound
	case resp.StatusCode >= http.StatusBadRequest:
		return errors.Newf("%s %s: %s: %s", method, url, resp.Status, text)
	case reply == nil || len(text) == 0:
		return nil
	}
	return errors.Wrapf(json.Unmarshal(text, reply), "%s %s", method, url)
}
