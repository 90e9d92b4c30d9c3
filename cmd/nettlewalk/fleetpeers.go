package main

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// offers lists this host's connections for the others.
func (h *fleetHost) offers() []gossip.Offer {
	var list []gossip.Offer
	for _, o := range h.groups.Offers() {
		list = append(list, gossip.Offer(o))
	}
	return list
}

// heardOffers learns from another host which targets led last.
func (h *fleetHost) heardOffers(offers []gossip.Offer, at time.Time) {
	for _, o := range offers {
		if g := h.groups.Group(o.Group); g != nil && o.Last != "" {
			g.HeardLeader(o.Last, at.Add(-o.ProvedAgo))
		}
	}
}

// forwarding implements relay.Peers.
type forwarding struct {
	*peer.Client
	host *fleetHost
}

// Offers implements relay.Peers.
func (f *forwarding) Offers(id topology.GroupID) []placement.Offer {
	var list []placement.Offer
	for _, o := range f.host.gossip.Offers(id) {
		list = append(list, placement.Offer{Host: o.Host, Near: o.Domain == f.host.settings.Domain, Leads: o.Leads, Load: o.Load, At: o.At})
	}
	return append(list, f.silentHolders(id, list)...)
}

// silentHolders returns the holders of a group that offered nothing lately. In a
// large fleet a host hears of each other one only every few seconds; who holds
// a group follows from the list of hosts.
func (f *forwarding) silentHolders(id topology.GroupID, known []placement.Offer) []placement.Offer {
	var list []placement.Offer
	for _, host := range f.host.holdersOf(id) {
		offered := slices.ContainsFunc(known, func(o placement.Offer) bool { return o.Host == host.ID })
		if !offered && host.ID != topology.HostID(f.host.settings.Peers) {
			list = append(list, placement.Offer{Host: host.ID, Near: host.Domain == f.host.settings.Domain, Leads: true})
		}
	}
	return list
}

// peerKey is the key by which hosts of one deployment know each other. The
// platform gives them no secret.
func peerKey(s *platform.Settings) []byte {
	sum := fnv.New128a()
	_, _ = sum.Write([]byte(s.Store + " " + s.Promotions))
	return sum.Sum(nil)
}

func hostIDs(addrs []string) []topology.HostID {
	ids := make([]topology.HostID, 0, len(addrs))
	for _, a := range addrs {
		ids = append(ids, topology.HostID(a))
	}
	return ids
}

// shareOf returns how many connections to a target this host keeps open. The
// holders of a group are the same for all of its targets: whoever reads at a
// replica also knows the leader's positions.
func (h *fleetHost) shareOf(t topology.Target, limit int) int {
	_, size := share.Plan(limit, len(h.gossip.Sharers().Hosts))
	holders := h.holdersOf(t.Group)
	if holders != nil && !slices.ContainsFunc(holders, h.isSelf) {
		return 0
	}
	if !h.gossip.Settled(lingerTime) {
		return 1
	}
	return size
}

func (h *fleetHost) isSelf(other topology.Host) bool {
	return other.ID == topology.HostID(h.settings.Peers)
}

// holdersOf returns the hosts that hold a group's connections for the others,
// nil if every host holds its own. The list isn't to be changed.
func (h *fleetHost) holdersOf(id topology.GroupID) []topology.Host {
	c := h.catalog.Configuration()
	if c == nil {
		return nil
	}
	sharers := h.gossip.Sharers()
	n, _ := share.Plan(c.Groups[id].MaxConnections, len(sharers.Hosts))
	if n >= len(sharers.Hosts) {
		return nil
	}
	return h.holders.Of(id, n, sharers.Hosts, sharers.Version)
}

// suspect reports a target that can't be reached to the holder of the duty.
func (h *fleetHost) suspect(id topology.GroupID, target topology.TargetID, _ statement.DialOutcome) {
	holder, ok := h.duty.Holder(id)
	if !ok {
		return
	}
	silence := promotion.Silence{From: topology.HostID(h.settings.Peers), Group: id, Target: target}
	if holder == silence.From {
		h.watchers.Take(silence)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if err := promotion.Send(ctx, h.peers, holder, silence); err != nil {
			h.log.V(1).Info("silence not reported", "group", id, "target", target, "error", err.Error())
		}
	}()
}
