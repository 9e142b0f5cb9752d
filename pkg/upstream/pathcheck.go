package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
)

// CheckPath checks whether a server can be reached over a new connection, by sending a request with a header that has the
// server answer without running it. The error is nil as soon as anything has arrived, since a path that carries bytes is
// sound whatever they are. The connection can't carry a further exchange: a second copy of the response, which has no ID, could pass for
// a rejection of the next request. It is closed if ctx ends first.
func CheckPath(ctx context.Context, conn net.Conn, header http.Header) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var request bytes.Buffer
	request.WriteString("GET / HTTP/1.1\r\nHost: " + conn.RemoteAddr().String() + "\r\n")
	_ = header.Write(&request)
	request.WriteString("\r\n")
	if _, err := conn.Write(request.Bytes()); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}
