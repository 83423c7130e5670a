// Package cold tests the limit on requests to cold instances with the routers of entry
// hosts and the grants of control hosts together, in virtual time.
//
// Usage:
//
//	go test ./bench/cold
package cold
