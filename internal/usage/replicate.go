package usage

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which Service is registered for RPC between
// hosts.
const ServiceName = "Usage"

const witnessTimeout = 1 * time.Second // per call to one witness

// WitnessArgs are the arguments of Service.Witness: Readings are to be stored,
// Durable are the readings that the platform already has.
type WitnessArgs struct {
	Readings []pool.Meter
	Durable  []pool.Meter
}

// WitnessReply is the reply of Service.Witness. By is the process that stored the
// readings. Durable are the readings of the same sources that the platform has.
type WitnessReply struct {
	By      Source
	Durable []pool.Meter
}

// ReadArgs are the arguments of Service.Read.
type ReadArgs struct{ Customer topology.CustomerID }

// ReadReply holds every reading of the customer that the host knows.
type ReadReply struct{ Readings []pool.Meter }

// Service is the net/rpc service that other hosts call.
type Service struct{ keeper *Keeper }

// Service returns the RPC service to register under ServiceName.
func (k *Keeper) Service() *Service { return &Service{keeper: k} }

// Witness stores readings that another host replicates to this host.
func (s *Service) Witness(args *WitnessArgs, reply *WitnessReply) error {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.MergeWitnessed(args.Readings, args.Durable, time.Now())
	reply.By = k.self
	reply.Durable = k.store.DurableOf(args.Readings)
	return nil
}

// Read returns every reading of a customer that this host knows.
func (s *Service) Read(args *ReadArgs, reply *ReadReply) error {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	reply.Readings = k.store.ReadingsOf(args.Customer)
	return nil
}

// replicate sends the pending readings of each source to its witnesses.
func (k *Keeper) replicate(ctx context.Context, hosts []topology.Host, silence time.Duration) {
	if k.opts.Peers == nil {
		return
	}
	k.replicating.Lock()
	defer k.replicating.Unlock()
	k.witnesses.refresh(hosts)
	k.confirmWitnesses(ctx)
	for source, args := range k.takeDueReadings(silence, resendInterval(len(hosts)), k.witnesses.fleet()) {
		durable, receivers := k.sendToWitnesses(ctx, k.witnesses.of(source), args)
		k.finishReplication(source, args, durable, receivers)
	}
}

// confirmWitnesses asks the witnesses of readings that are not durable yet which
// processes they are.
func (k *Keeper) confirmWitnesses(ctx context.Context) {
	k.mu.Lock()
	sources := k.store.DueForConfirmation(time.Now(), confirmationInterval)
	k.mu.Unlock()
	var calls sync.WaitGroup
	for _, source := range sources {
		witnesses := k.witnesses.of(source)
		calls.Go(func() {
			_, processes := k.sendToWitnesses(ctx, witnesses, &WitnessArgs{})
			k.mu.Lock()
			defer k.mu.Unlock()
			k.store.MarkConfirmed(source, processes, time.Now())
		})
	}
	calls.Wait()
}

// takeDueReadings returns the readings to replicate, by source. It includes and
// clears the notice of own readings that became durable.
func (k *Keeper) takeDueReadings(silence, resendAfter time.Duration, fleet FleetView) map[Source]*WitnessArgs {
	k.mu.Lock()
	defer k.mu.Unlock()
	due := map[Source]*WitnessArgs{}
	for source, readings := range k.store.DueForReplication(time.Now(), silence, resendAfter, fleet) {
		due[source] = &WitnessArgs{Readings: readings}
	}
	if k.durableChanged {
		k.durableChanged = false
		if due[k.self] == nil {
			due[k.self] = &WitnessArgs{}
		}
		due[k.self].Durable = k.store.OwnDurable()
	}
	return due
}

// storeAsWitness stores readings of which this host itself is a witness.
func (k *Keeper) storeAsWitness(args *WitnessArgs) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.MergeWitnessed(args.Readings, nil, time.Now())
}

// sendToWitnesses sends the readings to all witnesses in parallel. It returns
// the readings that the witnesses know to be durable and the processes that
// stored what was sent.
func (k *Keeper) sendToWitnesses(ctx context.Context, witnesses []topology.HostID, args *WitnessArgs) (durable []pool.Meter, receivers []Source) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	replies := make(chan *WitnessReply, len(witnesses))
	for _, id := range witnesses {
		go func() { replies <- k.sendToWitness(ctx, id, args) }()
	}
	for range witnesses {
		if reply := <-replies; reply != nil {
			receivers = append(receivers, reply.By)
			durable = append(durable, reply.Durable...)
		}
	}
	return durable, receivers
}

// sendToWitness sends the readings to one witness. It returns nil if the call
// fails; the witness then receives them again in a later round.
func (k *Keeper) sendToWitness(ctx context.Context, id topology.HostID, args *WitnessArgs) *WitnessReply {
	if id == k.opts.Self {
		k.storeAsWitness(args)
		return &WitnessReply{By: k.self}
	}
	reply := &WitnessReply{}
	if k.opts.Peers.Call(ctx, id, ServiceName+".Witness", args, reply) != nil {
		return nil
	}
	return reply
}

// finishReplication records which processes stored the readings. If none did,
// everything is due again in the next round.
func (k *Keeper) finishReplication(source Source, args *WitnessArgs, durable []pool.Meter, receivers []Source) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(receivers) == 0 {
		k.durableChanged = k.durableChanged || len(args.Durable) > 0
		return
	}
	k.store.MarkReplicated(source, args.Readings, receivers, time.Now())
	if source != k.self {
		k.store.MarkDurable(durable)
	}
}
