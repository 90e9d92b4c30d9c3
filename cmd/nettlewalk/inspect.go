package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

func statusCommand() command {
	cmd := flaggy.NewSubcommand("status")
	cmd.Description = "Show a host's health, the hosts and groups that it knows, and its slots"
	c := newConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return ask(c, func(ctx context.Context, client *adminclient.Client) (*admin.Status, error) {
			return client.Status(ctx)
		}, adminclient.PrintStatus)
	}}
}

func dumpCommand() command {
	var slice string
	cmd := flaggy.NewSubcommand("dump")
	cmd.Description = "Print a host's state as JSON, of all slices or of one"
	cmd.AddPositionalValue(&slice, "SLICE", 1, false, "such as pool, routing, session or failover; all without it")
	c := newConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return ask(c, func(ctx context.Context, client *adminclient.Client) (json.RawMessage, error) {
			return client.Dump(ctx, slice)
		}, func(w io.Writer, dump json.RawMessage) error { return adminclient.PrintJSON(w, dump) })
	}}
}

func usageCommand() command {
	var customer string
	cmd := flaggy.NewSubcommand("usage")
	cmd.Description = "Show what a customer has consumed"
	cmd.AddPositionalValue(&customer, "CUSTOMER", 1, true, "name of the customer")
	c := newConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return ask(c, func(ctx context.Context, client *adminclient.Client) (*adminclient.Usage, error) {
			return client.Usage(ctx, customer)
		}, adminclient.PrintUsage)
	}}
}
