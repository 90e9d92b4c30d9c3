package usage

import (
	"context"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name of the peers' service.
const ServiceName = "Usage"

const handTimeout = 1 * time.Second // for one witness

// WitnessArgs are readings to keep, and those that are in the platform already.
type WitnessArgs struct {
	Readings []pool.Meter
	Durable  []pool.Meter
}

// WitnessReply tells which readings of the same sources are in the platform.
type WitnessReply struct{ Durable []pool.Meter }

// ReadArgs asks for a customer's readings.
type ReadArgs struct{ Customer topology.CustomerID }

// ReadReply has every reading of the customer that a host knows.
type ReadReply struct{ Readings []pool.Meter }

// Service answers other hosts. Its methods have net/rpc's form.
type Service struct{ keeper *Keeper }

// Service returns what is to be registered under ServiceName.
func (k *Keeper) Service() *Service { return &Service{keeper: k} }

// Witness keeps another host's readings.
func (s *Service) Witness(args *WitnessArgs, reply *WitnessReply) error {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdings.Witness(args.Readings, args.Durable, time.Now())
	reply.Durable = k.holdings.DurableOf(args.Readings)
	return nil
}

// Read returns a customer's readings.
func (s *Service) Read(args *ReadArgs, reply *ReadReply) error {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	reply.Readings = k.holdings.ReadingsOf(args.Customer)
	return nil
}

// hand sends each source's news to its witnesses.
func (k *Keeper) hand(ctx context.Context, hosts []topology.Host, silent time.Duration) {
	if k.opts.Peers == nil {
		return
	}
	k.handing.Lock()
	defer k.handing.Unlock()
	k.witnesses.refresh(hosts)
	for source, args := range k.toHand(silent, handAgain(len(hosts))) {
		witnesses := k.witnesses.of(source)
		if i := slices.Index(witnesses, k.opts.Self); i >= 0 {
			k.witnessSelf(args)
			witnesses = slices.Delete(slices.Clone(witnesses), i, i+1)
		}
		durable, kept := k.send(ctx, witnesses, args)
		k.handed(source, args, durable, kept)
	}
}

// toHand takes what is due, news of what became durable among it.
func (k *Keeper) toHand(silent, again time.Duration) map[Source]*WitnessArgs {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := map[Source]*WitnessArgs{}
	for source, readings := range k.holdings.ToHand(time.Now(), silent, again) {
		due[source] = &WitnessArgs{Readings: readings}
	}
	if k.durableNews {
		k.durableNews = false
		if due[k.self] == nil {
			due[k.self] = &WitnessArgs{}
		}
		due[k.self].Durable = k.holdings.OwnDurable()
	}
	return due
}

// witnessSelf keeps readings of which this host is a witness itself.
func (k *Keeper) witnessSelf(args *WitnessArgs) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdings.Witness(args.Readings, nil, time.Now())
}

// send calls the witnesses at once. It tells whether at least one has the
// readings, and which are durable.
func (k *Keeper) send(ctx context.Context, witnesses []topology.HostID, args *WitnessArgs) (durable []pool.Meter, kept bool) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	replies := make(chan *WitnessReply, len(witnesses))
	for _, id := range witnesses {
		go func() {
			reply := &WitnessReply{}
			if k.opts.Peers.Call(ctx, id, ServiceName+".Witness", args, reply) != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range witnesses {
		if reply := <-replies; reply != nil {
			kept = true
			durable = append(durable, reply.Durable...)
		}
	}
	return durable, kept
}

func (k *Keeper) handed(source Source, args *WitnessArgs, durable []pool.Meter, kept bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !kept {
		k.durableNews = k.durableNews || len(args.Durable) > 0
		return
	}
	k.holdings.Handed(source, args.Readings, time.Now())
	if source != k.self {
		k.holdings.Durable(durable)
	}
}
