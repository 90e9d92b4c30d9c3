package gossip

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// exchange sends a digest to the host and merges its answer.
func (g *Gossip) exchange(ctx context.Context, id topology.HostID) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	digest := g.buildDigest(id)
	digest.clearAges()
	var reply DigestReply
	sentAt := g.now()
	if err := g.opts.Caller.Call(ctx, id, exchangeMethod, &digest, &reply); err != nil {
		countFailedExchange(ctx, err)
		g.opts.Log.V(1).Info("gossip exchange failed", "addr", id, "error", err.Error())
		return
	}
	g.mergeDigest(&reply.Digest)
	g.mergeAges(&reply.Digest, sentAt)
	g.recordAnswer(id, sentAt)
	if len(reply.Leases) > 0 && g.opts.OnLeases != nil {
		g.opts.OnLeases(reply.Leases, sentAt)
	}
	g.offerConfiguration(reply.NewConfiguration, reply.From.Name)
	g.offerRegistry(reply.NewRegister, reply.From.Name)
	g.wakeFetchers(&reply.Digest)
}

// recordAnswer records that the host answered a request sent at sentAt.
func (g *Gossip) recordAnswer(id topology.HostID, sentAt time.Time) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.hosts[id]
	if k == nil {
		return
	}
	k.contact.Record(sentAt, now)
	if k.host.Leaving {
		return
	}
	domain := g.contacts[k.host.Domain]
	if domain == nil {
		domain = &Contact{}
		g.contacts[k.host.Domain] = domain
	}
	domain.Record(sentAt, now)
}

// buildDigest returns the digest for the host at that address. Hosts and Claims
// are omitted if that host's latest digest had the same checksum.
func (g *Gossip) buildDigest(recipient topology.HostID) Digest {
	d := Digest{Claims: g.claims.Claims(), Offers: g.opts.Offers()}
	confirmedAt := g.opts.Catalog.ConfirmedAt() // first: a version that arrives now may be newer than that time
	registerConfirmedAt := g.opts.Catalog.RegistryConfirmedAt()
	d.Configuration, d.Register = g.opts.Catalog.Versions()
	d.FetchesSnapshots = true
	if g.opts.StoreEra != nil {
		d.StoreEra = g.opts.StoreEra()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	d.From = g.self
	d.From.UpFor = g.now().Sub(g.startedAt)
	now := g.now()
	reads := g.opts.Catalog.ReadTimes()
	d.ConfigurationRead, d.RegisterRead = now.Sub(reads.Configuration), now.Sub(reads.Registry)
	d.ConfigurationConfirmed, d.RegisterConfirmed = max(1, now.Sub(confirmedAt)), max(1, now.Sub(registerConfirmedAt))
	d.Hosts = g.announcedHosts()
	d.Places = g.announcedPlaces
	d.Heard = g.heardAges(d.Claims, now)
	d.Sum = checksum(g.announcedHash, d.Claims)
	if k := g.hosts[recipient]; k != nil && k.lastSum == d.Sum {
		d.Hosts, d.Places, d.Claims = nil, nil, nil
	}
	return d
}

// heardAges returns the times since the holders of duties and, in a large fleet,
// a random sample of the other hosts were last seen. The caller holds g.mu.
func (g *Gossip) heardAges(claims []duty.Claim, now time.Time) []LastSeen {
	var list []LastSeen
	add := func(id topology.HostID) {
		k := g.hosts[id]
		if k == nil || k.lastSeen().IsZero() {
			return
		}
		if age := (now.Sub(k.lastSeen()) + heardAgeUnit - 1) / heardAgeUnit; age < maxHeardAge {
			list = append(list, LastSeen{Host: hashAddr(id), Ago: uint16(age)})
		}
	}
	for _, c := range claims {
		add(c.Holder)
	}
	if len(g.hosts) <= largeFleetThreshold {
		return list // each round contacts most of them directly
	}
	sampled := 0
	for id := range g.hosts { // map order is random
		if sampled++; sampled > heardSampleSize {
			break
		}
		add(id)
	}
	return list
}

// announcedHosts returns the hosts that digests name as running: those that were heard from,
// by this host or by others, and aren't silent. If each host named only those that it has
// heard from itself, lists would differ for half a minute after 139 hosts have started, and
// be sent in every message. Relayed ages never get younger, so that hosts don't keep a dead
// one alive for each other. The list, announcedPlaces and announcedHash are kept until one
// of these hosts changes. The caller holds g.mu and doesn't modify the list.
func (g *Gossip) announcedHosts() []topology.HostID {
	if g.announced != nil {
		return g.announced
	}
	list := make([]topology.HostID, 0, len(g.hosts))
	for id, k := range g.hosts {
		if !k.lastSeen().IsZero() && !k.silent {
			list = append(list, id)
		}
	}
	g.announcedPlaces = make([]HostPlace, 0, len(list))
	for _, id := range list {
		g.announcedPlaces = append(g.announcedPlaces, g.hosts[id].place())
	}
	g.announced, g.announcedHash = list, hashHosts(append(slices.Clone(list), g.self.Addr))
	return list
}

// hashHosts returns a hash of the hosts. It sorts them.
func hashHosts(hosts []topology.HostID) xxhash.Digest {
	var hash xxhash.Digest
	slices.Sort(hosts)
	for _, h := range hosts {
		_, _ = hash.WriteString(string(h) + "\n")
	}
	return hash
}

// checksum returns a hash of a digest's hosts, including its sender, of which hosts is the
// hash already, and of its claims.
func checksum(hosts xxhash.Digest, claims []duty.Claim) uint64 {
	if !slices.IsSortedFunc(claims, compareGroups) {
		claims = slices.SortedFunc(slices.Values(claims), compareGroups)
	}
	var line []byte
	for _, c := range claims {
		line = append(append(line[:0], c.Group...), ' ')
		line = append(strconv.AppendUint(line, c.Token, 10), ' ')
		line = append(strconv.AppendBool(line, c.Released), ' ')
		line = strconv.AppendUint(line, c.Update, 10)
		if c.Electorate.Epoch > 0 { // without one, hosts of earlier versions compute the same
			line = strconv.AppendUint(append(line, ' '), c.Electorate.Epoch, 10)
		}
		line = append(line, '\n')
		_, _ = hosts.Write(line)
	}
	return hosts.Sum64()
}

func compareGroups(a, b duty.Claim) int { return cmp.Compare(a.Group, b.Group) }

// mergeDigest merges the hosts and claims of another host's digest.
func (g *Gossip) mergeDigest(d *Digest) {
	if g.opts.OnStoreEra != nil {
		g.opts.OnStoreEra(d.StoreEra)
	}
	g.addReported(d.Hosts, d.Places)
	g.recordSender(d)
	for _, c := range d.Claims {
		g.claims.Learn(c)
	}
}

// mergeAges merges the offers and ages in the answer to a request sent at sentAt.
// Ages are counted back from sentAt, so a resulting time is never later than the
// event itself. The ages in a request aren't used: its transit time is unknown,
// and relayed events would look younger by that time at every hop.
func (g *Gossip) mergeAges(d *Digest, sentAt time.Time) {
	g.opts.OnOffers(d.Offers, sentAt)
	g.mergeHeard(d.Heard, sentAt)
	g.opts.Catalog.RecordReadTimes(catalog.ReadTimes{Configuration: sentAt.Add(-d.ConfigurationRead), Registry: sentAt.Add(-d.RegisterRead)})
	confirmed := d.ConfigurationConfirmed
	if confirmed == 0 {
		// A host of an earlier version may know of a read before it has the version that the
		// read found, so that this confirms too much for that time. Such a host checks no
		// keys at all, and without it strict hosts would refuse every key until most of the
		// fleet is replaced.
		confirmed = d.ConfigurationRead
	}
	g.opts.Catalog.RecordConfirmation(d.Configuration, sentAt.Add(-confirmed))
	// A host of an earlier version confirms nothing. Its reads may be of a later register
	// than it has, and the other hosts know when they were made.
	if d.RegisterConfirmed > 0 {
		g.opts.Catalog.RecordRegistryConfirmation(d.Register, sentAt.Add(-d.RegisterConfirmed))
	}
}

// recordSender records that the sender of the digest was heard from just now.
func (g *Gossip) recordSender(d *Digest) {
	sender := d.From
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if sender.Addr == g.self.Addr {
		return
	}
	if g.firstHeardAt.IsZero() {
		g.firstHeardAt = now
	}
	k := g.hosts[sender.Addr]
	if k == nil {
		k = g.addHost(sender.Addr, now)
	}
	if k.silent || k.lastHeard.IsZero() || k.host.Boot != sender.Boot {
		g.opts.Log.Info("host is live", "peer", sender.Name, "addr", sender.Addr, "domain", sender.Domain)
		g.listsBuiltAt, g.announced = time.Time{}, nil
	}
	if k.host.Leaving != sender.Leaving {
		g.listsBuiltAt = time.Time{}
	}
	k.host, k.lastHeard, k.reportedAt, k.silent, k.offers, k.lastSum = sender, now, time.Time{}, false, d.Offers, d.Sum
	k.configuration, k.register, k.fetchable = d.Configuration, d.Register, d.FetchesSnapshots
}

// mergeHeard merges when another host last saw other hosts, as ages at sentAt.
func (g *Gossip) mergeHeard(list []LastSeen, sentAt time.Time) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range list {
		if k := g.hosts[g.addrByHash[h.Host]]; k != nil {
			if k.lastSeen().IsZero() {
				g.announced = nil
			}
			k.lastReported = laterOf(k.lastReported, sentAt.Add(-time.Duration(h.Ago)*heardAgeUnit))
			if k.silent && now.Sub(k.lastReported) <= livenessTimeout {
				k.silent, g.announced = false, nil
			}
		}
	}
}

