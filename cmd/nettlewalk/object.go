package main

import (
	"context"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

// objectCommand reads and edits objects of one kind; collection is its plural.
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
	cmd.Description = "List the " + collection + " that the operator may see"
	c := newConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return ask(c, func(ctx context.Context, client *adminclient.Client) (*admin.Objects, error) {
			return client.List(ctx, collection)
		}, adminclient.PrintObjects)
	}}
}

func getCommand(kind, collection string) command {
	var name string
	cmd := flaggy.NewSubcommand("get")
	cmd.Description = "Show one " + kind + " with its version"
	addName(cmd, &name, kind)
	c := newConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return ask(c, func(ctx context.Context, client *adminclient.Client) (*admin.Object, error) {
			return client.Get(ctx, collection, name)
		}, adminclient.PrintObject)
	}}
}

func objectStatusCommand(kind, collection string) command {
	var name string
	cmd := flaggy.NewSubcommand("status")
	cmd.Description = "Show on which hosts the newest version of one " + kind + " is in force"
	addName(cmd, &name, kind)
	c := newConnection(cmd)
	return command{Subcommand: cmd, run: func() error {
		return ask(c, func(ctx context.Context, client *adminclient.Client) (*admin.ObjectStatus, error) {
			return client.ObjectStatus(ctx, collection, name)
		}, adminclient.PrintObjectStatus)
	}}
}

func addName(cmd *flaggy.Subcommand, name *string, kind string) {
	cmd.AddPositionalValue(name, "NAME", 1, true, "name of the "+kind)
}
