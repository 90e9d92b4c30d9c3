package target

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// DialFunc opens a network connection. It may map addr to another address, as the
// settings define.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Login holds the credentials and the database with which hosts log in to targets.
type Login struct {
	User     string
	Password string
	Database string
}

// Conn is a control connection to a target. It implements Control. The connection
// is closed after any error other than ErrStaleTerm.
type Conn struct {
	mu sync.Mutex // serializes statements
	pg *pgconn.PgConn
}

// Dial opens a control connection to addr. ctx limits the connection setup.
func Dial(ctx context.Context, addr string, login Login, dial DialFunc) (*Conn, error) {
	pg, err := DialPG(ctx, addr, login, dial)
	if err != nil {
		return nil, err
	}
	return &Conn{pg: pg}, nil
}

// DialPG opens a plain PostgreSQL connection to addr. ctx limits the connection
// setup. The caller must close the connection.
func DialPG(ctx context.Context, addr string, login Login, dial DialFunc) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("sslmode=disable host=127.0.0.1 user=nettlewalk database=nettlewalk")
	if err != nil {
		return nil, errors.Wrap(err, "parse target connection settings")
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "target address %q", addr)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "target address %q", addr)
	}
	cfg.Host, cfg.Port = host, uint16(portNumber)
	cfg.User, cfg.Password, cfg.Database = login.User, login.Password, login.Database
	cfg.Fallbacks = nil
	cfg.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	if dial != nil {
		cfg.DialFunc = pgconn.DialFunc(dial)
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// Close waits until no statement is running and closes the connection.
func (c *Conn) Close(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pg.Close(ctx)
}

// Done returns a channel that is closed after the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.pg.CleanupDone() }

// Status implements Control.
func (c *Conn) Status(ctx context.Context) (Status, error) { return c.execStatus(ctx, StatusSQL) }

// Fence implements Control.
func (c *Conn) Fence(ctx context.Context, term uint64) (Status, error) {
	return c.execStatus(ctx, fmt.Sprintf(FenceSQL, term))
}

// Promote implements Control.
func (c *Conn) Promote(ctx context.Context, term uint64) (Status, error) {
	return c.execStatus(ctx, fmt.Sprintf(PromoteSQL, term))
}

// Follow implements Control.
func (c *Conn) Follow(ctx context.Context, term uint64, primary topology.TargetID) (Status, error) {
	return c.execStatus(ctx, fmt.Sprintf(FollowSQL, term, primary))
}

// LockSlot acquires the slot's advisory lock, which is held until this connection
// ends. It returns false if another connection holds the lock.
func (c *Conn) LockSlot(ctx context.Context, slot int) (bool, error) {
	row, err := c.querySingleRow(ctx, fmt.Sprintf(LockSlotSQL, slot), 1)
	if err != nil {
		return false, err
	}
	return row[0] == "t", nil
}

// TerminateSlotHolder terminates the connection that holds the slot's lock.
func (c *Conn) TerminateSlotHolder(ctx context.Context, slot int) error {
	_, err := c.querySingleRow(ctx, fmt.Sprintf(TerminateSlotHolderSQL, slot), 1)
	return err
}

func (c *Conn) execStatus(ctx context.Context, sql string) (Status, error) {
	row, err := c.querySingleRow(ctx, sql, 6)
	if err != nil {
		return Status{}, err
	}
	return parseStatus(row)
}

func (c *Conn) querySingleRow(ctx context.Context, sql string, columns int) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	results, err := c.pg.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, controlError(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != columns {
		return nil, errors.Newf("%s: unexpected result, want one row with %d columns", sql, columns)
	}
	row := make([]string, columns)
	for i, value := range results[0].Rows[0] {
		row[i] = string(value)
	}
	return row, nil
}

func controlError(err error) error {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) && pgErr.Code == StateStaleTerm {
		return &ErrStaleTerm{Detail: pgErr.Message}
	}
	return err
}

func parseStatus(row []string) (Status, error) {
	term, err := strconv.ParseUint(row[2], 10, 64)
	if err != nil {
		return Status{}, errors.Wrap(err, "term in target status")
	}
	received, err := topology.ParsePosition(row[4])
	if err != nil {
		return Status{}, err
	}
	applied, err := topology.ParsePosition(row[5])
	if err != nil {
		return Status{}, err
	}
	return Status{
		Target:   topology.TargetID(row[0]),
		Role:     Role(row[1]),
		Term:     term,
		Primary:  topology.TargetID(row[3]),
		Received: received,
		Applied:  applied,
	}, nil
}
