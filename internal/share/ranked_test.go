package share

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// The connections that a holder opens ahead of demand must be for the customers whose
// statements other hosts send to it by HomesOf, whichever customers are looked at.
func TestPreopenAgreesWithHomesOfAllCustomers(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 9))
		rates := map[topology.CustomerID]float64{}
		for i := range 1 + r.IntN(200) {
			rates[topology.CustomerID(fmt.Sprint("customer-", i))] = []float64{0, 1, 1, 5, 300 * r.Float64()}[r.IntN(5)]
		}
		var holders []topology.HostID
		for i := range 1 + r.IntN(8) {
			holders = append(holders, topology.HostID(fmt.Sprint("host-", i)))
		}
		group, host, n := topology.GroupID(fmt.Sprint("group-", seed)), holders[r.IntN(len(holders))], 1+r.IntN(10)
		shares := CustomerShares(rates)
		var weights []CustomerWeight
		for id, share := range shares {
			homes := HomesOf(group, id, holders, share)
			weight := share * otherHolderWeight
			if homes.Contains(host) {
				weight = share / float64(homes.Count)
			}
			weights = append(weights, CustomerWeight{ID: id, Weight: weight})
		}
		want := Preopen(weights, n)
		if got := RankCustomers(rates).Preopen(group, host, holders, n); !slices.Equal(got, want) {
			t.Fatalf("seed %d: %d customers, %d holders, %d connections:\n%v\nwant %v", seed, len(rates), len(holders), n, got, want)
		}
	}
}

// A holder must not rank all customers for each group that it holds: its cost would be the
// product of groups and customers.
func TestPreopenLooksAtFewCustomers(t *testing.T) {
	rates := map[topology.CustomerID]float64{}
	for i := range 14_000 {
		rates[topology.CustomerID(fmt.Sprint("customer-", i))] = float64(1 + i%50)
	}
	ranked := RankCustomers(rates)
	holders := []topology.HostID{"a", "b", "c", "d", "e", "f"}
	for i := range 20 {
		group := topology.GroupID(fmt.Sprint("group-", i))
		atHome, examined := ranked.atHome(newHomeIndex(group, "a", holders), 8)
		qt.Check(t, len(atHome), qt.Equals, 8)
		qt.Check(t, examined < len(rates)/50, qt.IsTrue, qt.Commentf("%d customers examined", examined))
	}
}
