// Package measure drives the scheduler through a day's load in virtual time and
// measures, by class, what callers get: attainment, goodput and wasted work.
//
// It holds the scheduler itself, a small model of the engines (continuous
// batching with steps that grow with the batch, a limited prefix cache, load
// reports that lag, slow-downs, crashes) and a baseline policy to compare with.
// It models no boxes and no network. The same seed gives the same figures.
package measure
