package confirm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ReceiptServiceName is the RPC service of the holder of a group's duty that proves receipts.
const ReceiptServiceName = "Receipts"

const awaitReceiptMethod = ReceiptServiceName + ".Await"

const (
	// receiptTimeout bounds the wait for the proof of a receipt: some status queries of a replica,
	// which wait for a work slot.
	receiptTimeout = 250 * time.Millisecond
	// dropTimeout bounds that wait while commits aren't passed on since a target is to be dropped.
	dropTimeout = 150 * time.Millisecond
)

// ErrNotReceived means that no replica that counts is proved to have received a commit.
var ErrNotReceived = errors.New("no replica that counts is proved to have received the commit")

// Receipts proves that replicas have received what the leader acknowledged.
type Receipts interface {
	// Received waits until as many replicas as acknowledge a commit are proved to have received
	// the position, or one of a later term, not counting those that the electorate dropped. It
	// returns false if that isn't proved by the time ctx is done.
	Received(ctx context.Context, id topology.GroupID, e *Electorate, position topology.Position) bool
}

// ReceiptArgs asks for the proof of a receipt.
type ReceiptArgs struct {
	Group    topology.GroupID
	Epoch    uint64
	Position topology.Position
}

// ReceiptReply is the answer.
type ReceiptReply struct{ Received bool }

// ReceiptService answers other hosts for the groups whose duty this host holds.
type ReceiptService struct {
	receipts   Receipts
	electorate func(topology.GroupID) Electorate
}

// NewReceiptService returns the service to register under ReceiptServiceName.
func NewReceiptService(receipts Receipts, electorate func(topology.GroupID) Electorate) *ReceiptService {
	return &ReceiptService{receipts, electorate}
}

// Await waits for the proof of a receipt in an epoch.
func (s *ReceiptService) Await(args *ReceiptArgs, reply *ReceiptReply) error {
	e := s.electorate(args.Group)
	if e.Epoch != args.Epoch {
		return nil // other targets may count
	}
	ctx, cancel := context.WithTimeout(context.Background(), receiptTimeout)
	defer cancel()
	reply.Received = s.receipts.Received(ctx, args.Group, &e, args.Position)
	return nil
}

// received reports whether the receipt of a position is proved in the epoch of the electorate, by
// this host or by the holder of the group's duty.
func (c *Confirmer) received(id topology.GroupID, e *Electorate, position topology.Position) bool {
	holder, known := c.opts.Holder(id)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), receiptTimeout)
	defer cancel()
	if holder == c.opts.Self {
		return c.opts.Receipts.Received(ctx, id, e, position)
	}
	var reply ReceiptReply
	err := c.opts.Peers.Call(ctx, holder, awaitReceiptMethod, &ReceiptArgs{Group: id, Epoch: e.Epoch, Position: position}, &reply)
	return err == nil && reply.Received
}
