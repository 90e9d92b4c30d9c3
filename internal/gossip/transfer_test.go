package gossip

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"os"
	"os/exec"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// snapshotOf returns an encoding that consists of that many chunks, each with other bytes.
func snapshotOf(version uint64, chunks int) *encodedSnapshot {
	var data []byte
	for i := range chunks {
		data = append(data, bytes.Repeat([]byte{byte(version) + byte(i)}, chunkBytes)...)
	}
	return &encodedSnapshot{data: data, sum: version}
}

// next makes one call of the download and adds its answer.
func next(t testing.TB, u *uploads, from topology.HostID, d *download, current *encodedSnapshot, now time.Time) FetchReply {
	reply := u.serve(&FetchArgs{From: from, Sum: d.sum, Offset: len(d.data)}, current, now)
	if !reply.Busy {
		qt.Assert(t, d.add(&reply), qt.IsNil)
	}
	return reply
}

// A host that needs longer for a configuration than the time between two versions would
// otherwise begin again with each version and never have one.
func TestReplacedSnapshotIsServedUntilItsDownloadEnds(t *testing.T) {
	var u uploads
	var d download
	old, newer := snapshotOf(1, 3), snapshotOf(2, 3)
	next(t, &u, "slow", &d, old, time.Unix(0, 0))
	for range 2 {
		next(t, &u, "slow", &d, newer, time.Unix(1, 0))
	}
	qt.Check(t, d.complete(), qt.IsTrue)
	qt.Check(t, d.data, qt.DeepEquals, old.data)
}

func TestUploadsAreLimited(t *testing.T) {
	var u uploads
	now := time.Unix(0, 0)
	current := snapshotOf(1, 3)
	downloads := [maxUploads + 1]download{}
	for i := range maxUploads {
		qt.Check(t, next(t, &u, topology.HostID(rune('a'+i)), &downloads[i], current, now).Busy, qt.IsFalse)
	}
	qt.Check(t, next(t, &u, "late", &downloads[maxUploads], current, now).Busy, qt.IsTrue)
	qt.Check(t, next(t, &u, "a", &downloads[0], current, now).Busy, qt.IsFalse)
	next(t, &u, "a", &downloads[0], current, now) // the last part
	qt.Check(t, downloads[0].complete(), qt.IsTrue)
	qt.Check(t, next(t, &u, "late", &downloads[maxUploads], current, now).Busy, qt.IsFalse)
	another := download{}
	qt.Check(t, next(t, &u, "another", &another, current, now).Busy, qt.IsTrue)
	qt.Check(t, next(t, &u, "another", &another, current, now.Add(uploadIdleTimeout)).Busy, qt.IsFalse)
}

// A snapshot of one chunk needs no upload of its own: the registry changes often.
func TestSmallSnapshotIsServedBesideOtherUploads(t *testing.T) {
	var u uploads
	large, now := snapshotOf(1, 3), time.Unix(0, 0)
	for i := range maxUploads {
		next(t, &u, topology.HostID(rune('a'+i)), &download{}, large, now)
	}
	var d download
	next(t, &u, "z", &d, snapshotOf(2, 1), now)
	qt.Check(t, d.complete(), qt.IsTrue)
}

// A download goes on at another host that has the same bytes, and begins again at one
// that has others.
func TestDownloadContinuesAtAnotherHost(t *testing.T) {
	var first, second, third uploads
	var d download
	now := time.Unix(0, 0)
	next(t, &first, "z", &d, snapshotOf(1, 4), now)
	next(t, &second, "z", &d, snapshotOf(1, 4), now)
	qt.Check(t, bytes.Equal(d.data, snapshotOf(1, 4).data[:2*chunkBytes]), qt.IsTrue)
	next(t, &third, "z", &d, snapshotOf(2, 4), now)
	qt.Check(t, d.data, qt.HasLen, chunkBytes)
	qt.Check(t, d.sum, qt.Equals, uint64(2))
}

func TestWrongPartsAreRefused(t *testing.T) {
	for _, r := range []FetchReply{
		{Sum: 1, Size: 0, Data: []byte("x")},
		{Sum: 1, Size: -1, Data: []byte("x")},
		{Sum: 1, Size: maxSnapshotBytes + 1, Data: []byte("x")},
		{Sum: 1, Size: 10},
		{Sum: 1, Size: 1, Data: []byte("xy")},
	} {
		var d download
		qt.Check(t, d.add(&r), qt.IsNotNil, qt.Commentf("%+v", r))
	}
	d := download{sum: 1, size: 10, data: []byte("x")}
	qt.Check(t, d.add(&FetchReply{Sum: 1, Size: 11, Data: []byte("y")}), qt.IsNotNil)
	d = download{sum: 1, size: 1, data: []byte("x")}
	_, err := d.encoded()
	qt.Check(t, err, qt.ErrorMatches, "checksum of the snapshot is wrong")
}

