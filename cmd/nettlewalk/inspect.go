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
	cmd.Description = "Show a host's health, its view of hosts and groups, and its slots"
	conn := newAdminConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return callAndPrint(conn, func(ctx context.Context, client *adminclient.Client) (*admin.Status, error) {
			return client.Status(ctx)
		}, adminclient.PrintStatus)
	}}
}

func dumpCommand() command {
	var component string
	cmd := flaggy.NewSubcommand("dump")
	cmd.Description = "Print a host's state as JSON, for all components or for one"
	cmd.AddPositionalValue(&component, "SLICE", 1, false, "component such as pool, routing, session or failover; default: all")
	conn := newAdminConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return callAndPrint(conn, func(ctx context.Context, client *adminclient.Client) (json.RawMessage, error) {
			return client.Dump(ctx, component)
		}, func(w io.Writer, dump json.RawMessage) error { return adminclient.PrintJSON(w, dump) })
	}}
}

func usageCommand() command {
	var customer string
	cmd := flaggy.NewSubcommand("usage")
	cmd.Description = "Show what a customer has consumed"
	cmd.AddPositionalValue(&customer, "CUSTOMER", 1, true, "name of the customer")
	conn := newAdminConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return callAndPrint(conn, func(ctx context.Context, client *adminclient.Client) (*adminclient.Usage, error) {
			return client.Usage(ctx, customer)
		}, adminclient.PrintUsage)
	}}
}
