package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// chunkBytes is how much of a snapshot one call returns. Exchanges queue behind a
	// chunk on a full link, and must not take longer than exchangeTimeout for that.
	chunkBytes = 32 << 10
	// maxUploads is how many hosts may fetch snapshots of more than one chunk from a
	// host at the same time, for each kind. The last chunk is never refused.
	maxUploads = 2
	// uploadIdleTimeout is the time without a call after which an upload no longer
	// counts: the caller has given up.
	uploadIdleTimeout = chunkTimeout + time.Second
)

// FetchArgs asks for a part of the receiving host's snapshot of a kind.
type FetchArgs struct {
	From topology.HostID
	Kind SnapshotKind
	// Sum and Offset continue a download of the snapshot with that checksum. A Sum of 0
	// begins a download.
	Sum    uint64
	Offset int
}

// FetchReply returns a part of a snapshot. Data begins at the requested offset if Sum is
// the requested one, and at the beginning of another snapshot otherwise.
type FetchReply struct {
	Busy bool // the host serves enough other downloads; nothing else is set
	Sum  uint64
	Size int // of the whole snapshot
	Data []byte
	// Prepared is how long the host took to encode the snapshot before it answered; 0 from
	// hosts of earlier versions.
	Prepared time.Duration
}

// download is a snapshot that is being received. The zero value has received nothing.
type download struct {
	sum  uint64
	size int
	data []byte
}

// add appends the data of a reply. A reply from another snapshot starts the download
// again.
func (d *download) add(r *FetchReply) error {
	if r.Sum != d.sum {
		*d = download{sum: r.Sum, size: r.Size}
	}
	switch {
	case r.Size <= 0 || r.Size > maxSnapshotBytes:
		return errors.Newf("snapshot of %d bytes", r.Size)
	case r.Size != d.size || len(r.Data) == 0 || len(d.data)+len(r.Data) > d.size:
		return errors.Newf("part of %d bytes at offset %d of %d", len(r.Data), len(d.data), d.size)
	}
	d.data = append(d.data, r.Data...)
	return nil
}

func (d *download) complete() bool { return d.size > 0 && len(d.data) == d.size }

// encoded returns the complete snapshot, or an error if its checksum is wrong.
func (d *download) encoded() (*encodedSnapshot, error) {
	if xxhash.Sum64(d.data) != d.sum {
		return nil, errors.New("checksum of the snapshot is wrong")
	}
	return &encodedSnapshot{data: d.data, sum: d.sum}, nil
}

// upload is a snapshot that another host is fetching.
type upload struct {
	snapshot *encodedSnapshot
	lastCall time.Time
}

// uploads are the downloads that a host serves for one kind. They limit the load on its
// link, and keep a snapshot that was replaced until its downloads have ended: a host
// that needs longer for one than the time between two versions still completes it.
type uploads struct {
	byHost map[topology.HostID]*upload
}

// serve returns the part of a snapshot that args asks for. current is the present
// snapshot.
func (u *uploads) serve(args *FetchArgs, current *encodedSnapshot, now time.Time) FetchReply {
	u.expire(now)
	snapshot, offset := current, 0
	if own := u.byHost[args.From]; own != nil && own.snapshot.sum == args.Sum {
		snapshot = own.snapshot
	}
	if args.Sum == snapshot.sum && args.Offset > 0 && args.Offset < len(snapshot.data) {
		offset = args.Offset
	}
	end := min(offset+chunkBytes, len(snapshot.data))
	if !u.track(args.From, snapshot, end == len(snapshot.data), now) {
		return FetchReply{Busy: true}
	}
	return FetchReply{Sum: snapshot.sum, Size: len(snapshot.data), Data: snapshot.data[offset:end]}
}

// track records a call. It returns false if the host may not begin another upload.
func (u *uploads) track(id topology.HostID, snapshot *encodedSnapshot, last bool, now time.Time) bool {
	if last {
		delete(u.byHost, id)
		return true
	}
	if u.byHost[id] == nil && len(u.byHost) >= maxUploads {
		return false
	}
	if u.byHost == nil {
		u.byHost = map[topology.HostID]*upload{}
	}
	u.byHost[id] = &upload{snapshot: snapshot, lastCall: now}
	return true
}

func (u *uploads) expire(now time.Time) {
	for id, up := range u.byHost {
		if now.Sub(up.lastCall) >= uploadIdleTimeout {
			delete(u.byHost, id)
		}
	}
}