// corruptingNetwork changes the data of fetched snapshots.
type corruptingNetwork struct {
	*fakeNetwork
	corrupt bool
}

func (n *corruptingNetwork) Call(ctx context.Context, id topology.HostID, method string, args, reply any) error {
	err := n.fakeNetwork.Call(ctx, id, method, args, reply)
	if r, ok := reply.(*FetchReply); ok && err == nil && n.corrupt {
		r.Data = append([]byte("x"), r.Data[1:]...)
	}
	return err
}

// A damaged snapshot isn't applied, and the host fetches it again.
func TestDamagedSnapshotIsNotApplied(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	a, b := n.hosts["a"], n.hosts["b"]
	c := &corruptingNetwork{fakeNetwork: n, corrupt: true}
	b.opts.Caller = c
	a.opts.Catalog.OfferConfiguration(largeConfiguration(7, 10))
	a.exchange(context.Background(), "b")
	f := b.fetchers[ConfigurationSnapshot]
	qt.Check(t, b.fetchNewest(context.Background(), f), qt.Equals, fetchFailed)
	qt.Check(t, b.opts.Catalog.Configuration(), qt.IsNil)
	c.corrupt = false
	qt.Check(t, b.fetchNewest(context.Background(), f), qt.Equals, fetchDone)
	qt.Check(t, b.opts.Catalog.Configuration(), qt.DeepEquals, a.opts.Catalog.Configuration())
}

// A received snapshot is passed on as it was received, from the moment at which other hosts
// may ask for it: encoding it takes a small host half a second, in which downloads wait.
func TestReceivedSnapshotIsNotEncodedAgain(t *testing.T) {
	g := newFakeNetwork("north").hosts["a"]
	c := largeConfiguration(7, 10)
	received, err := encodeSnapshot(c)
	qt.Assert(t, err, qt.IsNil)
	before := snapshotsEncoded.Get()
	check := func() {
		e, _, err := g.snapshots[ConfigurationSnapshot].get(g.opts.Catalog.Configuration())
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, e, qt.Equals, received)
	}
	g.offerEncoded(ConfigurationSnapshot, received, c, func() {
		g.offerConfiguration(c, "b")
		check()
	})
	check()
	qt.Check(t, snapshotsEncoded.Get(), qt.Equals, before)
}

// A host that reads a configuration from the store while it downloads it has encoded it for
// others, and doesn't do so again after the download.
func TestReceivedSnapshotOfAKnownVersionReplacesNoEncoding(t *testing.T) {
	g := newFakeNetwork("north").hosts["a"]
	known := largeConfiguration(7, 10)
	g.opts.Catalog.OfferConfiguration(known)
	cache := g.snapshots[ConfigurationSnapshot]
	first, _, err := cache.get(known)
	qt.Assert(t, err, qt.IsNil)
	received, err := encodeSnapshot(largeConfiguration(7, 10))
	qt.Assert(t, err, qt.IsNil)
	_, err = g.offerReceived(ConfigurationSnapshot, received, "b")
	qt.Assert(t, err, qt.IsNil)
	second, _, err := cache.get(known)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, second, qt.Equals, first)
	qt.Check(t, cache.received, qt.IsNil, qt.Commentf("holds a configuration that isn't in force in memory"))
}

// During a rolling upgrade, hosts of an earlier version still get snapshots with an
// exchange, and pass them on with one.
func TestHostsThatDontFetchGetSnapshotsWithAnExchange(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	a, b := n.hosts["a"], n.hosts["b"]
	a.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 9})
	earlier := Digest{From: b.self}
	var reply DigestReply
	qt.Assert(t, a.Service().Exchange(&earlier, &reply), qt.IsNil)
	qt.Check(t, reply.NewConfiguration.Version, qt.Equals, uint64(9))
	b.recordSender(&Digest{From: a.self, Configuration: 9})
	qt.Check(t, b.pickSource(ConfigurationSnapshot, nil).behind, qt.IsFalse, qt.Commentf("a host that doesn't fetch can't be fetched from"))
}

