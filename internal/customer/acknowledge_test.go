package customer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/customer"
)

// TestGroupAcknowledgesByTermOnlyIfAllCustomersDo checks that one customer
// with majority acknowledgement, or without a known template, decides for the
// whole group.
func TestGroupAcknowledgesByTermOnlyIfAllCustomersDo(t *testing.T) {
	s := newFilledStore() // customer a of template t uses group g
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckMajority)
	qt.Check(t, s.AckMode("unused"), qt.Equals, customer.AckMajority)
	s.Apply("template", change(2, object("t", 2, `{"parameters":{"acknowledge":"term"}}`)))
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckTerm)
	s.Apply("customer", change(2, object("b", 2, `{"template":"t","databases":{"x":"g","y":"g"},"parameters":{"acknowledge":"majority"}}`)))
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckMajority)
	s.Apply("customer", change(3, object("b", 3, `{"template":"t","databases":{"x":"other"}}`)))
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckTerm)
	s.Apply("customer", change(4, object("b", 4, `{"template":"missing","databases":{"x":"g"}}`)))
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckMajority)
	s.Apply("customer", change(5, object("b", 5, `{"deleted":true}`)))
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckTerm)
	s.Apply("customer", change(6, object("a", 6, `{"nonsense":true}`))) // invalid: the last valid version stays active
	qt.Check(t, s.AckMode("g"), qt.Equals, customer.AckTerm)
}
