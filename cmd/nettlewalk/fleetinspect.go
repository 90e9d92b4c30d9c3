package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/capacity"
	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/quota"
	"nettlewalk.example/nettlewalk/internal/relay"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fleetDump is the JSON state dump of a host on the users' platform.
type fleetDump struct {
	Host          string        `json:"host"`
	Ready         bool          `json:"ready"`
	Leaving       bool          `json:"leaving"`
	Sessions      int           `json:"sessions"`
	Configuration uint64        `json:"configuration"`
	Register      uint64        `json:"register"`
	StoreEra      uint64        `json:"store_era"` // number of times that the store came back from an older copy
	ReadMS        int64         `json:"configuration_read_ms_ago"`
	StoreUp       bool          `json:"store_up"`
	Connected     bool          `json:"connected"` // in contact with most failure domains
	Hosts         []gossip.Host `json:"hosts"`
	Duties        []duty.Claim  `json:"duties"`
	Groups        []group.Dump  `json:"groups"`
	// Voters has the groups on whose commits this host votes. The voters of each group are
	// in its duty's claim.
	Voters map[topology.GroupID]confirm.State `json:"voters"`
	// DelayedPromotions has the groups whose leader this host would replace if that were safe.
	DelayedPromotions []promotion.Delay `json:"delayed_promotions,omitempty"`
	// Keys is absent if the configuration has no customers.
	Keys *relay.KeysDump `json:"keys,omitempty"`
	// Leases are those of this host, Grants those that it granted. Both are absent
	// if primaries are fenced.
	Leases []lease.Dump      `json:"leases,omitempty"`
	Grants []lease.GrantDump `json:"grants,omitempty"`
	// CrossDomain is absent if no prices are set.
	CrossDomain []locality.Dump `json:"cross_domain,omitempty"`
	// Quota has the customers' limits with this host's tokens. It is absent if rates
	// aren't bounded.
	Quota *quota.Dump `json:"quota,omitempty"`
	// Capacity has the groups whose targets' capacity this host divides now.
	Capacity []capacity.Dump `json:"capacity,omitempty"`
	// Retries is absent if the retry budget isn't in force.
	Retries *relay.RetriesDump `json:"retries,omitempty"`
	// RetryTimes is absent if refused callers aren't told when to return.
	RetryTimes *relay.RetryTimesDump `json:"retry_times,omitempty"`
}

func (h *fleetHost) dump() fleetDump {
	d := fleetDump{
		Host: string(h.settings.Host), Ready: h.isReady(), Leaving: h.leaving.Load(), Sessions: h.relay.Sessions(),
		ReadMS: msSinceRead(h.catalog.ReadTimes()), Connected: h.gossip.Connected(),
		Hosts: h.gossip.Hosts(), Duties: h.duty.Claims(), Groups: h.groups.Dump(), Voters: h.voters.Dump(),
		Keys: h.relay.DumpKeys(), Retries: h.relay.DumpRetries(), RetryTimes: h.relay.DumpRetryTimes(),
	}
	d.DelayedPromotions = h.watchers.Delays()
	configuration, register := h.catalog.Versions()
	d.Configuration, d.Register, d.StoreEra = configuration, register.Revision, h.store.Era()
	d.StoreUp, _ = h.store.Reachable()
	if h.quota != nil {
		d.Quota = h.quota.Dump()
	}
	d.Capacity = h.capacity.Dump()
	if h.lessee != nil {
		d.Leases, d.Grants = h.lessee.Dump(), h.grantor.Dump()
	}
	d.CrossDomain = h.locality.Dump()
	return d
}

func msSinceRead(r catalog.ReadTimes) int64 { return steady.Now().Sub(r.Configuration).Milliseconds() }

// inspectionHandler returns the handler that serves metrics and the state dump.
func (h *fleetHost) inspectionHandler() http.Handler {
	h.registerGauges()
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(h.dump()); err != nil {
			h.log.V(1).Info("failed to write dump", "error", err.Error())
		}
	})
	return mux
}

