package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	usersplatform "nettlewalk.example/nettlewalk/platform"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// put writes an object as an operator would.
func put(c *qt.C, s *standin.Server, kind, name string, value any) {
	_, err := s.Put(kind, name, value)
	c.Assert(err, qt.IsNil)
}

// follow follows the customers until the test ends.
func follow(c *qt.C, client *platform.Client) *recordingSink {
	sink := &recordingSink{}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go client.Follow(ctx, "customer", sink)
	return sink
}

// A platform that comes back from an older copy gives out revisions again. The client
// tells so by the era, and a follower lists the kind again.
func TestFollowAfterRestoreFromAnOlderCopy(t *testing.T) {
	c := qt.New(t)
	s, client := startServer(c, standin.Faults{})
	put(c, s, "customer", "a", 1)
	copied := s.Snapshot()
	put(c, s, "customer", "lost", 1)
	put(c, s, "customer", "a", 2)
	sink := follow(c, client)
	waitUntil(c, func() bool { return sink.value("a") == "2" && sink.value("lost") == "1" })
	s.ResetCalls()
	s.Restore(copied, 50*time.Millisecond)
	waitUntil(c, func() bool { return sink.value("a") == "1" && sink.value("lost") == "" })
	c.Check(client.Era(), qt.Equals, uint64(1))
	lists := uint64(0)
	for _, call := range s.Calls().Calls {
		if call.Method == "list" {
			lists += call.Count
		}
	}
	c.Check(lists, qt.Equals, uint64(1))
	put(c, s, "customer", "a", 3) // its revision was given out before
	waitUntil(c, func() bool { return sink.value("a") == "3" })
	s.Restore(copied, 0) // a second time in a row
	waitUntil(c, func() bool { return sink.value("a") == "1" && client.Era() == 2 })
}

// A version that was read before a restore may belong to another content after it, so
// that a write under it has an unknown outcome.
func TestWriteUnderAVersionOfAnEarlierEraIsUnknown(t *testing.T) {
	c := qt.New(t)
	s, client := startServer(c, standin.Faults{})
	ctx := context.Background()
	copied := s.Snapshot()
	put(c, s, "customer", "a", "mine")
	read, err := client.Get(ctx, "customer", "a")
	c.Assert(err, qt.IsNil)
	s.Restore(copied, 0)
	put(c, s, "customer", "a", "another's") // gets the same version
	read.Value = json.RawMessage(`"new"`)
	_, err = client.PutIf(ctx, read)
	c.Check(codeOf(err), qt.Equals, result.PlatformUnknown, qt.Commentf("%v", err))
}

// An answer of an earlier era that arrives late is discarded. Another host may have told
// of the new era.
func TestAnswerOfAnEarlierEraIsDiscarded(t *testing.T) {
	c := qt.New(t)
	s, client := startServer(c, standin.Faults{})
	put(c, s, "customer", "a", 1)
	client.NoteEra(1)
	_, err := client.Get(platform.WithoutRetry(context.Background()), "customer", "a")
	c.Check(codeOf(err), qt.Equals, result.PlatformDown, qt.Commentf("%v", err))
	s.Restore(s.Snapshot(), 0)
	_, err = client.Get(context.Background(), "customer", "a")
	c.Check(err, qt.IsNil)
}

// A watch whose revision the platform has reached again in a new era would miss what was
// written before it. Only the era tells.
func TestFollowAfterRevisionsWereGivenOutAgain(t *testing.T) {
	c := qt.New(t)
	s, client := startServer(c, standin.Faults{})
	put(c, s, "customer", "a", 1)
	copied := s.Snapshot()
	put(c, s, "customer", "lost", 1)
	sink := follow(c, client)
	waitUntil(c, func() bool { return sink.value("lost") == "1" })
	s.UpdateFaults(func(f *standin.Faults) { f.Outage = standin.OutageRefuse })
	s.Load(copied)
	put(c, s, "customer", "new", 1) // has the revision of the lost one
	put(c, s, "customer", "newer", 1)
	s.UpdateFaults(func(f *standin.Faults) { f.Outage = standin.OutageNone })
	waitUntil(c, func() bool { return sink.value("newer") == "1" })
	c.Check(sink.value("new"), qt.Equals, "1")
	c.Check(sink.value("lost"), qt.Equals, "")
}

// loadingDialect loads a copy into the stand-in after it has decoded the first page.
type loadingDialect struct {
	usersplatform.StoreDialect
	load func()
}

func (d loadingDialect) DecodeList(kind string, body []byte) (platform.List, error) {
	list, err := d.StoreDialect.DecodeList(kind, body)
	d.load()
	return list, err
}

// A list whose pages are of two eras is read again.
func TestListIsOfOneEra(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(c, standin.Faults{})
	const objects = 600 // more than a page
	for i := range objects {
		put(c, s, "customer", fmt.Sprintf("%04d", i), "old")
	}
	copied := s.Snapshot()
	for i := range objects {
		put(c, s, "customer", fmt.Sprintf("%04d", i), "lost")
	}
	load := sync.OnceFunc(func() { s.Load(copied) })
	client := platform.New(platform.Options{Addr: s.Addr, Dialect: loadingDialect{load: load}})
	c.Cleanup(client.Close)
	list, err := client.List(context.Background(), "customer")
	c.Assert(err, qt.IsNil)
	c.Assert(list.Objects, qt.HasLen, objects)
	for _, o := range list.Objects {
		c.Assert(string(o.Value), qt.Equals, `"old"`, qt.Commentf("%s", o.Name))
	}
}

// recordingSink holds the objects that it was given, by name.
type recordingSink struct {
	mu       sync.Mutex
	objects  map[string]string
	revision uint64
}

func (s *recordingSink) Revision(string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.objects != nil
}

func (s *recordingSink) Reset(_ string, list platform.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = map[string]string{}, list.Revision
	for _, o := range list.Objects {
		s.objects[o.Name] = string(o.Value)
	}
}

func (s *recordingSink) Apply(_ string, changes platform.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = changes.Revision
	for _, change := range changes.Changes {
		s.objects[change.Object.Name] = string(change.Object.Value)
	}
}

func (s *recordingSink) value(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name]
}

func waitUntil(c *qt.C, met func() bool) {
	c.Helper()
	for deadline := time.Now().Add(10 * time.Second); !met(); {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(time.Millisecond)
	}
}
