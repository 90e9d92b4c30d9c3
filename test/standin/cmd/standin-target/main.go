// Command standin-target runs one target stand-in until it is interrupted.
// When the target is ready, the command prints one line of JSON with its
// addresses.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/standin/target"
)

// ready is printed as JSON once the command accepts connections.
type ready struct {
	Listen  string `json:"listen"`
	Peer    string `json:"peer_listen"`
	Control string `json:"control,omitempty"`
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin-target:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, control, err := parseFlags()
	if err != nil {
		return err
	}
	server, err := target.Start(cfg)
	if err != nil {
		return err
	}
	defer server.Close()
	r := ready{Listen: server.Addr(), Peer: server.PeerAddr()}
	if control != "" {
		listener, err := net.Listen("tcp", control)
		if err != nil {
			return err
		}
		r.Control = listener.Addr().String()
		go func() { _ = http.Serve(listener, server.Handler()) }()
	}
	if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	return nil
}

func parseFlags() (target.Config, string, error) {
	var cfg target.Config
	id := flag.String("id", "", "target id")
	flag.StringVar(&cfg.Listen, "listen", "", "address for the PostgreSQL protocol")
	flag.StringVar(&cfg.PeerListen, "peer-listen", "", "address for replication")
	peers := flag.String("peers", "", "replication addresses of the other targets: id=addr,...")
	flag.IntVar(&cfg.MaxConnections, "connections", 0, "connection limit")
	flag.DurationVar(&cfg.ConnectDelay, "connect-cost", 0, "delay of each new connection")
	flag.DurationVar(&cfg.ReceiveLag, "lag", 0, "minimum age of an entry when a replica receives it")
	flag.DurationVar(&cfg.ApplyLag, "apply-lag", 0, "delay until received entries are applied")
	primary := flag.String("primary", "", "primary at the first start")
	flag.Uint64Var(&cfg.Term, "term", 1, "term at the first start")
	flag.StringVar(&cfg.Dir, "dir", "", "directory of the log and the database")
	seed := flag.String("seed-sql", "", "SQL file executed before the log is replayed")
	control := flag.String("control", "", "address of the HTTP control interface for tests")
	flag.Parse()
	cfg.ID, cfg.Primary = topology.TargetID(*id), topology.TargetID(*primary)
	cfg.Peers = map[topology.TargetID]string{}
	for _, pair := range strings.Split(*peers, ",") {
		if pair == "" {
			continue
		}
		name, addr, ok := strings.Cut(pair, "=")
		if !ok {
			return cfg, "", fmt.Errorf("-peers %q: expected id=addr", pair)
		}
		cfg.Peers[topology.TargetID(name)] = addr
	}
	if *seed != "" {
		sql, err := os.ReadFile(*seed)
		if err != nil {
			return cfg, "", err
		}
		cfg.SeedSQL = string(sql)
	}
	return cfg, *control, nil
}
