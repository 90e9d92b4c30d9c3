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

// schema is the SQL script that initializes every target.
const schema = `
CREATE TABLE bookings (id TEXT, crew TEXT, session TEXT, seq INTEGER);
CREATE INDEX bookings_id ON bookings (id);
CREATE INDEX bookings_session ON bookings (session, seq);
CREATE TABLE roster (crew TEXT PRIMARY KEY, day TEXT, state TEXT);
INSERT INTO roster VALUES ('crew-1', 'monday', 'free'), ('crew-2', 'monday', 'free');
`

// Target is the process of one target stand-in.
type Target struct {
	*Process
	*Node
	ID    topology.TargetID
	Group topology.GroupID
}

func (b *Bed) startTargets(ctx context.Context) error {
	schemaPath := filepath.Join(b.workDir, "schema.sql")
	if err := os.WriteFile(schemaPath, []byte(schema), 0o644); err != nil {
		return err
	}
	for _, group := range b.Plan.Groups {
		if err := b.startGroup(ctx, group, schemaPath); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startGroup(ctx context.Context, group topology.GroupID, schemaPath string) error {
	ids := b.Plan.TargetIDs(group)
	for i, id := range ids {
		b.Targets[id] = &Target{Node: b.newNode(string(id), KindTarget, b.Plan.Domains[i]), ID: id, Group: group}
	}
	for _, id := range ids {
		if err := b.startTarget(ctx, b.Targets[id], ids, schemaPath); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) startTarget(ctx context.Context, t *Target, groupTargets []topology.TargetID, schemaPath string) error {
	peers, err := b.replicationPeers(t, groupTargets)
	if err != nil {
		return err
	}
	dir := filepath.Join(b.workDir, t.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	t.Process, err = b.startProgram(b.programs.Target, t.Name,
		"--id", t.Name,
		"--listen", t.addr(targetPort),
		"--peer-listen", t.addr(replicationPort),
		"--peers", peers,
		"--control", t.addr(controlPort),
		"--connections", strconv.Itoa(b.Plan.Connections),
		"--connect-cost", b.Plan.ConnectCost.String(),
		"--lag", b.Plan.ReceiveLag.String(),
		"--apply-lag", b.Plan.ApplyLag.String(),
		"--primary", string(groupTargets[0]),
		"--term", "1",
		"--dir", dir,
		"--seed-sql", schemaPath,
	)
	if err != nil {
		return err
	}
	return Until(ctx, t.Name+" responds", func() bool {
		_, err := t.State(ctx)
		return err == nil
	})
}

// replicationPeers returns the addresses at which t reaches the other targets of the
// group, as a comma-separated list of id=address.
func (b *Bed) replicationPeers(t *Target, groupTargets []topology.TargetID) (string, error) {
	var peers []string
	for _, id := range groupTargets {
		if id == t.ID {
			continue
		}
		addr, err := b.Network.addLink(t.Node, b.Targets[id].Node, b.Targets[id].addr(replicationPort))
		if err != nil {
			return "", err
		}
		peers = append(peers, fmt.Sprintf("%s=%s", id, addr))
	}
	return strings.Join(peers, ","), nil
}

// Addr returns the address on which the target listens. It bypasses all links.
func (t *Target) Addr() string { return t.addr(targetPort) }

// Status queries the target's status over a new connection that bypasses all links.
func (t *Target) Status(ctx context.Context) (target.Status, error) {
	conn, err := target.Dial(ctx, t.Addr(), target.Login{User: "testbed", Database: "testbed"}, nil)
	if err != nil {
		return target.Status{}, err
	}
	defer conn.Close(ctx)
	return conn.Status(ctx)
}

// Connect opens a connection directly to the target, bypassing hosts and links.
func (t *Target) Connect(ctx context.Context) (*pgx.Conn, error) {
	return connect(ctx, fmt.Sprintf("postgres://testbed@%s/testbed?sslmode=disable", t.Addr()))
}

// SetLag sets the target's lag as a replica: the delay until it receives changes, and
// the delay until it applies them.
func (t *Target) SetLag(ctx context.Context, received, applied time.Duration) error {
	url := fmt.Sprintf("http://%s/lag?received=%s&applied=%s", t.addr(controlPort), received, applied)
	return httpJSON(ctx, http.MethodPost, url, nil, nil)
}

const stateTimeout = 500 * time.Millisecond // a suspended target does not respond

// State returns the stand-in's status and counters.
func (t *Target) State(ctx context.Context) (TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var state TargetState
	err := httpJSON(ctx, http.MethodGet, "http://"+t.addr(controlPort)+"/state", nil, &state)
	return state, err
}

// TargetState holds the status and counters of a target stand-in.
type TargetState struct {
	target.Status  `json:"status"`
	MaxConnections int               `json:"highest_connections"` // highest number of concurrent connections since the start
	Statements     map[string]uint64 `json:"statements"`          // by user
}

// HostStatements returns the number of statements that hosts have run on the target.
func (s TargetState) HostStatements() uint64 { return s.Statements[hostUser] }

const hostUser = "nettlewalk" // user name of hosts at targets

// Primary returns the group's reachable primary with the highest term, or nil if
// there is none.
func (b *Bed) Primary(ctx context.Context, group topology.GroupID) *Target {
	var primary *Target
	var highestTerm uint64
	for _, id := range b.Plan.TargetIDs(group) {
		state, err := b.Targets[id].State(ctx)
		if err != nil || state.Role != target.Primary || state.Term < highestTerm {
			continue
		}
		primary, highestTerm = b.Targets[id], state.Term
	}
	return primary
}
