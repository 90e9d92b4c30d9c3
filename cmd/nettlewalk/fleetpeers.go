package main

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// connectionOffers returns the connections that this host offers to its peers.
func (h *fleetHost) connectionOffers() []gossip.Offer {
	var list []gossip.Offer
	for _, o := range h.groups.Offers() {
		list = append(list, gossip.Offer(o))
	}
	return list
}

// learnLeaders records from the offers of another host which target led each
// group last.
func (h *fleetHost) learnLeaders(offers []gossip.Offer, at time.Time) {
	for _, o := range offers {
		if g := h.groups.Group(o.Group); g != nil && o.Last != "" {
			g.NoteReportedLeader(o.Last, at.Add(-o.ProvedAgo))
		}
	}
}

// relayPeers implements relay.Peers.
type relayPeers struct {
	*peer.Client
	host *fleetHost
}

// Offers implements relay.Peers. It returns the offers for a group's connections.
// For each holder without a recent offer it adds the offer that the holder is
// expected to make.
func (p *relayPeers) Offers(id topology.GroupID) []placement.Offer {
	var list []placement.Offer
	for _, o := range p.host.gossip.Offers(id) {
		list = append(list, placement.Offer{Host: o.Host, Domain: o.Domain, SameDomain: o.Domain == p.host.settings.Domain, Leads: o.Leads, Load: o.Load, RequestedAt: o.ReceivedAt})
	}
	return append(list, p.holdersWithoutOffer(id, list)...)
}

// holdersWithoutOffer returns an expected offer for each of the group's holders
// that has no offer in known. In a large fleet, gossip from each host arrives
// only every few seconds, but the holders of a group follow from the list of
// hosts alone.
func (p *relayPeers) holdersWithoutOffer(id topology.GroupID, known []placement.Offer) []placement.Offer {
	var list []placement.Offer
	for _, host := range p.host.connectionHolders(id) {
		offered := slices.ContainsFunc(known, func(o placement.Offer) bool { return o.Host == host.ID })
		if !offered && host.ID != topology.HostID(p.host.settings.PeerAddr) {
			list = append(list, placement.Offer{Host: host.ID, Domain: host.Domain, SameDomain: host.Domain == p.host.settings.Domain, Leads: true})
		}
	}
	return list
}

// peerKey returns the key that hosts of the same deployment share. It is derived
// from public settings, since the platform provides no secret.
func peerKey(s *platform.Settings) []byte {
	sum := fnv.New128a()
	_, _ = sum.Write([]byte(s.StoreAddr + " " + s.PromotionAddr))
	return sum.Sum(nil)
}

func hostIDs(addrs []string) []topology.HostID {
	ids := make([]topology.HostID, 0, len(addrs))
	for _, a := range addrs {
		ids = append(ids, topology.HostID(a))
	}
	return ids
}

// hasCustomers reports whether connections belong to customers. c may be nil.
func hasCustomers(c *catalog.Configuration) bool { return c != nil && len(c.Customers) > 0 }

// connectionPlan returns how many of the hosts hold connections to a target with the limit,
// and how many each of them keeps open. c may be nil.
func connectionPlan(c *catalog.Configuration, limit, hosts int) (holders, size int) {
	if hasCustomers(c) {
		return share.PlanForCustomers(limit, hosts)
	}
	return share.Plan(limit, hosts)
}

// connectionShare returns how many connections to a target this host keeps open.
// The holders of a group are the same for all of its targets, so that a host
// that reads from a replica also knows the leader's positions.
func (h *fleetHost) connectionShare(t topology.Target, limit int) int {
	sharers := h.gossip.Sharers()
	_, size := connectionPlan(h.catalog.Configuration(), limit, len(sharers.Hosts))
	holders := h.connectionHolders(t.Group)
	planned := share.Planned{Size: size, Holder: holders == nil || slices.ContainsFunc(holders, h.isSelf)}
	fleet := share.Fleet{Hosts: len(sharers.Hosts), Recent: sharers.Recent, JoinedFor: sharers.JoinedFor, Unchanged: steady.Now().Sub(sharers.ChangedAt)}
	return share.Allowed(limit, planned, fleet)
}

func (h *fleetHost) isSelf(other topology.Host) bool {
	return other.ID == topology.HostID(h.settings.PeerAddr)
}

// connectionHolders returns the hosts that hold a group's connections on behalf
// of all hosts, or nil if every host holds its own. Callers must not modify the
// returned slice.
func (h *fleetHost) connectionHolders(id topology.GroupID) []topology.Host {
	c := h.catalog.Configuration()
	if c == nil {
		return nil
	}
	return h.holdersOf(id, c, h.gossip.Sharers())
}

// holdersOf is connectionHolders for a configuration and a list of hosts.
func (h *fleetHost) holdersOf(id topology.GroupID, c *catalog.Configuration, sharers gossip.Sharers) []topology.Host {
	n, _ := connectionPlan(c, c.Groups[id].MaxConnections, len(sharers.Hosts))
	if n >= len(sharers.Hosts) {
		return nil
	}
	switch {
	case hasCustomers(c):
		return h.holders.WeightedForGroup(id, n, sharers.Hosts, sharers.Version)
	case h.locality != nil:
		return h.holders.ForGroupByDomain(id, n, sharers.Hosts, sharers.Version)
	}
	return h.holders.ForGroup(id, n, sharers.Hosts, sharers.Version)
}

// reportUnreachable reports an unreachable target to the host that holds the
// group's duty, which is responsible for the group's failover.
func (h *fleetHost) reportUnreachable(id topology.GroupID, target topology.TargetID, _ statement.DialOutcome) {
	holder, ok := h.duty.Holder(id)
	if !ok {
		return
	}
	report := promotion.UnresponsiveReport{From: topology.HostID(h.settings.PeerAddr), Group: id, Target: target}
	if holder == report.From {
		h.watchers.HandleReport(report)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := promotion.SendReport(ctx, h.peers, holder, report); err != nil {
			h.log.V(1).Info("failed to report unreachable target", "group", id, "target", target, "error", err.Error())
		}
	}()
}
