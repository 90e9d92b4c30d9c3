package usage

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	readTimeout      = 1 * time.Second // per call to one host
	maxParallelReads = 64              // hosts queried in parallel
)

// Report is the total usage of a customer since its first statement.
type Report struct {
	Customer topology.CustomerID `json:"customer"`
	Amount
	Sources    int               `json:"sources"`              // number of holder processes that ran its statements
	Unanswered []topology.HostID `json:"unanswered,omitempty"` // hosts that did not respond and may have more, not yet written readings
	Platform   string            `json:"platform,omitempty"`   // error that kept the platform's readings out of the report
}

// Report sums a customer's usage from the platform objects and the readings of
// all hosts.
func (k *Keeper) Report(ctx context.Context, id topology.CustomerID) (*Report, error) {
	report := &Report{Customer: id}
	var l Ledger
	// Query the hosts first: a reading that a host prunes in the meantime is
	// already in the platform when the objects are read.
	report.Unanswered = k.askHosts(ctx, id, &l)
	if err := k.readPlatform(ctx, &l); err != nil {
		report.Platform = err.Error()
	}
	readings := l.ReadingsOf(id)
	report.Sources = len(readings)
	report.Amount = Amount(l.Usage(id))
	return report, nil
}

func (k *Keeper) readPlatform(ctx context.Context, l *Ledger) error {
	list, err := k.opts.Client.List(ctx, platform.KindUsage)
	if err != nil {
		return err
	}
	for _, object := range list.Objects {
		readings, err := readRecord(object.Value)
		if err != nil {
			k.opts.Log.Error(err, "cannot decode usage object", "name", object.Name)
			continue
		}
		l.MergeAll(readings)
	}
	return nil
}

// askHosts merges the readings of all hosts into l and returns the hosts that did
// not respond.
func (k *Keeper) askHosts(ctx context.Context, id topology.CustomerID, l *Ledger) []topology.HostID {
	var mu sync.Mutex
	var unanswered []topology.HostID
	var calls errgroup.Group
	calls.SetLimit(maxParallelReads)
	for _, host := range k.opts.Hosts() {
		if host.ID == k.opts.Self || k.opts.Peers == nil || host.State == topology.HostGone {
			continue
		}
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			var reply ReadReply
			err := k.opts.Peers.Call(ctx, host.ID, ServiceName+".Read", &ReadArgs{Customer: id}, &reply)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, host.ID)
			}
			l.MergeAll(reply.Readings)
			return nil
		})
	}
	_ = calls.Wait()
	var own ReadReply
	_ = k.Service().Read(&ReadArgs{Customer: id}, &own)
	l.MergeAll(own.Readings)
	return unanswered
}
