package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"nettlewalk.example/nettlewalk/platform"
)

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 5 * time.Second

// followSettings reloads the settings file on SIGHUP and when it changes, until
// ctx ends.
func (h *fleetHost) followSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	seen := modified(h.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			h.reload("signal")
		case <-ticker.C:
			if at := modified(h.path); !at.Equal(seen) {
				seen = at
				h.reload("file changed")
			}
		}
	}
}

// modified returns when the file was changed last, the zero time if it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes what can change while the host runs: the seeds. A file with
// faults changes nothing; a new address needs a restart.
func (h *fleetHost) reload(cause string) {
	s, err := platform.LoadSettings(h.path)
	if err != nil {
		h.log.Error(err, "settings not reloaded", "cause", cause)
		return
	}
	h.gossip.Add(hostIDs(s.Seeds)...)
	h.log.Info("settings reloaded", "cause", cause, "addresses_changed", s.Addresses() != h.settings.Addresses())
}
