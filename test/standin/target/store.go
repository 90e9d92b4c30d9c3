package target

import (
	"context"

	"github.com/mattn/go-sqlite3"
)

// store holds the current database, the connection that applies log entries,
// and the lock that admits a single writer. All fields except writerLock are
// guarded by the node's mutex.
type store struct {
	writerLock chan struct{}
	dir        string
	seed       string
	generation int
	db         *database
	applier    *sqlite3.SQLiteConn
	clock      *clock
}

func openStore(cfg Config) (*store, error) {
	st := &store{writerLock: make(chan struct{}, 1), dir: cfg.Dir, seed: cfg.SeedSQL}
	return st, st.reset()
}

// reset creates a new database from the seed SQL. The old file is kept until
// the next start, because connections may still have it open.
func (st *store) reset() error {
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
	case st.writerLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (st *store) unlockWriter() { <-st.writerLock }
