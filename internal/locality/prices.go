package locality

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// Prices are the prices of bytes and of delay, in the same currency. Only their
// ratio matters. The zero value disables the routing by cost.
type Prices struct {
	Gigabyte float64 // one gigabyte sent between failure domains
	Second   float64 // one second that one caller waits
}

// Enabled reports whether any price is set.
func (p Prices) Enabled() bool { return p != Prices{} }

// Validate returns an error if a price isn't a finite number of at least 0.
func (p Prices) Validate() error {
	for _, price := range []struct {
		name  string
		value float64
	}{{"byte price", p.Gigabyte}, {"delay price", p.Second}} {
		if math.IsNaN(price.value) || math.IsInf(price.value, 0) || price.value < 0 {
			return errors.Newf("cross-domain %s %v: must be a number of at least 0", price.name, price.value)
		}
	}
	return nil
}

// maxDelayForBytes bounds delayForBytes. It is longer than any statement may take,
// so that work whose delay has no price leaves the domain only if it must.
const maxDelayForBytes = time.Hour

// delayForBytes returns the delay of one caller that costs as much as sending
// bytes to another domain.
func (p Prices) delayForBytes(bytes float64) time.Duration {
	const gigabyte = 1e9
	cost := bytes / gigabyte * p.Gigabyte
	switch {
	case cost <= 0:
		return 0
	case cost >= p.Second*maxDelayForBytes.Seconds():
		return maxDelayForBytes
	}
	return time.Duration(cost / p.Second * float64(time.Second))
}
