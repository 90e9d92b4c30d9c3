package session

import (
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// floor is the lowest log position that a target must have applied to serve the
// session's reads. It never decreases. The zero value means that the floor isn't
// known yet.
type floor struct {
	known    bool
	position topology.Position
	session  string // name under which the floor service looks up the floor, empty if none
	readOnly bool   // the user may not write, so that it has no writes to read back
}

// raise raises the floor to the position of an acknowledged write or of a verified
// token.
func (f *floor) raise(p topology.Position) {
	if p.IsZero() {
		return
	}
	f.known = true
	f.position = topology.Later(f.position, p)
}

// raiseForRead raises the floor to the position that a read was served at or
// past, so that later reads see no older data. The floor of a read-only user stays
// unchanged: its reads must keep working in a failure domain that is cut off.
func (f *floor) raiseForRead(p topology.Position) {
	if f.readOnly {
		return
	}
	f.raise(p)
}

// source returns the floor in the form that routing uses.
func (f *floor) source() routing.FloorSource {
	return routing.FloorSource{
		Known:    f.known || f.readOnly,
		Position: f.position,
		Session:  f.session,
	}
}
