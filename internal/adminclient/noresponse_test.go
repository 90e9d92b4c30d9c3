package adminclient

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/result"
)

// An edit whose connection failed was never sent. An edit that was sent but got
// no valid response may have taken effect, so that its outcome is unknown.
func TestEditWithoutResponseHasUnknownOutcome(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}))
	t.Cleanup(aborting.Close)
	foreign := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("not a host"))
	}))
	t.Cleanup(foreign.Close)
	for _, test := range []struct {
		addr string
		read result.Code
		edit result.Code
	}{
		{aborting.Listener.Addr().String(), result.HostUnreachable, result.UnknownOutcome},
		{foreign.Listener.Addr().String(), result.HostUnreachable, result.UnknownOutcome},
		{unusedAddress(t), result.HostUnreachable, result.HostUnreachable},
	} {
		client := New(test.addr, "token")
		_, err := client.Get(context.Background(), Customers, "acme")
		qt.Check(t, codeOf(err), qt.Equals, test.read, qt.Commentf("%v", err))
		_, err = client.Put(context.Background(), Customers, "acme", 1, json.RawMessage(`{}`))
		qt.Check(t, codeOf(err), qt.Equals, test.edit, qt.Commentf("%v", err))
		_, err = client.Delete(context.Background(), Customers, "acme", 1)
		qt.Check(t, codeOf(err), qt.Equals, test.edit, qt.Commentf("%v", err))
	}
}

// unusedAddress returns an address without a listener.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func codeOf(err error) result.Code {
	var failure *admin.Failure
	if !errors.As(err, &failure) {
		return 0
	}
	return failure.Code
}
