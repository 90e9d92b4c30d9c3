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

// adminConnection holds the flags with which an operator command connects to a host.
type adminConnection struct {
	address string
	token   string
	asJSON  bool
}

// newAdminConnection adds the connection flags to a subcommand.
func newAdminConnection(cmd *flaggy.Subcommand) *adminConnection {
	c := &adminConnection{address: defaultAddress}
	cmd.String(&c.address, "a", "address", "IP:PORT of any host's administration listener")
	cmd.String(&c.token, "t", "token", "operator token; other users of this machine may see command-line arguments, so prefer "+tokenVariable)
	cmd.Bool(&c.asJSON, "j", "json", "print JSON")
	return c
}

func (c *adminConnection) client() (*adminclient.Client, error) {
	if _, _, err := net.SplitHostPort(c.address); err != nil {
		return nil, &usageError{"--address " + c.address + ": must be IP:PORT"}
	}
	token := c.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	if token == "" {
		return nil, &usageError{"no operator token: set " + tokenVariable + " or use --token"}
	}
	return adminclient.New(c.address, token), nil
}

// adminCall calls the administration API of a host through a client.
type adminCall[T any] func(context.Context, *adminclient.Client) (T, error)

// callAndPrint calls a host and prints the answer, as JSON with --json and with
// print otherwise. With --json, a failure is also printed to standard output as
// JSON; main prints the readable form to standard error.
func callAndPrint[T any](c *adminConnection, call adminCall[T], print func(io.Writer, T) error) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	answer, err := call(context.Background(), client)
	if err != nil {
		return errors.CombineErrors(err, c.printFailureJSON(err))
	}
	if c.asJSON {
		return adminclient.PrintJSON(os.Stdout, answer)
	}
	return print(os.Stdout, answer)
}

func (c *adminConnection) printFailureJSON(err error) error {
	var failure *admin.Failure
	if !c.asJSON || !errors.As(err, &failure) {
		return nil
	}
	return adminclient.PrintJSON(os.Stdout, failure)
}

const maxInputBytes = 1 << 20 // the size limit of a value at the platform

// readValue reads a JSON value from a file, or from standard input if path is "-".
func readValue(path string) (json.RawMessage, error) {
	file := os.Stdin
	if path != "-" {
		var err error
		if file, err = os.Open(path); err != nil {
			return nil, &usageError{err.Error()}
		}
		defer file.Close()
	}
	value, err := io.ReadAll(io.LimitReader(file, maxInputBytes))
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if !json.Valid(value) {
		return nil, &usageError{path + ": not valid JSON, or larger than 1 MB"}
	}
	return value, nil
}
