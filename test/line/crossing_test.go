package line

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Reads that the target of a host's own failure domain can serve stay there if bytes
// between domains have a price.
func TestLineReadsStayInTheirDomain(t *testing.T) {
	b := NewBedWith(t, Options{SpreadTargets: true, HostArgs: []string{"--cross-domain-byte-price", "1e6", "--cross-domain-delay-price", "1"}})
	const reads = 300
	for host := range b.Hosts {
		c := b.Dial(host, "db")
		for i := range reads / len(b.Hosts) {
			qt.Assert(t, c.Exec(fmt.Sprintf("r%d-%d READ item", host, i)), qt.Equals, "COMPLETE")
		}
	}
	crossed := b.metric(`nettlewalk_cross_domain_statements_total{kind="read"}`)
	t.Logf("%v of %d reads crossed domains; %v bytes", crossed, reads, b.metric(`nettlewalk_cross_domain_bytes_total{kind="read"}`))
	qt.Check(t, crossed <= reads/20, qt.IsTrue)
	// A write has to cross to the leader's domain, by this host or by another one.
	toLeader := func(metric string) float64 {
		return b.metric(metric+`{kind="leader"}`) + b.metric(metric+`{kind="leader_forward"}`)
	}
	statements, bytes := toLeader(`nettlewalk_cross_domain_statements_total`), toLeader(`nettlewalk_cross_domain_bytes_total`)
	value := strings.Repeat("v", 200)
	qt.Assert(t, b.Dial(1, "db").Exec("w WRITE item "+value), qt.Equals, "COMPLETE")
	qt.Check(t, toLeader(`nettlewalk_cross_domain_statements_total`) > statements, qt.IsTrue)
	qt.Check(t, toLeader(`nettlewalk_cross_domain_bytes_total`) > bytes+float64(len(value)), qt.IsTrue)
}

// A host must not start with a price that can't be compared.
func TestLineInvalidPriceIsRefused(t *testing.T) {
	b := NewBedWith(t, Options{})
	h := b.Hosts[0]
	qt.Assert(t, h.Cmd.Process.Kill(), qt.IsNil)
	<-h.Done
	b.opts.HostArgs = []string{"--cross-domain-byte-price=-1"}
	b.Start(h)
	qt.Check(t, <-h.Done, qt.ErrorMatches, "exit status 2")
}
