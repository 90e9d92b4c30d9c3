package gossip

import (
	"syscall"
	"testing"
	"time"
)

func cpuNow() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func TestTrialCosts(t *testing.T) {
	for _, n := range []int{5000, 20000} {
		s, c := time.Now(), cpuNow()
		lap := func(what string) {
			t.Logf("%d %s: wall %v cpu %v", n, what, time.Since(s), cpuNow()-c)
			s, c = time.Now(), cpuNow()
		}
		cfg := largeConfiguration(2, n)
		lap("build")
		d := newConfigurationData(cfg)
		lap("sort")
		_ = d
		e, err := encodeSnapshot(cfg)
		if err != nil {
			t.Fatal(err)
		}
		lap("encode (with sort)")
		var data configurationData
		if err := decodeSnapshot(e.data, &data); err != nil {
			t.Fatal(err)
		}
		lap("decode")
		_ = data.configuration()
		lap("maps")
		t.Logf("%d bytes", len(e.data))
	}
}
