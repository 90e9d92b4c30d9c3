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
	readTimeout  = 1 * time.Second // for one host's readings
	readParallel = 64              // hosts that are asked at once
)

// Report is a customer's usage since its first statement.
type Report struct {
	Customer topology.CustomerID `json:"customer"`
	Amount
	Sources    int               `json:"sources"`              // processes of holders that ran its statements
	Unanswered []topology.HostID `json:"unanswered,omitempty"` // hosts that may know of more, not yet written
	Platform   string            `json:"platform,omitempty"`   // why the platform's part is missing
}

// Report sums up a customer's usage from the platform's objects and what the
// hosts know beyond them.
func (k *Keeper) Report(ctx context.Context, id topology.CustomerID) (*Report, error) {
	report := &Report{Customer: id}
	var l Ledger
	// Hosts first: what they forget meanwhile is in the platform by then.
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
			k.opts.Log.Error(err, "a usage object can't be read", "name", object.Name)
			continue
		}
		l.MergeAll(readings)
	}
	return nil
}

// askHosts merges every host's readings and returns the hosts without an answer.
func (k *Keeper) askHosts(ctx context.Context, id topology.CustomerID, l *Ledger) []topology.HostID {
	var mu sync.Mutex
	var silent []topology.HostID
	var calls errgroup.Group
	calls.SetLimit(readParallel)
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
				silent = append(silent, host.ID)
			}
			l.MergeAll(reply.Readings)
			return nil
		})
	}
	_ = calls.Wait()
	var own ReadReply
	_ = k.Service().Read(&ReadArgs{Customer: id}, &own)
	l.MergeAll(own.Readings)
	return silent
}