// Service is the RPC service that answers the exchanges of other hosts.
type Service struct{ gossip *Gossip }

// Service returns the RPC service to register under ServiceName.
func (g *Gossip) Service() *Service { return &Service{gossip: g} }

// Exchange merges the caller's digest and answers with this host's own. If the caller
// has a newer configuration or registry, this host begins to fetch it.
func (s *Service) Exchange(args *Digest, reply *DigestReply) error {
	g := s.gossip
	g.mergeDigest(args)
	reply.Digest = g.buildDigest(args.From.Addr)
	reply.Leases = g.grantLeases(args)
	if !args.FetchesSnapshots {
		g.attachSnapshots(args, reply)
	}
	g.wakeFetchers(args)
	return nil
}

// attachSnapshots adds newer snapshots to the answer for a host of an earlier version,
// which doesn't fetch them.
func (g *Gossip) attachSnapshots(args *Digest, reply *DigestReply) {
	if reply.Configuration > args.Configuration {
		reply.NewConfiguration = g.opts.Catalog.Configuration()
	}
	if reply.Register.After(args.Register) {
		reply.NewRegister = g.opts.Catalog.Registry()
	}
}

// grantLeases returns leases on the groups to which the caller has connections.
func (g *Gossip) grantLeases(args *Digest) []lease.Lease {
	if g.opts.GrantLeases == nil {
		return nil
	}
	var ids []topology.GroupID
	for _, o := range args.Offers {
		if _, held := g.claims.Token(o.Group); held && o.Open > 0 {
			ids = append(ids, o.Group)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return g.opts.GrantLeases(args.From.Addr, ids)
}
