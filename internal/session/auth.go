package session

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"nettlewalk.example/nettlewalk/internal/result"
)

// authenticate checks the client's password against the user's verifier. A user
// without a verifier is accepted only if Options.AllowTrust is set.
func (c *conn) authenticate() error {
	if c.user.Verifier == "" {
		if c.srv.opts.AllowTrust {
			return nil
		}
		return result.New(result.BadPassword, "the user has no password and this host requires password authentication")
	}
	credentials, err := parseVerifier(c.user.Verifier)
	if err != nil {
		return result.New(result.BadPassword, "the user's stored password verifier is malformed")
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return result.As(err, result.BadPassword)
	}
	return c.exchangeSCRAM(server.NewConversation())
}

// exchangeSCRAM performs the two round trips of SCRAM.
func (c *conn) exchangeSCRAM(conversation *scram.ServerConversation) error {
	clientFirst, err := c.requestClientFirst()
	if err != nil {
		return err
	}
	serverFirst, err := conversation.Step(clientFirst)
	if err != nil {
		return result.New(result.BadPassword, "SCRAM exchange failed")
	}
	clientFinal, err := c.challengeClient(&pgproto3.AuthenticationSASLContinue{Data: []byte(serverFirst)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	response, ok := clientFinal.(*pgproto3.SASLResponse)
	if !ok {
		return result.New(result.BadProtocol, "expected a SASL response")
	}
	serverFinal, err := conversation.Step(string(response.Data))
	if err != nil || !conversation.Valid() {
		return result.New(result.BadPassword, "wrong password")
	}
	c.out.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(serverFinal)})
	return nil
}

// requestClientFirst offers the SASL mechanism and returns the client-first
// message of SCRAM.
func (c *conn) requestClientFirst() (string, error) {
	mechanisms := &pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}
	msg, err := c.challengeClient(mechanisms, pgproto3.AuthTypeSASL)
	if err != nil {
		return "", err
	}
	response, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || response.AuthMechanism != scramMechanism {
		return "", result.New(result.BadPassword, "expected SASL mechanism %s", scramMechanism)
	}
	return string(response.Data), nil
}

// challengeClient sends an authentication request and reads the response.
func (c *conn) challengeClient(challenge pgproto3.BackendMessage, authType uint32) (pgproto3.FrontendMessage, error) {
	if err := c.backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	c.out.send(challenge)
	if err := c.out.flush(); err != nil {
		return nil, err
	}
	return c.backend.Receive()
}
