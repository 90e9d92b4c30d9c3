package main

import (
	"context"
	"os"
	"time"

	"nettlewalk.example/nettlewalk/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes, since it may change without a SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings file on SIGHUP and when its modification
// time changes, until ctx is canceled. hangup receives the SIGHUPs.
func (h *fleetHost) watchSettings(ctx context.Context, hangup <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(h.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			h.reload("signal")
		case <-ticker.C:
			if current := modTime(h.settingsPath); !current.Equal(lastModified) {
				lastModified = current
				h.reload("file changed")
			}
		}
	}
}

// modTime returns the modification time of the file, or the zero time if the
// file can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the only setting that can change at run time, the seeds. An
// invalid file changes nothing, and a changed address takes effect only after a
// restart.
func (h *fleetHost) reload(cause string) {
	s, err := platform.LoadSettings(h.settingsPath)
	if err != nil {
		h.log.Error(err, "failed to reload settings", "cause", cause)
		return
	}
	h.gossip.AddHosts(hostIDs(s.Seeds)...)
	h.log.Info("settings reloaded", "cause", cause, "addresses_changed", s.Addresses() != h.settings.Addresses())
}
