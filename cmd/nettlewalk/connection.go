package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

const (
	tokenVariable  = "NETTLEWALK_TOKEN"
	defaultAddress = "127.0.0.1:6434"
)

// connection is how an operator's command reaches a host.
type connection struct {
	address string
	token   string
	asJSON  bool
}

// newConnection adds the flags that reach a host to a subcommand.
func newConnection(cmd *flaggy.Subcommand) *connection {
	c := &connection{address: defaultAddress}
	cmd.String(&c.address, "a", "address", "IP:PORT of any host's administration listener")
	cmd.String(&c.token, "t", "token", "operator's token; other users of this machine may see arguments, so better set "+tokenVariable)
	cmd.Bool(&c.asJSON, "j", "json", "print JSON")
	return c
}

func (c *connection) client() (*adminclient.Client, error) {
	if _, _, err := net.SplitHostPort(c.address); err != nil {
		return nil, &badArgument{"--address " + c.address + ": want IP:PORT"}
	}
	token := c.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	if token == "" {
		return nil, &badArgument{"no operator's token: set " + tokenVariable + " or use --token"}
	}
	return adminclient.New(c.address, token), nil
}

// request asks a host through a client.
type request[T any] func(context.Context, *adminclient.Client) (T, error)

// ask prints a host's answer: as JSON if that was asked for, else by print. A
// refusal is printed as JSON too; main prints it for people.
func ask[T any](c *connection, send request[T], print func(io.Writer, T) error) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := send(context.Background(), client)
	if err != nil {
		return errors.CombineErrors(err, c.printRefusal(err))
	}
	if c.asJSON {
		return adminclient.PrintJSON(os.Stdout, answer)
	}
	return print(os.Stdout, answer)
}

func (c *connection) printRefusal(err error) error {
	var failure *admin.Failure
	if !c.asJSON || !errors.As(err, &failure) {
		return nil
	}
	return adminclient.PrintJSON(os.Stdout, failure)
}

const maxInputBytes = 1 << 20 // the platform's largest value

// readValue returns the JSON in a file, "-": on standard input.
func readValue(path string) (json.RawMessage, error) {
	file := os.Stdin
	if path != "-" {
		var err error
		if file, err = os.Open(path); err != nil {
			return nil, &badArgument{err.Error()}
		}
		defer file.Close()
	}
	value, err := io.ReadAll(io.LimitReader(file, maxInputBytes))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if !json.Valid(value) {
		return nil, &badArgument{path + ": no JSON, or more than 1 MB of it"}
	}
	return value, nil
}
