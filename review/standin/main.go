// Command standin plays the cases of the review that can't be put as a day of the bench. It
// starts the product's own processes as the deploy file says, on loopback addresses, with
// small stand-ins for the store, the promotion call, the backends and the clients.
//
// Its exit code is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// world is what a case plays in.
type world struct {
	rec     *record
	store   *store
	cluster *cluster
	hosts   []*host
	trouble bool
}

// cases are the cases by the name of their folder.
var cases = map[string]func(*world) (broken int, err error){
	"sigterm-busy-session":  sigtermBusySession,
	"promoted-unregistered": promotedUnregistered,
	"memory-limit":          memoryLimit,
	"smuggled-line":         smuggledLine,
	"failed-set":            failedSet,
	"foreign-entry":         foreignEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) (code int) {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.note("case %s, disruption: %t", name, w.trouble)
	defer os.RemoveAll(dir)
	defer w.end()
	if err := w.start(dir, name == "promoted-unregistered"); err != nil {
		rec.note("the case could not run: %s", err)
		return 2
	}
	broken, err := cases[name](w)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range w.hosts {
			if text, err := os.ReadFile(h.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(h.logPath)), text, 0o600)
			}
		}
	}
	switch {
	case err != nil:
		rec.note("the case could not run: %s", err)
		return 2
	case broken > 0:
		rec.note("result: BROKEN %d times", broken)
		return 1
	}
	rec.note("result: held")
	return 0
}

// start starts everything and waits until each host serves.
func (w *world) start(dir string, tenants bool) (err error) {
	if w.store, err = newStore(); err != nil {
		return err
	}
	t := timing{replication: 3 * time.Millisecond, promote: 600 * time.Millisecond, handshake: 12 * time.Millisecond,
		read: 9 * time.Millisecond, write: 3 * time.Millisecond, heartbeat: 1200 * time.Millisecond}
	w.store.put("config", "main", configuration(tenants))
	// The first backend leads. The ids sort so that of two replicas with the same log the
	// second one is promoted.
	w.cluster, err = newCluster("dele69a", []string{"i-9e16b79e8c", "i-2840f93bc3", "i-7e2e9145ae"}, zones, w.store, w.rec, t)
	if err != nil {
		return err
	}
	extra := ""
	if tenants {
		extra = "StrictRevocation = false\nRevokeTimeoutMs = 5000\nQuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaSlack = 20\n"
	}
	if w.hosts, err = startHosts(dir, extra, w.store, w.cluster, w.rec); err != nil {
		return err
	}
	for _, h := range w.hosts {
		if !await(30*time.Second, h.isReady) {
			return fmt.Errorf("host %s does not become ready", h.name)
		}
	}
	return nil
}

func configuration(tenants bool) map[string]any {
	route := func(database, kind string, goal, timeout, staleness, priority int) map[string]any {
		return map[string]any{"Name": "r-" + database, "DatabaseName": database, "PathPrefix": "/", "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": goal,
			"Priority": priority, "Service": "dele69a", "MaxAttempts": 2, "MaxStalenessMs": staleness}
	}
	c := map[string]any{
		"Version": 7,
		"Routes": []any{
			route("fiti832", "read_your_writes", 200, 800, 2500, 2),
			route("lepu270", "primary", 100, 800, 0, 1),
		},
		"Services": []any{map[string]any{"Name": "dele69a", "HealthPath": "/health", "MaxConnections": 16, "Protocol": "h1", "Tls": false, "SyncReplicas": 1}},
		"Limits":   map[string]any{"TransactionIdleMs": 3000},
	}
	if tenants {
		var list []any
		for i := range 3 {
			list = append(list, map[string]any{"Name": fmt.Sprintf("t%d", i+1), "ApiKeys": []string{fmt.Sprintf("key%d", i+1)}, "Priority": 1, "RatePerS": 400, "Burst": 100})
		}
		c["Tenants"] = list
	}
	return c
}

// end ends all processes.
func (w *world) end() {
	for _, h := range w.hosts {
		h.stop(syscall.SIGKILL)
	}
	await(2*time.Second, func() bool {
		for _, h := range w.hosts {
			if !h.hasEnded() {
				return false
			}
		}
		return true
	})
}
