// Package usage meters what customers consume and reports the totals. A report
// is complete after the failure of any single host and counts nothing twice.
//
// Each process that runs batches (the holder of a target's slot) keeps one meter
// per customer: a running total since the process started. Every response
// carries the current reading of the meter. Meters only grow, so the largest
// reading of a meter is the current one, merging readings is idempotent and
// commutative, and a customer's usage is the sum of the largest readings of its
// meters (a grow-only counter).
//
// Readings are stored in four places:
//
//   - at the holder;
//   - at the entry hosts, which receive the holder's responses;
//   - at two witnesses, hosts in other failure domains. The holder replicates its
//     readings to them several times a second. Entry hosts replicate the readings
//     that they know of a holder that stopped reporting;
//   - in one platform object per holder process. The holder merges its readings
//     into the object at long intervals; its witnesses do so after it has failed.
package usage
