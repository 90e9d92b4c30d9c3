// Command standin-2 runs the cases of the second review: it starts the project's program as
// host processes on loopback addresses, before stand-ins of the platform, of the servers and
// of the clients, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sort"
	"time"
)

// bed is what a case runs on.
type bed struct {
	*platform
	hosts   []*host
	trouble bool
	dir     string
}

// cases by name. A case returns an error if it couldn't run.
var cases = map[string]func(*bed) error{}

var errTooFew = errors.New("the system did not serve before the disruption")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: standin-2 CASE FOLDER; cases:", names)
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer b.endHosts()
	rec.say("case %s, trouble %v", name, b.trouble)
	for range mostStarts {
		if b.platform, err = newPlatform(rec, freePrefix()); err != nil {
			break
		}
		if err = cases[name](b); !errors.Is(err, errStartAgain) {
			break
		}
		rec.say("the system is started again: %v", err)
		b.endHosts()
	}
	if err != nil {
		rec.say("the case could not run: %v", err)
		return 2
	}
	time.Sleep(50 * time.Millisecond)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.wrong) > 0 {
		fmt.Println("the rule was broken:", len(rec.wrong), "findings")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// mostStarts is how often a case is begun that needs another start.
const mostStarts = 8

// errStartAgain is the error of a case that has to be begun again, before any disruption.
var errStartAgain = errors.New("the duty is held elsewhere")

// endHosts ends all processes.
func (b *bed) endHosts() {
	for _, h := range b.hosts {
		if h.cmd != nil {
			h.expect = true
			_ = h.cmd.Process.Kill()
			<-h.done
			os.Remove(h.path("log"))
		}
	}
	b.hosts = nil
}

// freePrefix returns loopback addresses that nobody listens at.
func freePrefix() func(int) string {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		if l, err := net.Listen("tcp", prefix+".1:8782"); err == nil {
			l.Close()
			return func(n int) string { return fmt.Sprintf("%s.%d", prefix, n) }
		}
	}
}

// configure writes the operator's configuration with routes of all kinds for each service.
// The databases of a service are named after it: NAME-primary, NAME-bounded, NAME-own.
func (b *bed) configure(version int) {
	var routes, services []map[string]any
	for _, svc := range b.services {
		for _, r := range []struct {
			kind, suffix      string
			timeout, age, aim int
		}{{"primary", "primary", 800, 0, 100}, {"bounded_staleness", "bounded", 1200, 1500, 300}, {"read_your_writes", "own", 800, 2500, 200}} {
			routes = append(routes, map[string]any{"Name": svc.name + r.suffix, "DatabaseName": svc.name + "-" + r.suffix, "PathPrefix": "/", "Kind": r.kind, "TimeoutMs": r.timeout,
				"TargetLatencyMs": r.aim, "Priority": 1, "Service": svc.name, "MaxAttempts": 2, "MaxStalenessMs": r.age})
		}
		services = append(services, map[string]any{"Name": svc.name, "HealthPath": "/health", "MaxConnections": 16, "Protocol": "h1", "Tls": false, "SyncReplicas": 1})
	}
	b.store.put("config", "main", map[string]any{"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{"TransactionIdleMs": 3000}})
}

// begin starts the servers and hosts and waits until writes are served everywhere.
func (b *bed) begin(services int, zones []string) error {
	z := []string{"zone-a", "zone-b", "zone-c"}
	for i := range services {
		b.addService(fmt.Sprintf("svc%d", i+1), z, 100+10*i, 60*time.Millisecond)
	}
	b.configure(7)
	program, err := filepath.Abs("target/nettlewalk")
	if err != nil {
		return err
	}
	if b.hosts, err = b.addHosts(program, b.dir, zones); err != nil {
		return err
	}
	return b.await(20 * time.Second)
}

// await waits until every host that runs serves a write for each service.
func (b *bed) await(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range b.hosts {
		for _, svc := range b.services {
			for !b.writes(h, svc) {
				if time.Now().After(deadline) {
					return fmt.Errorf("%s serves no writes of %s", h.name, svc.name)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	b.rec.say("all hosts serve")
	return nil
}

func (b *bed) writes(h *host, svc *service) bool {
	c := b.dial(h, svc.name+"-primary")
	if c == nil {
		return false
	}
	defer c.close()
	id := newID()
	if !c.query(id, "WRITE warm "+id).ok {
		return false
	}
	c.acked(id)
	return true
}
