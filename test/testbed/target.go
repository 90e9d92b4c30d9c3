package testbed

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// schema is what every target starts with.
const schema = `
CREATE TABLE bookings (id TEXT, crew TEXT, session TEXT, seq INTEGER);
CREATE INDEX bookings_id ON bookings (id);
CREATE INDEX bookings_session ON bookings (session, seq);
CREATE TABLE roster (crew TEXT PRIMARY KEY, day TEXT, state TEXT);
INSERT INTO roster VALUES ('crew-1', 'monday', 'free'), ('crew-2', 'monday', 'free');
`

// Target is one target stand-in's process.
type Target struct {
	*Process
	*Node
	ID    topology.TargetID
	Group topology.GroupID
}

func (b *Bed) startTargets(ctx context.Context) error {
	seed := filepath.Join(b.dir, "schema.sql")
	if err := os.WriteFile(seed, []byte(schema), 0o644); err != nil {
		return err
	}
	for _, group := range b.Plan.Groups {
		if err := b.startGroup(ctx, group, seed); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startGroup(ctx context.Context, group topology.GroupID, seed string) error {
	ids := b.Plan.TargetIDs(group)
	for i, id := range ids {
		b.Targets[id] = &Target{Node: b.node(string(id), KindTarget, b.Plan.Domains[i]), ID: id, Group: group}
	}
	for _, id := range ids {
		if err := b.startTarget(ctx, b.Targets[id], ids, seed); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startTarget(ctx context.Context, t *Target, group []topology.TargetID, seed string) error {
	peers, err := b.replicationPeers(t, group)
	if err != nil {
		return err
	}
	dir := filepath.Join(b.dir, t.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	t.Process, err = b.start(b.programs.Target, t.Name,
		"--id", t.Name,
		"--listen", t.addr(targetPort),
		"--peer-listen", t.addr(replicationPort),
		"--peers", peers,
		"--control", t.addr(controlPort),
		"--connections", strconv.Itoa(b.Plan.Connections),
		"--connect-cost", b.Plan.ConnectCost.String(),
		"--lag", b.Plan.ReceiveLag.String(),
		"--apply-lag", b.Plan.ApplyLag.String(),
		"--primary", string(group[0]),
		"--term", "1",
		"--dir", dir,
		"--seed-sql", seed,
	)
	if err != nil {
		return err
	}
	return Until(ctx, t.Name+" answers", func() bool {
		_, err := t.State(ctx)
		return err == nil
	})
}

// replicationPeers returns the addresses at which t reaches the group's others.
func (b *Bed) replicationPeers(t *Target, group []topology.TargetID) (string, error) {
	var peers []string
	for _, id := range group {
		if id == t.ID {
			continue
		}
		addr, err := b.Network.join(t.Node, b.Targets[id].Node, b.Targets[id].addr(replicationPort))
		if err != nil {
			return "", err
		}
		peers = append(peers, fmt.Sprintf("%s=%s", id, addr))
	}
	return strings.Join(peers, ","), nil
}

// Addr returns the address of the target itself, behind no link.
func (t *Target) Addr() string { return t.addr(targetPort) }

// Status asks the target for its status over a connection of its own.
func (t *Target) Status(ctx context.Context) (target.Status, error) {
	conn, err := target.Dial(ctx, t.Addr(), target.Login{User: "testbed", Database: "testbed"}, nil)
	if err != nil {
		return target.Status{}, err
	}
	defer conn.Close(ctx)
	return conn.Status(ctx)
}

// Connect opens a caller's connection to the target, past every host.
func (t *Target) Connect(ctx context.Context) (*pgx.Conn, error) {
	return connect(ctx, fmt.Sprintf("postgres://testbed@%s/testbed?sslmode=disable", t.Addr()))
}

// SetLag changes how far the target falls behind as a replica.
func (t *Target) SetLag(ctx context.Context, received, applied time.Duration) error {
	url := fmt.Sprintf("http://%s/lag?received=%s&applied=%s", t.addr(controlPort), received, applied)
	return httpJSON(ctx, http.MethodPost, url, nil, nil)
}

const stateTimeout = 500 * time.Millisecond // a frozen target doesn't answer

// State returns what the stand-in counted.
func (t *Target) State(ctx context.Context) (TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var state TargetState
	err := httpJSON(ctx, http.MethodGet, "http://"+t.addr(controlPort)+"/state", nil, &state)
	return state, err
}

// TargetState is what a target stand-in counted.
type TargetState struct {
	target.Status  `json:"status"`
	MaxConnections int               `json:"highest_connections"` // at once, since its start
	Statements     map[string]uint64 `json:"statements"`          // by login
}

// HostStatements returns how many statements hosts ran at the target.
func (s TargetState) HostStatements() uint64 { return s.Statements[hostLogin] }

const hostLogin = "nettlewalk" // of hosts at targets

// Primary returns the group's target that is a writable primary at the highest term.
func (b *Bed) Primary(ctx context.Context, group topology.GroupID) *Target {
	var best *Target
	var term uint64
	for _, id := range b.Plan.TargetIDs(group) {
		state, err := b.Targets[id].State(ctx)
		if err != nil || state.Role != target.Primary || state.Term < term {
			continue
		}
		best, term = b.Targets[id], state.Term
	}
	return best
}
