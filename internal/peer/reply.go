package peer

import "reflect"

// newZeroReply returns a pointer to a zero value of the type that reply points to.
// Answers are decoded into that value, so that a late answer never changes the
// caller's reply.
func newZeroReply(reply any) any { return reflect.New(reflect.TypeOf(reply).Elem()).Interface() }

// copyReply sets the value that dst points to, the caller's reply, to that of src.
func copyReply(dst, src any) { reflect.ValueOf(dst).Elem().Set(reflect.ValueOf(src).Elem()) }
