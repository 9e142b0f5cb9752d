// Package measure simulates a day's load on the scheduler in virtual time and
// reports attainment, goodput and wasted work by class.
//
// It runs the production scheduler against a model of the engines: continuous
// batching with batch-dependent step times, a bounded prefix cache, delayed load
// reports, slow servers and crashes. A baseline policy serves for comparison.
// Boxes and the network are not modelled. Results are deterministic for a seed.
package measure
