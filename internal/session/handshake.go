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
	maxEncryptionRequests = 2      // accepted before the startup message
	protocolMinorVersion  = 0      // minor version of protocol 3
	reportedServerVersion = "16.4" // server_version reported to drivers
	maxPasswordBytes      = 4096   // limit for a message during authentication
)

// cancelRequestHandledError ends a connection that sent a cancel request, which
// gets no response.
type cancelRequestHandledError struct{}

func (cancelRequestHandledError) Error() string { return "cancel request handled" }

// handshake performs the startup phase, from the first byte to the first
// ReadyForQuery, within the startup timeout.
func (c *conn) handshake(hostFull bool) error {
	if err := c.net.SetReadDeadline(time.Now().Add(c.srv.opts.StartupTimeout)); err != nil {
		return err
	}
	message, err := c.receiveStartup()
	if err != nil {
		return err
	}
	params, err := parseStartup(message.Parameters)
	if err != nil {
		return err
	}
	if hostFull {
		return result.New(result.LimitReached, "this host is at its limit of %d sessions", c.srv.opts.MaxSessions).WithRetryAfter(hostFullRetryAfter)
	}
	if err := c.resolveIdentity(params); err != nil {
		return err
	}
	c.negotiateProtocol(message, params)
	c.backend.SetMaxBodyLen(maxPasswordBytes)
	if err := c.authenticate(); err != nil {
		return err
	}
	c.backend.SetMaxBodyLen(c.srv.opts.MaxMessageBytes)
	if err := c.applySettings(params.settings); err != nil {
		return err
	}
	if c.srv.isDraining() {
		return errDraining
	}
	c.initSnapshot()
	c.acceptSession()
	if err := c.out.flush(); err != nil {
		return err
	}
	return c.net.SetReadDeadline(time.Time{})
}

// receiveStartup reads messages up to the startup message. It declines encryption
// requests and handles a cancel request.
func (c *conn) receiveStartup() (*pgproto3.StartupMessage, error) {
	for range maxEncryptionRequests + 1 {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, startupError(err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			c.srv.handleCancelRequest(c.ctx, m)
			return nil, cancelRequestHandledError{}
		default:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
	return nil, result.New(result.BadStartup, "received more than %d encryption requests", maxEncryptionRequests)
}

// startupError returns the refusal for a malformed startup message, or err itself
// if the connection broke.
func startupError(err error) error {
	if isNetworkError(err) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return result.New(result.BadStartup, "%s", truncate(err.Error()))
}

// resolveIdentity looks up the customer, its database and its user.
func (c *conn) resolveIdentity(params startupParams) error {
	if !c.srv.opts.Customers.Ready() {
		return result.New(result.NoConfiguration, "this host has no configuration yet").WithRetryAfter(noConfigurationRetryAfter)
	}
	cust, ok := c.srv.opts.Customers.Customer(params.customer)
	if !ok {
		return result.New(result.UnknownCustomer, "customer %q does not exist", truncate(string(params.customer)))
	}
	group, ok := cust.Databases[params.database]
	if !ok {
		return result.New(result.UnknownCustomer, "customer %s has no database %q", cust.ID, truncate(params.database))
	}
	user, ok := findUser(cust, params.user)
	if !ok {
		return result.New(result.UnknownCustomer, "customer %s has no user %q", cust.ID, truncate(params.user))
	}
	c.customer, c.user, c.databaseName = cust, user, params.database
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

// negotiateProtocol sends the supported protocol version to a client that asks
// for a newer one or for unknown protocol options.
func (c *conn) negotiateProtocol(message *pgproto3.StartupMessage, params startupParams) {
	if message.ProtocolVersion == pgproto3.ProtocolVersion30 && len(params.unrecognizedOptions) == 0 {
		return
	}
	c.out.send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: protocolMinorVersion,
		UnrecognizedOptions: params.unrecognizedOptions,
	})
}

func (c *conn) applySettings(params []parameter) error {
	for _, param := range params {
		if err := c.applySetting(param.name, param.value); err != nil {
			return err
		}
	}
	return nil
}

// applySetting changes a setting and the session state derived from it.
func (c *conn) applySetting(name, value string) error {
	if name == settingToken {
		position, err := verifyToken(c.srv.opts.TokenKey, c.scope, value)
		if err != nil {
			return err
		}
		c.floor.raise(position)
	}
	if err := c.settings.set(name, value); err != nil {
		return err
	}
	c.updateFloorSession()
	return nil
}

// updateFloorSession sets the session name under which the floor service looks
// up the floor. The prefix keeps sessions of different customers apart.
func (c *conn) updateFloorSession() {
	c.floor.session = ""
	if c.settings.session != "" {
		c.floor.session = string(c.scope.customer) + "/" + c.settings.session
	}
}

// acceptSession registers the session and queues the messages that end the
// startup phase, from AuthenticationOk to ReadyForQuery.
func (c *conn) acceptSession() {
	c.out.send(&pgproto3.AuthenticationOk{})
	for _, param := range c.reportedParameters() {
		c.out.send(&pgproto3.ParameterStatus{Name: param.name, Value: param.value})
	}
	c.secret = c.srv.register(c)
	c.out.send(&pgproto3.BackendKeyData{
		ProcessID: hostProcessID(c.srv.opts.Host),
		SecretKey: binary.BigEndian.AppendUint32(nil, c.secret),
	})
	c.out.send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
}

// reportedParameters returns the parameters that a client receives at startup.
func (c *conn) reportedParameters() []parameter {
	return []parameter{
		{"server_version", reportedServerVersion},
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
		{"application_name", strings.ToValidUTF8(c.settings.driverValues["application_name"], "?")},
		{"default_transaction_read_only", onOff(c.settings.readOnly)},
	}
}