// Hosts that read the store by themselves must send the same bytes, or a download that
// continues at another host begins again.
func TestEncodingIsTheSameOnAllHosts(t *testing.T) {
	registry := func() *catalog.Registry {
		r := &catalog.Registry{Era: 1, Revision: 5, Members: map[topology.TargetID]catalog.Member{}}
		for i := range 50 {
			id := topology.TargetID(fmt.Sprintf("t%d", i))
			r.Members[id] = catalog.Member{Target: topology.Target{ID: id, Addr: fmt.Sprintf("10.0.0.%d:1", i)}, Primary: i == 0, WorkSlots: 2}
		}
		return r
	}
	for _, pair := range [][2]any{{largeConfiguration(7, 100), largeConfiguration(7, 100)}, {registry(), registry()}} {
		first, err := encodeSnapshot(pair[0])
		qt.Assert(t, err, qt.IsNil)
		second, err := encodeSnapshot(pair[1])
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, second.sum, qt.Equals, first.sum)
	}
}

// childEnv makes a process of the test binary print the checksum of a snapshot that it
// encodes after other types.
const childEnv = "GOSSIP_TEST_ENCODE"

// What else a process encoded before must not change the bytes of its snapshots.
func TestEncodingIsTheSameInAllProcesses(t *testing.T) {
	if os.Getenv(childEnv) != "" {
		qt.Assert(t, gob.NewEncoder(io.Discard).Encode(Digest{}), qt.IsNil)
		e, err := encodeSnapshot(largeConfiguration(7, 10))
		qt.Assert(t, err, qt.IsNil)
		fmt.Printf("sum=%d\n", e.sum)
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^TestEncodingIsTheSameInAllProcesses$")
	child.Env = append(os.Environ(), childEnv+"=1")
	out, err := child.Output()
	qt.Assert(t, err, qt.IsNil)
	e, err := encodeSnapshot(largeConfiguration(7, 10))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(out), qt.Contains, fmt.Sprintf("sum=%d\n", e.sum))
}

// Guards against a field that was added to a snapshot but not to its encoding.
func TestSnapshotsSurviveEncoding(t *testing.T) {
	configuration := largeConfiguration(7, 10)
	configuration.TransactionIdle, configuration.CustomersKnown = time.Second, true
	configuration.Groups["group-1"] = catalog.Group{ID: "group-1", MaxConnections: 16, AckReplicas: 1}
	configuration.SetCustomers([]catalog.Customer{{ID: "customer-1", Keys: []string{"a", "b"}, Rate: 10, Burst: 5, Priority: 1}})
	checkAllFieldsSet(t, reflect.ValueOf(configuration.Customers["customer-1"]))
	registry := &catalog.Registry{Era: 2, Revision: 5, Members: map[topology.TargetID]catalog.Member{
		"t": {Target: topology.Target{ID: "t", Group: "g", Domain: "north", Addr: "a:1", Connections: 3, Slots: 2, Leaving: true}, Primary: true, WorkSlots: 4},
	}}
	checkAllFieldsSet(t, reflect.ValueOf(*configuration))
	checkAllFieldsSet(t, reflect.ValueOf(*registry))
	encoded, err := encodeSnapshot(configuration)
	qt.Assert(t, err, qt.IsNil)
	var configurationDecoded configurationData
	qt.Assert(t, decodeSnapshot(encoded.data, &configurationDecoded), qt.IsNil)
	qt.Check(t, configurationDecoded.configuration(), qt.DeepEquals, configuration)
	encoded, err = encodeSnapshot(registry)
	qt.Assert(t, err, qt.IsNil)
	var registryDecoded registryData
	qt.Assert(t, decodeSnapshot(encoded.data, &registryDecoded), qt.IsNil)
	qt.Check(t, registryDecoded.registry(), qt.DeepEquals, registry)
}

// checkAllFieldsSet checks that no field of the struct has its zero value.
func checkAllFieldsSet(t *testing.T, s reflect.Value) {
	for i := range s.NumField() {
		qt.Check(t, s.Field(i).IsZero(), qt.IsFalse, qt.Commentf("field %s", s.Type().Field(i).Name))
	}
}

func FuzzDecodeSnapshot(f *testing.F) {
	e, err := encodeSnapshot(largeConfiguration(1, 3))
	qt.Assert(f, err, qt.IsNil)
	f.Add(e.data)
	f.Add(e.data[:len(e.data)/2])
	f.Add([]byte{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = decodeSnapshot(data, &configurationData{})
		_ = decodeSnapshot(data, &registryData{})
	})
}
