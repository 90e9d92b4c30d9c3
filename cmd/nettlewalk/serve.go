package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"
)

func serveCommand() command {
	var path string
	cmd := flaggy.NewSubcommand("serve")
	cmd.Description = "Run a host until SIGTERM or SIGINT, then leave without cutting a request"
	cmd.String(&path, "c", "config", "settings file")
	return command{Subcommand: cmd, run: func() error { return serve(path) }}
}

func serve(path string) error {
	s, err := loadSettings(path)
	if err != nil {
		return err
	}
	setCollection()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := newLogger(s.Log.Level).WithValues("instance", s.Host.ID, "domain", s.Host.Domain)
	return newHost(s, log).run(ctx)
}

// newLogger writes JSON lines to standard error.
func newLogger(level int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-level)}))
}
