// Package serverpath tells the path from this box to a server from the server itself. A box may lose
// its links to all servers, to those of a hall or to a single one while the servers serve other boxes.
package serverpath
