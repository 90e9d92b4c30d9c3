package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/platform"
	usersplatform "nettlewalk.example/nettlewalk/platform"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// One object that encoding/json rejects made every list and watch of its kind fail, so that
// processes stopped following it.
func TestFollowPassesUnreadableObject(t *testing.T) {
	for name, dialect := range map[string]platform.Dialect{"native": nil, "users": usersplatform.StoreDialect{}} {
		for odd, value := range map[string]string{
			"nested": strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), "number": `{"Slots":1e999}`, "text": `"x"`,
		} {
			t.Run(name+" "+odd, func(t *testing.T) {
				c := qt.New(t)
				s, err := standin.Start(standin.Config{})
				c.Assert(err, qt.IsNil)
				c.Cleanup(s.Close)
				client := platform.New(platform.Options{Addr: s.Addr, Caller: "h1", Dialect: dialect})
				c.Cleanup(client.Close)
				put := func(name, raw string) { c.Assert(s.PutRaw("servers", name, raw), qt.IsNil) }
				put("a", `{}`)
				following, late := newNameSink(), newNameSink()
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				go client.Follow(ctx, "servers", following)
				c.Assert(following.waitFor("a"), qt.IsTrue)
				put("odd", value)
				put("a", value) // sound before
				put("odd2", value)
				put("b", `{}`)
				c.Check(following.waitFor("b"), qt.IsTrue, qt.Commentf("a process that follows already"))
				go client.Follow(ctx, "servers", late)
				c.Check(late.waitFor("b"), qt.IsTrue, qt.Commentf("a process that starts now"))
				c.Check(late.waitFor("odd2"), qt.IsTrue)
				up, _ := client.Reachable()
				c.Check(up, qt.IsTrue)
			})
		}
	}
}

// An object that is left out must be seen by operators.
func TestUnreadableObjectsAreCounted(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"items":[{"meta":{"Name":5},"spec":{}},{"meta":{"Name":"a","Revision":3},"spec":{}}],"HasMore":false,"StoreRevision":4}`))
	}))
	defer server.Close()
	set := metrics.NewSet()
	var logged []string
	log := funcr.New(func(_, args string) { logged = append(logged, args) }, funcr.Options{})
	client := platform.New(platform.Options{Addr: strings.TrimPrefix(server.URL, "http://"), Dialect: usersplatform.StoreDialect{}, Metrics: set, Log: log})
	for range 3 {
		list, err := client.List(context.Background(), "servers")
		c.Assert(err, qt.IsNil)
		c.Check(list.Objects, qt.HasLen, 1)
	}
	c.Check(set.GetOrCreateCounter(`nettlewalk_platform_unreadable_objects_total{kind="servers"}`).Get(), qt.Equals, uint64(3))
	c.Check(logged, qt.HasLen, 1)
}

// In the native form too, an object whose version or a change whose kind can't be read is left
// out rather than taken for version 0 or for no deletion.
func TestNativeObjectIsLeftOutRatherThanGuessed(t *testing.T) {
	c := qt.New(t)
	body := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	client := platform.New(platform.Options{Addr: strings.TrimPrefix(server.URL, "http://")})
	const sound = `{"kind":"k","name":"a","version":3,"value":{}}`
	for _, odd := range []string{`{"kind":"k","name":"b","version":1e999}`, `{"kind":"k","name":5,"version":4}`} {
		body = `{"revision":9,"objects":[` + odd + "," + sound + `]}`
		list, err := client.List(context.Background(), "k")
		c.Assert(err, qt.IsNil)
		c.Check(list.Objects, qt.HasLen, 1, qt.Commentf("%s", odd))
		body = `{"revision":9,"changes":[{"object":` + odd + `},{"object":` + sound + `,"deleted":"x"},{"object":` + sound + `,"deleted":true}]}`
		changes, err := client.Watch(context.Background(), "k", 1)
		c.Assert(err, qt.IsNil)
		c.Assert(changes.Changes, qt.HasLen, 1, qt.Commentf("%s", odd))
		c.Check(changes.Changes[0].Deleted, qt.IsTrue)
	}
}

// nameSink is a platform.Sink that notes the names of the objects it receives.
type nameSink struct {
	mu       sync.Mutex
	names    map[string]bool
	revision uint64
	listed   bool
}

func newNameSink() *nameSink { return &nameSink{names: map[string]bool{}} }

func (s *nameSink) Revision(string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.listed
}

func (s *nameSink) Reset(_ string, list platform.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list.Objects {
		s.names[o.Name] = true
	}
	s.revision, s.listed = list.Revision, true
}

func (s *nameSink) Apply(_ string, changes platform.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes.Changes {
		s.names[change.Object.Name] = true
	}
	s.revision = changes.Revision
}

func (s *nameSink) waitFor(name string) bool {
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		found := s.names[name]
		s.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}
