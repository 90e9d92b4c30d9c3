package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/eventlog"
	"nettlewalk.example/nettlewalk/platform"
)

func serveCommand() command {
	var path string
	var metricsPort int
	var options serveOptions
	features := newFeatureFlags()
	cmd := flaggy.NewSubcommand("serve")
	cmd.Description = "Run a host until SIGTERM or SIGINT, then drain it before exit"
	cmd.String(&path, "c", "config", "settings file; default: the file named by "+platform.ConfigPathEnv+", in the platform's format")
	cmd.Int(&metricsPort, "m", "metrics-port", "port of metrics and the state dump on the platform; 0: the first internal port")
	cmd.Float64(&options.prices.Gigabyte, "", "cross-domain-byte-price", "on the platform: price of one gigabyte sent between failure domains, in the currency of the delay price; 0 and no delay price: routing by cost is off")
	cmd.Float64(&options.prices.Second, "", "cross-domain-delay-price", "on the platform: price of one second that one caller waits. Only the ratio matters: with 0.02 for a gigabyte and 0.0004 for a second, 1 kB is worth 50 us of waiting")
	features.addTo(cmd)
	return command{Subcommand: cmd, run: func() error {
		if err := features.apply(&options); err != nil {
			return err
		}
		if err := options.prices.Validate(); err != nil {
			return &usageError{err.Error()}
		}
		if onPlatform(path) {
			return serveOnPlatform(metricsPort, options)
		}
		return serve(path, options)
	}}
}

// onPlatform reports whether to use the platform's settings file: no path is
// given and the environment names that file.
func onPlatform(path string) bool { return path == "" && os.Getenv(platform.ConfigPathEnv) != "" }

// logFlushTimeout limits how long process exit waits for the last log lines to be written.
const logFlushTimeout = 200 * time.Millisecond

// serveOnPlatform runs a host with the platform's settings file.
func serveOnPlatform(metricsPort int, options serveOptions) error {
	// Without a handler SIGHUP ends the process, also at its start and while it drains.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	path := os.Getenv(platform.ConfigPathEnv)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if metricsPort != 0 {
		s.SetMetricsPort(metricsPort)
	}
	setGCPercent(platformGCPercent)
	setMemoryLimit(s.MemoryBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	out := eventlog.NewWriter(os.Stdout)
	defer out.Flush(logFlushTimeout)
	log := eventlog.New(out, 0).WithValues("host", s.Host)
	return newFleetHost(path, s, options, log).run(ctx, hangup)
}

func serve(path string, options serveOptions) error {
	s, err := loadSettings(path)
	if err != nil {
		return err
	}
	setGCPercent(defaultGCPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log := newLogger(s.Log.Level).WithValues("instance", s.Host.ID, "domain", s.Host.Domain)
	return newHost(s, options.retryTimes, log).run(ctx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: slog.Level(-level)}))
}
