// Package loadshare shares the load of the backend servers and the location of cached
// prompts among all boxes. Each box reports its own load to the relay of its hall. A relay
// sums the reports and sends summaries to the boxes of its hall and to the relays of the
// other halls, which bounds the number of datagrams that a box sends and receives. The data
// is advisory: a lost datagram can make the balancer's choice worse but not incorrect.
//
// Statistics, sent once a second, pass along a tree of boxes in halls of more than 64, which bounds
// what the relay sends and receives.
package loadshare
