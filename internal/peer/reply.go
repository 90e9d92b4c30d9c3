package peer

import "reflect"

// newLike returns a pointer to a zero value of the type that reply points to.
// A late answer is decoded into it, never into the caller's own value.
func newLike(reply any) any { return reflect.New(reflect.TypeOf(reply).Elem()).Interface() }

func copyInto(reply, fresh any) { reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(fresh).Elem()) }
