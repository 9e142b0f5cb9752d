// Package quarantine detects requests that crash backend servers and holds them back. Requests
// are identified by fingerprint, and boxes share with each other which servers crashed while they
// had them.
package quarantine
