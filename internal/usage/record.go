package usage

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Record is the value of the platform object of one source.
type Record struct {
	Host      topology.HostID                `json:"host"`
	Boot      uint64                         `json:"boot"`
	Customers map[topology.CustomerID]Amount `json:"customers"`
}

// Amount is the JSON form of pool.Usage.
type Amount struct {
	Statements uint64        `json:"statements"`
	Rows       uint64        `json:"rows"`
	Bytes      uint64        `json:"bytes"`
	TargetTime time.Duration `json:"target_time_ns"`
}

// recordName returns the name of a source's platform object.
func recordName(source Source) string { return fmt.Sprintf("%s.%d", source.Host, source.Boot) }

// readRecord decodes a record and returns its readings.
func readRecord(value json.RawMessage) ([]pool.Meter, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.Wrap(err, "decode usage record")
	}
	meters := make([]pool.Meter, 0, len(r.Customers))
	for id, amount := range r.Customers {
		meters = append(meters, pool.Meter{Host: r.Host, Boot: r.Boot, Customer: id, Total: pool.Usage(amount)})
	}
	return meters, nil
}

// mergeRecord merges readings into the encoded record of a source and returns the
// result. current is empty if there is no record yet.
func mergeRecord(source Source, current json.RawMessage, readings []pool.Meter) (json.RawMessage, error) {
	var l Ledger
	if len(current) > 0 {
		stored, err := readRecord(current)
		if err != nil {
			return nil, err
		}
		l.MergeAll(stored)
	}
	l.MergeAll(readings)
	r := Record{Host: source.Host, Boot: source.Boot, Customers: map[topology.CustomerID]Amount{}}
	for _, m := range l.Readings(source) {
		r.Customers[m.Customer] = Amount(m.Total)
	}
	return json.Marshal(r)
}
