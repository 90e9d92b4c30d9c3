package main

import (
	"context"
	"encoding/json"
	"io"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

// editCommand holds the arguments of a command that changes an object.
type editCommand struct {
	*adminConnection
	collection string
	name       string
	version    uint64
	path       string
	fields     []string
}

const (
	fileHelp    = "file with the whole object as JSON, -: standard input"
	fieldHelp   = "PATH=VALUE, may be given several times; dots in PATH select members of nested objects, VALUE is JSON or text, PATH= removes the field"
	versionHelp = "change the object only if this is its version; 0 stands for the version that the host knows"
)

// newEditCommand adds the arguments that all edit commands share.
func newEditCommand(cmd *flaggy.Subcommand, kind, collection string) *editCommand {
	e := &editCommand{adminConnection: newAdminConnection(cmd), collection: collection}
	addNameArgument(cmd, &e.name, kind)
	return e
}

func createCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand("create")
	cmd.Description = "Create a " + kind + " from a file, from fields or from both"
	e := newEditCommand(cmd, kind, collection)
	cmd.String(&e.path, "v", "value", fileHelp)
	cmd.StringSlice(&e.fields, "f", "field", fieldHelp)
	return command{Subcommand: cmd, run: e.create}
}

func setCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand("set")
	cmd.Description = "Change fields of a " + kind + ", or replace it from a file"
	e := newEditCommand(cmd, kind, collection)
	cmd.String(&e.path, "v", "value", fileHelp)
	cmd.StringSlice(&e.fields, "f", "field", fieldHelp)
	cmd.UInt64(&e.version, "i", "if-version", versionHelp)
	return command{Subcommand: cmd, run: e.set}
}

func deleteCommand(kind, collection string) command {
	cmd := flaggy.NewSubcommand("delete")
	cmd.Description = "Delete a " + kind
	e := newEditCommand(cmd, kind, collection)
	cmd.UInt64(&e.version, "i", "if-version", versionHelp)
	return command{Subcommand: cmd, run: func() error {
		return e.sendEdit(func(ctx context.Context, client *adminclient.Client) (*admin.EditResult, error) {
			return client.Remove(ctx, e.collection, e.name, e.version)
		})
	}}
}

func (e *editCommand) create() error {
	value := json.RawMessage("{}")
	if e.path != "" {
		var err error
		if value, err = readValue(e.path); err != nil {
			return err
		}
	}
	return e.sendEdit(func(ctx context.Context, client *adminclient.Client) (*admin.EditResult, error) {
		return client.Create(ctx, e.collection, e.name, value, e.fields)
	})
}

func (e *editCommand) set() error {
	if (e.path == "") == (len(e.fields) == 0) {
		return &usageError{"exactly one of --value FILE and --field PATH=VALUE is required"}
	}
	if e.path == "" {
		return e.sendEdit(func(ctx context.Context, client *adminclient.Client) (*admin.EditResult, error) {
			return client.SetIfVersion(ctx, e.collection, e.name, e.version, e.fields)
		})
	}
	value, err := readValue(e.path)
	if err != nil {
		return err
	}
	return e.sendEdit(func(ctx context.Context, client *adminclient.Client) (*admin.EditResult, error) {
		return client.Replace(ctx, e.collection, e.name, e.version, value)
	})
}

func (e *editCommand) sendEdit(call adminCall[*admin.EditResult]) error {
	return callAndPrint(e.adminConnection, call, func(w io.Writer, edited *admin.EditResult) error {
		return adminclient.PrintEditResult(w, e.name, edited)
	})
}
