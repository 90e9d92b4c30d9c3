// Package line proves promises on the users' platform with real processes of
// the product, before stand-ins that speak the platform's protocols.
package line
