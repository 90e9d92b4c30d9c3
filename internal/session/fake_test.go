package session

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeRouter stands for routing and one target that answers every read with
// the statement's own text.
type fakeRouter struct {
	mu     sync.Mutex
	calls  []routing.Call
	ran    []string     // statements that the target ran
	inside []int        // number of the transaction of each of them, 0: of its own
	kept   map[int]bool // transactions that were committed
	closed int
	offset uint64
	// refuse returns the error of a batch, by its first statement.
	refuse func(sql string) *result.Error
	// block, when not nil, holds a batch until it is closed or ctx ends.
	block    func(sql string) <-chan struct{}
	canceled chan struct{}
	known    sync.Map // prepared statements of the target: name to SQL
}

func (f *fakeRouter) Open(topology.CustomerID, topology.GroupID) routing.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kept == nil {
		f.kept = map[int]bool{}
	}
	return &fakeConn{router: f, status: statusIdle}
}

type fakeConn struct {
	router *fakeRouter
	status byte
	wrote  bool
	number int // of the open transaction
	out    []byte
}

func (c *fakeConn) Close() {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.closed++
}

func (c *fakeConn) Cancel(context.Context) error {
	c.router.canceled <- struct{}{}
	return nil
}

func (c *fakeConn) Run(ctx context.Context, call *routing.Call, emit func([]byte) error) (routing.Outcome, error) {
	f := c.router
	f.mu.Lock()
	f.calls = append(f.calls, *call)
	f.mu.Unlock()
	for _, s := range call.Statements {
		f.known.Store(s.Name, s.SQL)
	}
	first := c.firstSQL(call.Messages)
	if f.block != nil {
		if gate := f.block(first); gate != nil {
			select {
			case <-gate:
			case <-ctx.Done():
				return routing.Outcome{}, result.New(result.UnknownOutcome, "gone")
			}
		}
	}
	if f.refuse != nil {
		if err := f.refuse(first); err != nil {
			c.status = statusIdle
			return routing.Outcome{}, err
		}
	}
	c.out, c.wrote = nil, false
	c.answer(call.Messages)
	if err := emit(c.out); err != nil {
		return routing.Outcome{}, result.New(result.UnknownOutcome, "caller gone")
	}
	outcome := routing.Outcome{TxStatus: c.status}
	if c.wrote {
		f.mu.Lock()
		f.offset++
		outcome.Position = topology.Position{Term: 1, Offset: f.offset}
		f.mu.Unlock()
	}
	return outcome, nil
}

func (c *fakeConn) each(messages []byte, visit func(pgproto3.FrontendMessage)) {
	backend := pgproto3.NewBackend(bytes.NewReader(messages), nil)
	for {
		msg, err := backend.Receive()
		if err != nil {
			return
		}
		visit(msg)
	}
}

func (c *fakeConn) firstSQL(messages []byte) string {
	sql := ""
	c.each(messages, func(msg pgproto3.FrontendMessage) {
		if sql != "" {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.Query:
			sql = m.String
		case *pgproto3.Parse:
			sql = m.Query
		case *pgproto3.Bind:
			sql = c.router.statement(m.PreparedStatement)
		}
	})
	return sql
}

func (c *fakeConn) send(msg pgproto3.BackendMessage) {
	c.out, _ = msg.Encode(c.out)
}

