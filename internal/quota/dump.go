package quota

import (
	"cmp"
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// maxDumped limits the customers in a dump, those with the most demand first.
const maxDumped = 200

// Dump is the state of the limits at one host, for operators.
type Dump struct {
	// Votes are the parts of the limits that this host may sell as coordinator, by domain.
	Votes     map[topology.Domain]float64 `json:"votes"`
	Customers int                         `json:"customers"` // with tokens or recent demand; Wallets has maxDumped at most
	Wallets   []WalletDump                `json:"wallets"`
	Ledgers   []LedgerDump                `json:"ledgers"`
	Avoided   []topology.HostID           `json:"avoided"` // hosts that didn't answer
}

// WalletDump is the state of one customer's tokens at this host.
type WalletDump struct {
	Customer     topology.CustomerID `json:"customer"`
	Rate         float64             `json:"rate"`
	Burst        float64             `json:"burst"`
	LimitVersion uint64              `json:"limit_version"`
	Tokens       int                 `json:"tokens"`
	Demand       float64             `json:"demand"`
	Seller       topology.HostID     `json:"seller"`
	BoughtMS     int64               `json:"bought_ms_ago"`
	BlockedMS    int64               `json:"blocked_ms"` // until tokens are asked for again
	Waiting      int                 `json:"waiting"`
}

// LedgerDump is the state of one customer's tokens that this host sells.
type LedgerDump struct {
	Customer topology.CustomerID `json:"customer"`
	Role     string              `json:"role"`
	Share    float64             `json:"share"`
	Level    float64             `json:"level"`
	Unspent  int                 `json:"unspent"` // at most, at all hosts
	Hosts    int                 `json:"hosts"`
	Sales    float64             `json:"sales"` // per second
}

var roleNames = [roles]string{coordinator: "coordinator", deputy: "deputy", alone: "alone"}

// Dump returns the state.
func (q *Quota) Dump() *Dump {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	d := &Dump{Votes: map[topology.Domain]float64{}, Customers: len(q.accounts), Wallets: []WalletDump{}, Ledgers: []LedgerDump{}, Avoided: []topology.HostID{}}
	for id, e := range q.accounts {
		e.expire(now)
		e.decayDemand(now)
		d.Wallets = append(d.Wallets, WalletDump{Customer: id, Rate: e.limit.Rate, Burst: e.limit.Burst, LimitVersion: e.version, Tokens: e.tokens, Demand: e.demand,
			Seller: e.seller, BoughtMS: now.Sub(e.soldAt).Milliseconds(), BlockedMS: max(0, e.blockedUntil.Sub(now).Milliseconds()), Waiting: len(e.waiters)})
	}
	slices.SortFunc(d.Wallets, func(a, b WalletDump) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Customer, b.Customer))
	})
	d.Wallets = d.Wallets[:min(len(d.Wallets), maxDumped)]
	for r, ledgers := range q.ledgers {
		for id, l := range ledgers {
			l.refill(now)
			d.Ledgers = append(d.Ledgers, LedgerDump{Customer: id, Role: roleNames[r], Share: l.share, Level: l.level, Unspent: l.unspent, Hosts: len(l.holdings), Sales: l.sales(now)})
		}
	}
	slices.SortFunc(d.Ledgers, func(a, b LedgerDump) int {
		return cmp.Or(cmp.Compare(b.Sales, a.Sales), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Role, b.Role))
	})
	d.Ledgers = d.Ledgers[:min(len(d.Ledgers), maxDumped)]
	for domain, v := range q.votes.domains {
		d.Votes[domain] = v.part
	}
	for id := range q.avoided {
		d.Avoided = append(d.Avoided, id)
	}
	slices.Sort(d.Avoided)
	d.Avoided = d.Avoided[:min(len(d.Avoided), maxDumped)]
	return d
}
