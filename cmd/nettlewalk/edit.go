package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

// edit holds the arguments of a command that changes an object.
type edit struct {
	*connection
	collection string
	name       string
	version    uint64
	path       string
	fields     []string
}

const (
	fileHelp    = "file with the whole object as JSON, -: standard input"
	fieldHelp   = "PATH=VALUE, may be given several times; dots in PATH lead into an object, VALUE is JSON or text, PATH= removes the field"
	versionHelp = "change the object only if this is its version; 0 stands for the one that the host knows"
)

// newEdit adds the arguments that every edit has.
func newEdit(cmd *flaggy.Subcommand, kind, collection string) *edit {
	e := &edit{connection: newConnection(cmd), collection: collection}
	addName(cmd, &e.name, kind)
	return e
}

func createCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand("create")
	cmd.Description = "Create a " + kind + " from a file, from fields or from both"
	e := newEdit(cmd, kind, collection)
	cmd.String(&e.path, "v", "value", fileHelp)
	cmd.StringSlice(&e.fields, "f", "field", fieldHelp)
	return command{Subcommand: cmd, run: e.create}
}

func setCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand("set")
	cmd.Description = "Change fields of a " + kind + ", or replace it from a file"
	e := newEdit(cmd, kind, collection)
	cmd.String(&e.path, "v", "value", fileHelp)
	cmd.StringSlice(&e.fields, "f", "field", fieldHelp)
	cmd.UInt64(&e.version, "i", "if-version", versionHelp)
	return command{Subcommand: cmd, run: e.set}
}

func deleteCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand("delete")
	cmd.Description = "Delete a " + kind
	e := newEdit(cmd, kind, collection)
	cmd.UInt64(&e.version, "i", "if-version", versionHelp)
	return command{Subcommand: cmd, run: func() error {
		return e.apply(func(ctx context.Context, client *adminclient.Client) (*admin.Edited, error) {
			return client.Remove(ctx, e.collection, e.name, e.version)
		})
	}}
}

func (e *edit) create() error {
	value := json.RawMessage("{}")
	if e.path != "" {
		var err error
		if value, err = readValue(e.path); err != nil {
			return err
		}
	}
	return e.apply(func(ctx context.Context, client *adminclient.Client) (*admin.Edited, error) {
		return client.Create(ctx, e.collection, e.name, value, e.fields)
	})
}

func (e *edit) set() error {
	if (e.path == "") == (len(e.fields) == 0) {
		return &badArgument{"want either --value FILE or --field PATH=VALUE"}
	}
	if e.path == "" {
		return e.apply(func(ctx context.Context, client *adminclient.Client) (*admin.Edited, error) {
			return client.SetVersion(ctx, e.collection, e.name, e.version, e.fields)
		})
	}
	value, err := readValue(e.path)
	if err != nil {
		return err
	}
	return e.apply(func(ctx context.Context, client *adminclient.Client) (*admin.Edited, error) {
		return client.Replace(ctx, e.collection, e.name, e.version, value)
	})
}

func (e *edit) apply(send request[*admin.Edited]) error {
	return ask(e.connection, send, func(w io.Writer, edited *admin.Edited) error {
		return adminclient.PrintEdited(w, e.name, edited)
	})
}
