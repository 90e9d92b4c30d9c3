package fleetcost

import (
	"fmt"
	"os"
	"runtime/pprof"
	"syscall"
	"testing"
	"time"
)

const (
	settleTimeout = 2 * time.Minute
	measuredTime  = 10 * time.Second
)

// BenchmarkControl measures what the control parts of a host cost while nothing happens, at
// sizes of the users' platform. Run it with -benchtime 1x: one run measures ten seconds.
func BenchmarkControl(b *testing.B) {
	for _, s := range []Shape{
		{Hosts: 8, Domains: 3, Groups: 3, MaxConnections: 32},
		{Hosts: 139, Domains: 4, Groups: 8, MaxConnections: 73},
		{Hosts: 70, Domains: 3, Groups: 100, MaxConnections: 56},
	} {
		b.Run(fmt.Sprintf("%d hosts, %d groups", s.Hosts, s.Groups), func(b *testing.B) {
			for range b.N {
				measure(b, s)
			}
		})
	}
}

func measure(b *testing.B, s Shape) {
	f := Start(s)
	defer f.Stop()
	for deadline := time.Now().Add(settleTimeout); !f.Settled(); time.Sleep(200 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("hosts don't know each other")
		}
	}
	time.Sleep(3 * time.Second)
	if name := os.Getenv("FLEETCOST_PROFILE"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			b.Fatal(err)
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			b.Fatal(err)
		}
		defer pprof.StopCPUProfile()
	}
	cpu, counts, began := processorTime(), f.Counts(), time.Now()
	time.Sleep(measuredTime)
	took := time.Since(began).Seconds()
	perHost := func(n int64) float64 { return float64(n) / took / float64(s.Hosts) }
	after := f.Counts()
	b.ReportMetric((processorTime()-cpu).Seconds()/took/float64(s.Hosts)*100, "%core/host")
	b.ReportMetric(perHost(after.Bytes-counts.Bytes)/1000, "KB/s/host")
	b.ReportMetric(perHost(after.Messages-counts.Messages), "messages/s/host")
	b.ReportMetric(perHost(after.Exchanges-counts.Exchanges), "exchanges/s/host")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
