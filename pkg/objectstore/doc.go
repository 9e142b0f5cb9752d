// Package objectstore implements the client of the platform's object API and box list.
//
// All calls share one rate limiter, which keeps the box within its share of the fleet's
// budget. Errors are typed, so that a caller can distinguish a rejected write from one
// that may have taken effect.
package objectstore
