// Package autoscale decides how many backend servers of a service are ordered, in which
// hall and of which kind. It is told what is there and what is asked, with the time, and
// returns orders; it calls nobody. Servers on demand stay; spot servers cost less, and
// all those of a hall may be taken away at short notice.
package autoscale
