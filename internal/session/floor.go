package session

import (
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// floor is the position that a session's reads must be served at or past. It
// never falls. The zero value is a floor not yet known.
type floor struct {
	known    bool
	position topology.Position
	session  string // identity whose floor the keeper knows too
	readOnly bool   // the user has no writes of its own
}

// wrote raises the floor to an acknowledged write or a token's position.
func (f *floor) wrote(p topology.Position) {
	if p.IsZero() {
		return
	}
	f.known = true
	f.position = topology.Later(f.position, p)
}

// read raises the floor to what a read was served at or past, so that later
// reads see no older data. A read-only user's floor stays where it is: its
// reads go on in a failure domain that is cut off.
func (f *floor) read(p topology.Position) {
	if f.readOnly {
		return
	}
	f.wrote(p)
}

// source returns the floor as routing takes it.
func (f *floor) source() routing.FloorSource {
	return routing.FloorSource{
		Known:    f.known || f.readOnly,
		Position: f.position,
		Session:  f.session,
	}
}
