package line

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowPromotion is a delay of promotions in which callers hear of many commits.
const slowPromotion = time.Second

// startUnknownReplica starts a replica that never registers, and waits until it has received
// the primary's log.
func (b *Bed) startUnknownReplica() *Member {
	m := b.startTarget(len(b.Members))
	b.connectTargets()
	b.Eventually("the unknown replica has received the log", func() bool {
		return m.Server.Status().Received == b.Members[0].Server.Status().Received
	})
	return m
}

// cutFromHost closes all connections of the host to the relay's target, open and new ones,
// until the returned function is called. Other hosts keep theirs.
func (r *relay) cutFromHost(t *testing.T, h *Host) (heal func()) {
	pid := h.Cmd.Process.Pid
	heal = func() { r.setFilter(nil) }
	t.Cleanup(heal)
	r.setFilter(func(c net.Conn) bool { return !localPorts(t, pid)[c.RemoteAddr().(*net.TCPAddr).Port] })
	return heal
}

// localPorts returns the local TCP ports of a process's sockets.
func localPorts(t *testing.T, pid int) map[int]bool {
	dir := fmt.Sprintf("/proc/%d/", pid)
	sockets := map[string]bool{} // by inode
	entries, err := os.ReadDir(dir + "fd")
	if err != nil {
		t.Errorf("list sockets: %v", err)
	}
	for _, e := range entries {
		name, _ := os.Readlink(dir + "fd/" + e.Name()) // it may be closed by now
		if inode, ok := strings.CutPrefix(name, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, err := os.Open(dir + "net/tcp")
	if err != nil {
		t.Errorf("list connections: %v", err)
		return nil
	}
	defer table.Close()
	ports := map[int]bool{}
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text()) // number, local address, ..., inode
		if len(fields) < 10 || !sockets[fields[9]] {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if n, err := strconv.ParseUint(port, 16, 16); err == nil {
			ports[int(n)] = true
		}
	}
	return ports
}

// checkUnknownReplica lets callers write through all hosts while the primary, with a replica
// that no host has heard of, is replaced, and checks that the new one has what they heard of.
func checkUnknownReplica(t *testing.T, replace func(b *Bed) (end func())) {
	t.Helper()
	b := newSettledBed(t, Options{Relays: true})
	b.mu.Lock()
	b.promotionDelay = slowPromotion
	b.mu.Unlock()
	unknown := b.startUnknownReplica()
	w, stop := &writer{}, &atomic.Bool{}
	var wg sync.WaitGroup
	for i := range b.Hosts {
		wg.Go(func() { w.run(b, i, stop) })
	}
	b.Eventually("writes are acknowledged", func() bool { return w.count() > 100 })
	end := replace(b)
	b.Eventually("another target is promoted", func() bool { return len(b.Promotions()) > 0 })
	requested := w.count()
	for _, known := range b.Members[1:3] { // from now on, only the unknown replica receives
		known.Server.SetLag(receivesNothing, 0)
	}
	b.Eventually("the promotion has taken effect", b.PrimaryReplaced)
	replaced := w.count()
	for _, known := range b.Members[1:3] {
		known.Server.SetLag(0, 0)
	}
	end()
	b.Eventually("writes succeed again", func() bool { return w.count() > replaced+100 })
	stop.Store(true)
	wg.Wait()
	t.Logf("%d writes acknowledged until the request, %d until its effect, %d in all; promoted %v", requested, replaced, w.count(), b.Promotions())
	qt.Check(t, b.Promotions()[0], qt.Not(qt.Equals), string(unknown.ID))
	w.checkAckedWrites(t, b)
	checkNoRepeatedWrites(t, b)
}

// The holder doesn't reach the primary; other hosts do, and go on writing.
func TestLineCommitAcknowledgedByUnknownReplicaSurvivesPromotion(t *testing.T) {
	checkUnknownReplica(t, func(b *Bed) func() {
		return b.Members[0].relay.cutFromHost(t, b.Hosts[b.holder()])
	})
}

// The primary leaves, with everyone in contact.
func TestLineCommitAcknowledgedByUnknownReplicaSurvivesPlannedChange(t *testing.T) {
	checkUnknownReplica(t, func(b *Bed) func() {
		b.Register(b.Members[0], "draining")
		return func() {}
	})
}
