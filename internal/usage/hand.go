package usage

import (
	"context"
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

// WitnessReply tells which process keeps the readings now, and which readings
// of the same sources are in the platform.
type WitnessReply struct {
	By      Source
	Durable []pool.Meter
}

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
	reply.By = k.self
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
	for source, args := range k.toHand(silent, handAgain(len(hosts)), k.witnesses.fleet()) {
		durable, by := k.send(ctx, k.witnesses.of(source), args)
		k.handed(source, args, durable, by)
	}
}

// toHand takes what is due, news of what became durable among it.
func (k *Keeper) toHand(silent, again time.Duration, fleet Fleet) map[Source]*WitnessArgs {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := map[Source]*WitnessArgs{}
	for source, readings := range k.holdings.ToHand(time.Now(), silent, again, fleet) {
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

// send gives the readings to the witnesses, all at once. It returns which
// readings are durable, and the processes that took them.
func (k *Keeper) send(ctx context.Context, witnesses []topology.HostID, args *WitnessArgs) (durable []pool.Meter, by []Source) {
	ctx, cancel := context.WithTimeout(ctx, handTimeout)
	defer cancel()
	replies := make(chan *WitnessReply, len(witnesses))
	for _, id := range witnesses {
		go func() { replies <- k.sendTo(ctx, id, args) }()
	}
	for range witnesses {
		if reply := <-replies; reply != nil {
			by = append(by, reply.By)
			durable = append(durable, reply.Durable...)
		}
	}
	return durable, by
}

// sendTo returns nil if the witness didn't answer: it gets the readings again.
func (k *Keeper) sendTo(ctx context.Context, id topology.HostID, args *WitnessArgs) *WitnessReply {
	if id == k.opts.Self {
		k.witnessSelf(args)
		return &WitnessReply{By: k.self}
	}
	reply := &WitnessReply{}
	if k.opts.Peers.Call(ctx, id, ServiceName+".Witness", args, reply) != nil {
		return nil
	}
	return reply
}

func (k *Keeper) handed(source Source, args *WitnessArgs, durable []pool.Meter, by []Source) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(by) == 0 {
		k.durableNews = k.durableNews || len(args.Durable) > 0
		return
	}
	k.holdings.Handed(source, args.Readings, by, time.Now())
	if source != k.self {
		k.holdings.Durable(durable)
	}
}
