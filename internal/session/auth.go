package session

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"nettlewalk.example/nettlewalk/internal/result"
)

// authenticate proves the caller's password against the user's verifier. A
// user without one is let in only where the host's settings allow it.
func (c *conn) authenticate() error {
	if c.user.Verifier == "" {
		if c.srv.opts.AllowTrust {
			return nil
		}
		return result.New(result.BadPassword, "the user has no password and the host asks for one")
	}
	credentials, err := parseVerifier(c.user.Verifier)
	if err != nil {
		return result.New(result.BadPassword, "the user's stored verifier can't be read")
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return result.As(err, result.BadPassword)
	}
	return c.converse(server.NewConversation())
}

// converse runs the two steps of SCRAM.
func (c *conn) converse(conversation *scram.ServerConversation) error {
	first, err := c.askFirst()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return result.New(result.BadPassword, "password exchange failed")
	}
	last, err := c.ask(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	response, ok := last.(*pgproto3.SASLResponse)
	if !ok {
		return result.New(result.BadProtocol, "want a SASL response")
	}
	proof, err := conversation.Step(string(response.Data))
	if err != nil || !conversation.Valid() {
		return result.New(result.BadPassword, "wrong password")
	}
	c.out.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return nil
}

func (c *conn) askFirst() (string, error) {
	offer := &pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}
	msg, err := c.ask(offer, pgproto3.AuthTypeSASL)
	if err != nil {
		return "", err
	}
	response, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || response.AuthMechanism != scramMechanism {
		return "", result.New(result.BadPassword, "want the mechanism %s", scramMechanism)
	}
	return string(response.Data), nil
}

// ask sends a challenge and reads the answer to it.
func (c *conn) ask(challenge pgproto3.BackendMessage, authType uint32) (pgproto3.FrontendMessage, error) {
	if err := c.backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	c.out.send(challenge)
	if err := c.out.flush(); err != nil {
		return nil, err
	}
	return c.backend.Receive()
}
