// Package adminclient calls the administration API of any host, for the
// command line: typed calls, edits of single fields, and tables for people.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/admin"
)

const (
	callTimeout    = 15 * time.Second // an edit takes up to 10 s while the platform answers badly
	maxAnswerBytes = 64 << 20
)

// Kinds of objects, as the API's paths name them.
const (
	Templates = "templates"
	Customers = "customers"
)

// Client calls one host. An error of the API is *admin.Failure.
type Client struct {
	addr  string
	token string
	http  *http.Client
}

// New returns a client of the host whose administration listener is at addr.
func New(addr, token string) *Client {
	return &Client{addr: addr, token: token, http: &http.Client{Timeout: callTimeout}}
}

// List returns the objects of a kind that the operator may see.
func (c *Client) List(ctx context.Context, kind string) (*admin.Objects, error) {
	var list admin.Objects
	return &list, c.call(ctx, http.MethodGet, path(kind), nil, &list)
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind, name string) (*admin.Object, error) {
	var object admin.Object
	return &object, c.call(ctx, http.MethodGet, path(kind, name), nil, &object)
}

// Put replaces an object of this version, 0: creates it.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value json.RawMessage) (*admin.Edited, error) {
	var edited admin.Edited
	return &edited, c.call(ctx, http.MethodPut, versioned(path(kind, name), version), value, &edited)
}

// Delete deletes an object of this version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (*admin.Edited, error) {
	var edited admin.Edited
	return &edited, c.call(ctx, http.MethodDelete, versioned(path(kind, name), version), nil, &edited)
}

// Set changes single fields of the object as it is now: each assignment is
// PATH=VALUE, with an empty value PATH is removed. It doesn't try again after a
// conflict: another operator's edit is to be looked at first.
func (c *Client) Set(ctx context.Context, kind, name string, assignments []string) (*admin.Edited, error) {
	return c.SetVersion(ctx, kind, name, Current, assignments)
}

// Status returns the host's view of the system.
func (c *Client) Status(ctx context.Context) (*admin.Status, error) {
	var status admin.Status
	return &status, c.call(ctx, http.MethodGet, path("status"), nil, &status)
}

// ObjectStatus tells on which hosts an object's newest version is in force.
func (c *Client) ObjectStatus(ctx context.Context, kind, name string) (*admin.ObjectStatus, error) {
	var status admin.ObjectStatus
	return &status, c.call(ctx, http.MethodGet, path("status", kind, name), nil, &status)
}

// Dump returns the state of one slice of the host, or of all.
func (c *Client) Dump(ctx context.Context, slice string) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, c.call(ctx, http.MethodGet, path("dump")+"?slice="+url.QueryEscape(slice), nil, &dump)
}

// Usage returns a customer's usage.
func (c *Client) Usage(ctx context.Context, customer string) (*Usage, error) {
	var usage Usage
	return &usage, c.call(ctx, http.MethodGet, path("usage", customer), nil, &usage)
}

// Health returns the host's health, also when it isn't good.
func (c *Client) Health(ctx context.Context) (*admin.Health, error) {
	var health admin.Health
	_, body, err := c.send(ctx, http.MethodGet, "/healthz", nil)
	if err != nil {
		return nil, err
	}
	return &health, json.Unmarshal(body, &health)
}

func path(parts ...string) string {
	p := "/v1"
	for _, part := range parts {
		p += "/" + url.PathEscape(part)
	}
	return p
}

func versioned(path string, version uint64) string {
	return path + "?version=" + strconv.FormatUint(version, 10)
}

// call decodes a success into answer and returns a failure as an error.
func (c *Client) call(ctx context.Context, method, path string, body json.RawMessage, answer any) error {
	status, text, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(text, answer); err != nil {
			return unanswered(method, errors.Wrap(err, "the host's answer"))
		}
		return nil
	}
	var failure admin.Failure
	if json.Unmarshal(text, &failure) != nil || failure.Code == 0 {
		return unanswered(method, errors.Newf("the answer with status %d is no host's", status))
	}
	return &failure
}

func (c *Client) send(ctx context.Context, method, path string, body json.RawMessage) (status int, text []byte, err error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "administration request")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, unanswered(method, err)
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, unanswered(method, err)
	}
	return resp.StatusCode, text, nil
}
