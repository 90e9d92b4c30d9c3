package main

import (
	"context"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

// objectCommand returns the command that reads and edits objects of one kind.
// collection is the plural of kind, as the API's paths use it.
func objectCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand(kind)
	cmd.Description = "Read and edit " + collection
	return command{Subcommand: cmd, children: []command{
		listCommand(collection),
		getCommand(kind, collection),
		objectStatusCommand(kind, collection),
		createCommand(kind, collection),
		setCommand(kind, collection),
		deleteCommand(kind, collection),
	}}
}

func listCommand(collection string) command {
	cmd := flaggy.NewSubcommand("list")
	cmd.Description = "List the " + collection + " that the operator can read"
	conn := newAdminConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return callAndPrint(conn, func(ctx context.Context, client *adminclient.Client) (*admin.Objects, error) {
			return client.List(ctx, collection)
		}, adminclient.PrintObjects)
	}}
}

func getCommand(kind, collection string) command {
	var name string
	cmd := flaggy.NewSubcommand("get")
	cmd.Description = "Show one " + kind + " with its version"
	addNameArgument(cmd, &name, kind)
	conn := newAdminConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return callAndPrint(conn, func(ctx context.Context, client *adminclient.Client) (*admin.Object, error) {
			return client.Get(ctx, collection, name)
		}, adminclient.PrintObject)
	}}
}

func objectStatusCommand(kind, collection string) command {
	var name string
	cmd := flaggy.NewSubcommand("status")
	cmd.Description = "Show which hosts have the newest version of one " + kind + " in force"
	addNameArgument(cmd, &name, kind)
	conn := newAdminConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return callAndPrint(conn, func(ctx context.Context, client *adminclient.Client) (*admin.ObjectStatus, error) {
			return client.ObjectStatus(ctx, collection, name)
		}, adminclient.PrintObjectStatus)
	}}
}

func addNameArgument(cmd *flaggy.Subcommand, name *string, kind string) {
	cmd.AddPositionalValue(name, "NAME", 1, true, "name of the "+kind)
}
