package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Host is one process of the product.
type Host struct {
	*Process
	*Node
	ID        topology.HostID
	callerURL string // address for callers, behind the callers' link
	bed       *Bed
}

func (b *Bed) startHosts(ctx context.Context) error {
	for i, domain := range b.Plan.Domains {
		for n := range b.Plan.HostsPerDomain {
			name := fmt.Sprintf("h%d%c", i+1, 'a'+n)
			b.Hosts = append(b.Hosts, &Host{Node: b.node(name, KindHost, domain), ID: topology.HostID(name), bed: b})
		}
	}
	for _, h := range b.Hosts {
		if err := b.listHost(ctx, h, topology.HostLive); err != nil {
			return err
		}
	}
	for _, h := range b.Hosts {
		if err := b.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startHost(h *Host) error {
	addr, err := b.Network.join(b.caller, h.Node, h.addr(callerPort))
	if err != nil {
		return err
	}
	h.callerURL = addr
	path := filepath.Join(b.dir, h.Name+".ini")
	content, err := b.hostSettings(h)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		return err
	}
	h.Process, err = b.start(b.programs.Host, h.Name, "serve", "-c", path)
	return err
}

// hostSettings returns the host's settings file: everything it dials goes
// through a link of its own.
func (b *Bed) hostSettings(h *Host) (string, error) {
	platform, err := b.Network.join(h.Node, b.Platform.Node, b.Platform.addr(platformPort))
	if err != nil {
		return "", err
	}
	var mapped strings.Builder
	var seeds []string
	join := func(to *Node, port int) (string, error) {
		addr, err := b.Network.join(h.Node, to, to.addr(port))
		if err == nil {
			fmt.Fprintf(&mapped, "%s = %s\n", to.addr(port), addr)
		}
		return addr, err
	}
	for _, group := range b.Plan.Groups {
		for _, id := range b.Plan.TargetIDs(group) {
			if _, err := join(b.Targets[id].Node, targetPort); err != nil {
				return "", err
			}
		}
	}
	for _, other := range b.Hosts {
		if other == h {
			continue
		}
		if _, err := join(other.Node, peerPort); err != nil {
			return "", err
		}
		seeds = append(seeds, other.addr(peerPort))
	}
	return fmt.Sprintf(hostSettings, h.ID, h.Domain, h.addr(callerPort), h.addr(peerPort), h.addr(adminPort),
		platform, PeerKey, strings.Join(seeds, ", "), TokenKey, OperatorToken, mapped.String()), nil
}

const hostSettings = `[host]
id = %s
domain = %s
caller_listen = %s
peer_listen = %s
admin_listen = %s

[platform]
address = %s
calls_per_second = 20

[peers]
key = %s
seeds = %s

[callers]
allow_trust = true
token_key = %s

[operators]
root = %s

[log]
level = 1

[addresses]
%s`

// listHost tells the platform's host list what became of a host.
func (b *Bed) listHost(ctx context.Context, h *Host, state topology.HostState) error {
	return b.Platform.Put(ctx, "host", h.Name, topology.Host{
		ID:         h.ID,
		Domain:     h.Domain,
		PeerAddr:   h.addr(peerPort),
		CallerAddr: h.addr(callerPort),
		AdminAddr:  h.addr(adminPort),
		State:      state,
	})
}

// MarkLeaving lists the host as leaving, as the platform does before a planned stop.
func (h *Host) MarkLeaving(ctx context.Context) error {
	return h.bed.listHost(ctx, h, topology.HostLeaving)
}

// MarkGone takes the host off the platform's list.
func (h *Host) MarkGone(ctx context.Context) error {
	return h.bed.Platform.Delete(ctx, "host", h.Name)
}

// Restart starts a host that has ended and lists it again.
func (h *Host) Restart(ctx context.Context) error {
	if err := h.bed.listHost(ctx, h, topology.HostLive); err != nil {
		return err
	}
	return h.Start()
}

// WaitReady waits until the host's health answer is good.
func (h *Host) WaitReady(ctx context.Context) error {
	return Until(ctx, h.Name+" is ready", func() bool {
		return httpJSON(ctx, http.MethodGet, "http://"+h.addr(adminPort)+"/healthz", nil, nil) == nil
	})
}

// AdminAddr returns the address of the host's administration API.
func (h *Host) AdminAddr() string { return h.addr(adminPort) }

// Dump returns the host's state dump.
func (h *Host) Dump(ctx context.Context) (json.RawMessage, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr(adminPort)+"/v1/dump", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var dump json.RawMessage
	return dump, json.NewDecoder(resp.Body).Decode(&dump)
}

const callerConnectTimeout = 5 * time.Second

// URL returns a connection string for a database of a customer, with further
// start-up parameters as key=value.
func (h *Host) URL(customer topology.CustomerID, database string, params ...string) string {
	return h.url(userName, customer, database, params)
}

func (h *Host) url(user string, customer topology.CustomerID, database string, params []string) string {
	url := fmt.Sprintf("postgres://%s@%s/%s.%s?sslmode=disable", user, h.callerURL, customer, database)
	for _, p := range params {
		url += "&" + p
	}
	return url
}

// Connect opens a caller's connection to the customer's database.
func (h *Host) Connect(ctx context.Context, customer topology.CustomerID, database string, params ...string) (*pgx.Conn, error) {
	return connect(ctx, h.URL(customer, database, params...))
}

// ConnectNear opens a caller's connection past the callers' link.
func (h *Host) ConnectNear(ctx context.Context, customer topology.CustomerID, database string) (*pgx.Conn, error) {
	return connect(ctx, fmt.Sprintf("postgres://%s@%s/%s.%s?sslmode=disable", userName, h.addr(callerPort), customer, database))
}

// ConnectViewer opens a connection of a user who is declared read-only.
func (h *Host) ConnectViewer(ctx context.Context, customer topology.CustomerID, database string, params ...string) (*pgx.Conn, error) {
	return connect(ctx, h.url(userNameReadOnly, customer, database, params))
}

func connect(ctx context.Context, url string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	cfg.ConnectTimeout = callerConnectTimeout
	return pgx.ConnectConfig(ctx, cfg)
}

// CallerAddr returns the address for callers, past the callers' link.
func (h *Host) CallerAddr() string { return h.addr(callerPort) }

// Ready tells whether the host's health answer is good now.
func (h *Host) Ready(ctx context.Context) bool {
	return httpJSON(ctx, http.MethodGet, "http://"+h.addr(adminPort)+"/healthz", nil, nil) == nil
}

// KillHost kills the process.
func (h *Host) KillHost() error { return h.Kill() }

// FreezeHost stops the process without its knowledge.
func (h *Host) FreezeHost() error { return h.Freeze() }
