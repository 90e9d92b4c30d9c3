// Package usage meters what customers consume and reports it, whole after the
// death of any host and never twice.
//
// The holder that ran a batch adds it to the customer's meter, a total since
// the start of its process, and returns the meter in the answer. A meter only
// grows, so that of all readings of one meter the largest is the right one, and
// a customer's usage is the sum of the largest readings of its meters. Taking a
// reading in twice changes nothing.
//
// Readings are kept in four places: at the holder; at the entry hosts that got
// its answers; at two witnesses, hosts of other failure domains to which the
// holder sends its meters several times a second, and entry hosts what they
// know of a holder that fell silent; and in the platform's object of the
// holder's process, into which the holder, and after its death the witnesses,
// merge them rarely.
package usage
