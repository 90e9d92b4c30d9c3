package session

import (
	"encoding/binary"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	maxNegotiations  = 2      // encryption requests before the start-up message
	protocolMinor    = 0      // of version 3
	reportedVersion  = "16.4" // server_version that drivers see
	maxPasswordBytes = 4096   // of one message before the session is accepted
)

// endOfConnection ends a connection that brought a cancel request.
type endOfConnection struct{}

func (endOfConnection) Error() string { return "connection is over" }

// handshake brings a connection from its first byte to its first
// ReadyForQuery, within the start-up timeout.
func (c *conn) handshake(full bool) error {
	if err := c.net.SetReadDeadline(time.Now().Add(c.srv.opts.StartupTimeout)); err != nil {
		return err
	}
	message, err := c.receiveStartup()
	if err != nil {
		return err
	}
	asked, err := parseStartup(message.Parameters)
	if err != nil {
		return err
	}
	if full {
		return result.New(result.LimitReached, "this host serves no more than %d sessions", c.srv.opts.MaxSessions).After(fullPause)
	}
	if err := c.identify(asked); err != nil {
		return err
	}
	c.negotiate(message, asked)
	c.backend.SetMaxBodyLen(maxPasswordBytes)
	if err := c.authenticate(); err != nil {
		return err
	}
	c.backend.SetMaxBodyLen(c.srv.opts.MaxMessageBytes)
	if err := c.applySettings(asked.settings); err != nil {
		return err
	}
	if c.srv.leaving() {
		return errDraining
	}
	c.introduce()
	c.greet()
	if err := c.out.flush(); err != nil {
		return err
	}
	return c.net.SetReadDeadline(time.Time{})
}

// receiveStartup reads up to the start-up message. It refuses encryption and
// serves a cancel request.
func (c *conn) receiveStartup() (*pgproto3.StartupMessage, error) {
	for range maxNegotiations + 1 {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, startupError(err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			c.srv.cancel(c.ctx, m)
			return nil, endOfConnection{}
		default:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
	return nil, result.New(result.BadStartup, "more than %d encryption requests", maxNegotiations)
}

// startupError tells unreadable start-up messages from broken connections.
func startupError(err error) error {
	if isNetworkError(err) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return result.New(result.BadStartup, "%s", clip(err.Error()))
}

// identify finds the customer, its database and its user.
func (c *conn) identify(asked startup) error {
	if !c.srv.opts.Customers.Ready() {
		return result.New(result.NoConfiguration, "this host has no configuration yet").After(configurationPause)
	}
	cust, ok := c.srv.opts.Customers.Customer(asked.customer)
	if !ok {
		return result.New(result.UnknownCustomer, "no customer %q", clip(string(asked.customer)))
	}
	group, ok := cust.Databases[asked.database]
	if !ok {
		return result.New(result.UnknownCustomer, "customer %s has no database %q", cust.ID, clip(asked.database))
	}
	user, ok := findUser(cust, asked.user)
	if !ok {
		return result.New(result.UnknownCustomer, "customer %s has no user %q", cust.ID, clip(asked.user))
	}
	c.customer, c.user, c.database = cust, user, asked.database
	c.scope = scope{customer: cust.ID, group: group}
	c.floor.readOnly = user.ReadOnly
	return nil
}

func findUser(cust *customer.Customer, name string) (customer.User, bool) {
	for _, u := range cust.Users {
		if u.Name == name {
			return u, true
		}
	}
	return customer.User{}, false
}

// negotiate tells a caller of a newer protocol what is spoken here.
func (c *conn) negotiate(m *pgproto3.StartupMessage, asked startup) {
	if m.ProtocolVersion == pgproto3.ProtocolVersion30 && len(asked.unknownParts) == 0 {
		return
	}
	c.out.send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: protocolMinor,
		UnrecognizedOptions: asked.unknownParts,
	})
}

func (c *conn) applySettings(all []assignment) error {
	for _, a := range all {
		if err := c.set(a.name, a.value); err != nil {
			return err
		}
	}
	return nil
}

// set changes a setting and what follows from it.
func (c *conn) set(name, value string) error {
	if name == setToken {
		position, err := readToken(c.srv.opts.TokenKey, c.scope, value)
		if err != nil {
			return err
		}
		c.floor.wrote(position)
	}
	if err := c.settings.set(name, value); err != nil {
		return err
	}
	c.identifyFloor()
	return nil
}

// identifyFloor names the session to the floor's keeper, apart from other
// customers' sessions of the same name.
func (c *conn) identifyFloor() {
	c.floor.session = ""
	if c.settings.session != "" {
		c.floor.session = string(c.scope.customer) + "/" + c.settings.session
	}
}

// greet accepts the session.
func (c *conn) greet() {
	c.out.send(&pgproto3.AuthenticationOk{})
	for _, p := range c.reportedParameters() {
		c.out.send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	c.secret = c.srv.enter(c)
	c.out.send(&pgproto3.BackendKeyData{
		ProcessID: hostNumber(c.srv.opts.Host),
		SecretKey: binary.BigEndian.AppendUint32(nil, c.secret),
	})
	c.out.send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
}

func (c *conn) reportedParameters() []assignment {
	return []assignment{
		{"server_version", reportedVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", driverDefaults["datestyle"]},
		{"IntervalStyle", driverDefaults["intervalstyle"]},
		{"TimeZone", driverDefaults["timezone"]},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"is_superuser", "off"},
		{"in_hot_standby", "off"},
		{"session_authorization", c.user.Name},
		{"application_name", strings.ToValidUTF8(c.settings.driver["application_name"], "?")},
		{"default_transaction_read_only", onOff(c.settings.readOnly)},
	}
}
