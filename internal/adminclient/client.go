// Package adminclient is the client of a host's administration API for the
// command line. It offers typed calls, edits of single fields, and output as
// tables.
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
	callTimeout    = 15 * time.Second // an edit takes up to 10 s if the platform is slow or failing
	maxAnswerBytes = 64 << 20
)

// Collections of objects, as named in the API's paths.
const (
	Templates = "templates"
	Customers = "customers"
)

// Client calls the administration API of one host. An error that the API returns
// has the type *admin.Failure.
type Client struct {
	addr  string
	token string
	http  *http.Client
}

// New returns a client for the host whose administration listener is at addr.
func New(addr, token string) *Client {
	return &Client{addr: addr, token: token, http: &http.Client{Timeout: callTimeout}}
}

// List returns the objects of a kind that the operator may read.
func (c *Client) List(ctx context.Context, kind string) (*admin.Objects, error) {
	var list admin.Objects
	return &list, c.call(ctx, http.MethodGet, apiPath(kind), nil, &list)
}

// Get returns one object.
func (c *Client) Get(ctx context.Context, kind, name string) (*admin.Object, error) {
	var object admin.Object
	return &object, c.call(ctx, http.MethodGet, apiPath(kind, name), nil, &object)
}

// Put replaces an object if it has the given version. Version 0 creates it.
func (c *Client) Put(ctx context.Context, kind, name string, version uint64, value json.RawMessage) (*admin.EditResult, error) {
	var edited admin.EditResult
	return &edited, c.call(ctx, http.MethodPut, withVersion(apiPath(kind, name), version), value, &edited)
}

// Delete deletes an object if it has the given version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (*admin.EditResult, error) {
	var edited admin.EditResult
	return &edited, c.call(ctx, http.MethodDelete, withVersion(apiPath(kind, name), version), nil, &edited)
}

// Set changes single fields of the current version of an object, as described at
// Assign. It doesn't retry after a version conflict, since the operator should
// review the other edit first.
func (c *Client) Set(ctx context.Context, kind, name string, assignments []string) (*admin.EditResult, error) {
	return c.SetIfVersion(ctx, kind, name, CurrentVersion, assignments)
}

// Status returns the host's view of the system.
func (c *Client) Status(ctx context.Context) (*admin.Status, error) {
	var status admin.Status
	return &status, c.call(ctx, http.MethodGet, apiPath("status"), nil, &status)
}

// ObjectStatus returns on which hosts an object's newest version is in force.
func (c *Client) ObjectStatus(ctx context.Context, kind, name string) (*admin.ObjectStatus, error) {
	var status admin.ObjectStatus
	return &status, c.call(ctx, http.MethodGet, apiPath("status", kind, name), nil, &status)
}

// Dump returns the state dump of one component of the host, or of all components
// if component is empty.
func (c *Client) Dump(ctx context.Context, component string) (json.RawMessage, error) {
	var dump json.RawMessage
	return dump, c.call(ctx, http.MethodGet, apiPath("dump")+"?slice="+url.QueryEscape(component), nil, &dump)
}

// Usage returns a customer's usage.
func (c *Client) Usage(ctx context.Context, customer string) (*Usage, error) {
	var usage Usage
	return &usage, c.call(ctx, http.MethodGet, apiPath("usage", customer), nil, &usage)
}

// Health returns the host's health, even if the health check fails.
func (c *Client) Health(ctx context.Context) (*admin.Health, error) {
	var health admin.Health
	_, body, err := c.send(ctx, http.MethodGet, "/healthz", nil)
	if err != nil {
		return nil, err
	}
	return &health, json.Unmarshal(body, &health)
}

func apiPath(parts ...string) string {
	p := "/v1"
	for _, part := range parts {
		p += "/" + url.PathEscape(part)
	}
	return p
}

func withVersion(path string, version uint64) string {
	return path + "?version=" + strconv.FormatUint(version, 10)
}

// call sends a request. It decodes a successful response into answer and returns
// any other response as an error.
func (c *Client) call(ctx context.Context, method, path string, body json.RawMessage, answer any) error {
	status, text, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(text, answer); err != nil {
			return newNoResponseError(method, errors.Wrap(err, "decode the host's response"))
		}
		return nil
	}
	var failure admin.Failure
	if json.Unmarshal(text, &failure) != nil || failure.Code == 0 {
		return newNoResponseError(method, errors.Newf("response with status %d is not from a nettlewalk host", status))
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
		return 0, nil, newNoResponseError(method, err)
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, newNoResponseError(method, err)
	}
	return resp.StatusCode, text, nil
}
