package target

import (
	"context"

	"github.com/mattn/go-sqlite3"
)

// store is the present database, its applier's connection and the lock that
// allows one writer. All fields but writer are guarded by the node's lock.
type store struct {
	writer     chan struct{}
	dir        string
	seed       string
	generation int
	db         *database
	applier    *sqlite3.SQLiteConn
	clock      *clock
}

func openStore(cfg Config) (*store, error) {
	st := &store{writer: make(chan struct{}, 1), dir: cfg.Dir, seed: cfg.SeedSQL}
	return st, st.renew()
}

// renew starts an empty database with the seed. The old file stays until the
// next start: connections may still have it open.
func (st *store) renew() error {
	st.generation++
	db, err := newDatabase(st.dir, st.generation)
	if err != nil {
		return err
	}
	c := &clock{}
	conn, err := db.open(c)
	if err != nil {
		return err
	}
	if err := execAll(conn, st.seed); err != nil {
		conn.Close()
		return err
	}
	st.db, st.clock, st.applier = db, c, conn
	return nil
}

func (st *store) lockWriter(ctx context.Context) error {
	select {
	case st.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (st *store) unlockWriter() { <-st.writer }
