// Package line tests the product's guarantees on the users' platform. It runs
// real host processes against stand-ins that speak the platform's protocols.
package line