func (c *fakeConn) answer(messages []byte) {
	bound := ""
	c.each(messages, func(msg pgproto3.FrontendMessage) {
		switch m := msg.(type) {
		case *pgproto3.Query:
			c.run(m.String, true)
		case *pgproto3.Parse:
			if m.Query == "misread" {
				c.send(&pgproto3.ErrorResponse{Code: "42601"})
				return
			}
			c.send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			bound = c.router.statement(m.PreparedStatement)
			c.send(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			c.describe(m, bound)
		case *pgproto3.Execute:
			c.run(bound, false)
		case *pgproto3.Close:
			c.send(&pgproto3.CloseComplete{})
		}
	})
}

func (c *fakeConn) describe(m *pgproto3.Describe, bound string) {
	sql := bound
	if m.ObjectType == 'S' {
		sql = c.router.statement(m.Name)
		oids := make([]uint32, strings.Count(sql, "$"))
		for i := range oids {
			oids[i] = textOID
		}
		c.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if strings.HasPrefix(strings.ToLower(sql), "select") {
		c.send(rowDescription("sql"))
		return
	}
	c.send(&pgproto3.NoData{})
}

// run answers one statement, or a list of them for a Query.
func (c *fakeConn) run(sql string, simple bool) {
	f := c.router
	if ends := sql == "commit" || sql == "rollback"; c.status == statusFailed && !ends {
		c.send(abortedResponse())
		return
	}
	f.mu.Lock()
	f.ran = append(f.ran, sql)
	f.inside = append(f.inside, c.transaction(sql))
	f.mu.Unlock()
	lower := strings.ToLower(sql)
	switch {
	case strings.Contains(lower, "broken"):
		c.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "syntax error", Hint: "mend it"})
		if c.status == statusOpen {
			c.status = statusFailed
		}
	case strings.HasPrefix(lower, "begin"):
		c.status = statusOpen
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case strings.HasPrefix(lower, "commit") && c.status == statusFailed:
		c.status = statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case strings.HasPrefix(lower, "commit"):
		c.wrote = c.status == statusOpen
		c.status = statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
	case strings.HasPrefix(lower, "rollback"):
		c.status = statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case strings.HasPrefix(lower, "select"):
		if simple {
			c.send(rowDescription("sql"))
		}
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	default:
		c.wrote = c.status == statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	}
}

// transaction returns the number of the transaction in which a statement runs.
func (c *fakeConn) transaction(sql string) int {
	switch {
	case sql == "begin" && c.status == statusIdle:
		c.number = len(c.router.ran) // unique, and not 0 after this statement is added
	case c.status == statusIdle:
		return 0
	case sql == "commit" && c.status == statusOpen:
		c.router.kept[c.number] = true
	}
	return c.number
}

func (f *fakeRouter) statement(name string) string {
	sql, _ := f.known.Load(name)
	text, _ := sql.(string)
	return text
}

func (f *fakeRouter) statements() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.ran...)
}

// releases counts the ends of routings, which roll back what is open.
func (f *fakeRouter) releases() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

func (f *fakeRouter) lastCall() routing.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

// fakeView holds customers in memory.
type fakeView struct {
	mu        sync.Mutex
	notReady  bool
	customers map[topology.CustomerID]*customer.Customer
}

func (v *fakeView) Customer(id topology.CustomerID) (*customer.Customer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.customers[id]
	return c, ok
}
func (v *fakeView) Group(topology.GroupID) (*topology.Group, bool) { return nil, false }
func (v *fakeView) Groups() []*topology.Group                      { return nil }
func (v *fakeView) Ready() bool                                    { return !v.notReady }

func verifierOf(password string) string {
	v, err := customer.MakeVerifier("ada", password, []byte("sixteen bytes ok"))
	if err != nil {
		panic(err)
	}
	return v
}

func testCustomer() *customer.Customer {
	return &customer.Customer{
		ID:           "qpca",
		Databases:    map[string]topology.GroupID{"bookings": "g1", "archive": "g2"},
		Users:        []customer.User{{Name: "crew"}, {Name: "viewer", ReadOnly: true}, {Name: "ada", Verifier: verifierOf("secret")}},
		ReadKeywords: true,
	}
}

// start serves on loopback with a fake router until the test ends.
func start(t testing.TB, router *fakeRouter, change func(*Options)) (*Server, string) {
	t.Helper()
	opts := Options{
		Customers:  &fakeView{customers: map[topology.CustomerID]*customer.Customer{"qpca": testCustomer()}},
		Router:     router,
		Log:        logr.Discard(),
		Host:       "host-1",
		TokenKey:   []byte("test key"),
		AllowTrust: true,
	}
	if change != nil {
		change(&opts)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := NewServer(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return srv, l.Addr().String()
}

// address returns a connection string without encryption.
func address(addr, user, more string) string {
	return "postgres://" + user + "@" + addr + "/qpca.bookings?sslmode=disable" + more
}