// registerGauges registers the gauges that read the current state when scraped.
func (h *fleetHost) registerGauges() {
	gauges := map[string]func() float64{
		"nettlewalk_sessions":              func() float64 { return float64(h.relay.Sessions()) },
		"nettlewalk_configuration_version": func() float64 { v, _ := h.catalog.Versions(); return float64(v) },
		"nettlewalk_configuration_read_seconds_ago": func() float64 {
			return float64(msSinceRead(h.catalog.ReadTimes())) / 1000
		},
		"nettlewalk_configuration_confirmed_seconds_ago": func() float64 {
			return steady.Now().Sub(h.catalog.ConfirmedAt()).Seconds()
		},
		"nettlewalk_configuration_unconfirmed": func() float64 { return boolGauge(h.relay.KeyTrust() > keys.Confirmed) },
		"nettlewalk_keys_distrusted":           func() float64 { return boolGauge(h.relay.KeyTrust() == keys.Distrusted) },
		"nettlewalk_hosts_live":                func() float64 { return float64(len(h.gossip.Live())) },
		"nettlewalk_connected":                 func() float64 { return boolGauge(h.gossip.Connected()) },
		"nettlewalk_ready":                     func() float64 { return boolGauge(h.isReady()) },
		"nettlewalk_duties_held":               func() float64 { return float64(h.duty.HeldCount()) },
		"nettlewalk_groups_leaderless":         func() float64 { n, _ := h.groups.Leaderless(); return float64(n) },
		"nettlewalk_promotions_delayed":        func() float64 { return float64(len(h.watchers.Delays())) },
		"nettlewalk_promotion_delay_seconds":   h.longestPromotionDelay,
		"nettlewalk_connections_open":          func() float64 { return h.sumOffers(func(o group.Offer) int { return o.Open }) },
		"nettlewalk_connections_idle":          func() float64 { return h.sumOffers(func(o group.Offer) int { return o.Idle }) },
		"nettlewalk_anchor_age_seconds":        h.oldestAnchorAge,
		"nettlewalk_capacity_coordinated":      func() float64 { return float64(h.capacity.Coordinated()) },
		"nettlewalk_store_era":                 func() float64 { return float64(h.store.Era()) },
		"nettlewalk_store_up":                  func() float64 { up, _ := h.store.Reachable(); return boolGauge(up) },
	}
	for name, read := range gauges {
		metrics.GetOrCreateGauge(name, read)
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (h *fleetHost) sumOffers(count func(group.Offer) int) float64 {
	n := 0
	for _, o := range h.groups.Offers() {
		n += count(o)
	}
	return float64(n)
}

// longestPromotionDelay returns for how many seconds the promotion that has been delayed longest
// has been, 0 if none is.
func (h *fleetHost) longestPromotionDelay() float64 {
	if delays := h.watchers.Delays(); len(delays) > 0 {
		return float64(delays[0].SinceMS) / 1000
	}
	return 0
}

// oldestAnchorAge returns the age in seconds of the oldest anchor of any group,
// or -1 if a group has no anchor.
func (h *fleetHost) oldestAnchorAge() float64 {
	oldest := 0.0
	for _, d := range h.groups.Dump() {
		if d.AnchorAgeMS < 0 {
			return -1
		}
		oldest = max(oldest, float64(d.AnchorAgeMS)/1000)
	}
	return oldest
}

// logStoreTransitions logs when the store becomes unreachable and reachable again.
func (h *fleetHost) logStoreTransitions(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	wasUp := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		up, since := h.store.Reachable()
		if up == wasUp {
			continue
		}
		wasUp = up
		message := "store unreachable"
		if up {
			message = "store reachable again"
		}
		h.log.Info(message, "ms_ago", time.Since(since).Milliseconds(), "configuration_read_ms_ago", msSinceRead(h.catalog.ReadTimes()))
	}
}

// inspectTimeout limits the HTTP request of the inspect command.
const inspectTimeout = 3 * time.Second

func inspectCommand() command {
	var addr string
	cmd := flaggy.NewSubcommand("inspect")
	cmd.Description = "Print the state of a host on the users' platform as JSON"
	cmd.AddPositionalValue(&addr, "ADDRESS", 1, true, "IP:PORT of the host's metrics listener")
	return command{Subcommand: cmd, run: func() error { return inspect(addr) }}
}

func inspect(addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return &usageError{addr + ": must be IP:PORT"}
	}
	client := http.Client{Timeout: inspectTimeout}
	resp, err := client.Get("http://" + addr + "/dump")
	if err != nil {
		return errors.Wrap(err, "inspect")
	}
	defer resp.Body.Close()
	_, err = io.Copy(os.Stdout, resp.Body)
	return errors.Wrap(err, "inspect")
}
