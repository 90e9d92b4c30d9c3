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

// Host is one proxy process.
type Host struct {
	*Process
	*Node
	ID             topology.HostID
	callerDialAddr string // host:port that callers dial, through the callers' link
	bed            *Bed
}

func (b *Bed) startHosts(ctx context.Context) error {
	for i, domain := range b.Plan.Domains {
		for n := range b.Plan.HostsPerDomain {
			name := fmt.Sprintf("h%d%c", i+1, 'a'+n)
			b.Hosts = append(b.Hosts, &Host{Node: b.newNode(name, KindHost, domain), ID: topology.HostID(name), bed: b})
		}
	}
	for _, h := range b.Hosts {
		if err := b.putHostEntry(ctx, h, topology.HostLive); err != nil {
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
	addr, err := b.Network.addLink(b.caller, h.Node, h.addr(callerPort))
	if err != nil {
		return err
	}
	h.callerDialAddr = addr
	path := filepath.Join(b.workDir, h.Name+".ini")
	content, err := b.hostSettings(h)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		return err
	}
	h.Process, err = b.startProgram(b.programs.Host, h.Name, "serve", "-c", path)
	return err
}

// hostSettings returns the host's settings file. The file maps each address that
// the host dials to the address of a separate link.
func (b *Bed) hostSettings(h *Host) (string, error) {
	platform, err := b.Network.addLink(h.Node, b.Platform.Node, b.Platform.addr(platformPort))
	if err != nil {
		return "", err
	}
	var addressMap strings.Builder
	var seeds []string
	linkTo := func(to *Node, port int) (string, error) {
		addr, err := b.Network.addLink(h.Node, to, to.addr(port))
		if err == nil {
			fmt.Fprintf(&addressMap, "%s = %s\n", to.addr(port), addr)
		}
		return addr, err
	}
	for _, group := range b.Plan.Groups {
		for _, id := range b.Plan.TargetIDs(group) {
			if _, err := linkTo(b.Targets[id].Node, targetPort); err != nil {
				return "", err
			}
		}
	}
	for _, other := range b.Hosts {
		if other == h {
			continue
		}
		if _, err := linkTo(other.Node, peerPort); err != nil {
			return "", err
		}
		seeds = append(seeds, other.addr(peerPort))
	}
	return fmt.Sprintf(settingsTemplate, h.ID, h.Domain, h.addr(callerPort), h.addr(peerPort), h.addr(adminPort),
		platform, PeerKey, strings.Join(seeds, ", "), TokenKey, OperatorToken, addressMap.String()), nil
}

const settingsTemplate = `[host]
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

// putHostEntry writes the host with the given state to the platform's host list.
func (b *Bed) putHostEntry(ctx context.Context, h *Host, state topology.HostState) error {
	return b.Platform.Put(ctx, "host", h.Name, topology.Host{
		ID:         h.ID,
		Domain:     h.Domain,
		PeerAddr:   h.addr(peerPort),
		CallerAddr: h.addr(callerPort),
		AdminAddr:  h.addr(adminPort),
		State:      state,
	})
}

// MarkLeaving marks the host as leaving in the host list, as the platform does before
// a planned stop.
func (h *Host) MarkLeaving(ctx context.Context) error {
	return h.bed.putHostEntry(ctx, h, topology.HostLeaving)
}

// MarkGone removes the host from the platform's host list.
func (h *Host) MarkGone(ctx context.Context) error {
	return h.bed.Platform.Delete(ctx, "host", h.Name)
}

// Restart adds the host to the platform's host list as live and starts its process,
// which must have exited.
func (h *Host) Restart(ctx context.Context) error {
	if err := h.bed.putHostEntry(ctx, h, topology.HostLive); err != nil {
		return err
	}
	return h.Start()
}

// WaitReady waits until the host's health check succeeds.
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

// URL returns a connection string for a database of a customer. The params are
// additional start-up parameters in the form key=value.
func (h *Host) URL(customer topology.CustomerID, database string, params ...string) string {
	return h.connectionURL(readWriteUser, customer, database, params)
}

func (h *Host) connectionURL(user string, customer topology.CustomerID, database string, params []string) string {
	url := fmt.Sprintf("postgres://%s@%s/%s.%s?sslmode=disable", user, h.callerDialAddr, customer, database)
	for _, p := range params {
		url += "&" + p
	}
	return url
}

// Connect opens a connection to the customer's database through the callers' link.
func (h *Host) Connect(ctx context.Context, customer topology.CustomerID, database string, params ...string) (*pgx.Conn, error) {
	return connect(ctx, h.URL(customer, database, params...))
}

// ConnectWithoutLink opens a connection to the customer's database that bypasses
// the callers' link.
func (h *Host) ConnectWithoutLink(ctx context.Context, customer topology.CustomerID, database string) (*pgx.Conn, error) {
	return connect(ctx, fmt.Sprintf("postgres://%s@%s/%s.%s?sslmode=disable", readWriteUser, h.addr(callerPort), customer, database))
}

// ConnectViewer opens a connection as the read-only user.
func (h *Host) ConnectViewer(ctx context.Context, customer topology.CustomerID, database string, params ...string) (*pgx.Conn, error) {
	return connect(ctx, h.connectionURL(readOnlyUser, customer, database, params))
}

func connect(ctx context.Context, url string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	cfg.ConnectTimeout = callerConnectTimeout
	return pgx.ConnectConfig(ctx, cfg)
}

// CallerAddr returns the address on which the host listens for callers. It bypasses
// the callers' link.
func (h *Host) CallerAddr() string { return h.addr(callerPort) }

// Ready reports whether the host's health check succeeds.
func (h *Host) Ready(ctx context.Context) bool {
	return httpJSON(ctx, http.MethodGet, "http://"+h.addr(adminPort)+"/healthz", nil, nil) == nil
}

// KillHost kills the process with SIGKILL.
func (h *Host) KillHost() error { return h.Kill() }

// FreezeHost suspends the process with SIGSTOP.
func (h *Host) FreezeHost() error { return h.Freeze() }
