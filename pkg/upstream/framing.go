package upstream

import (
	"bytes"
	"io"
	"net/http"
)

// headRecorder records what is read while a response header is parsed. net/http removes the fields that
// contradict the framing that it chose.
type headRecorder struct {
	reader    io.Reader
	recording bool
	recorded  []byte
	// err is the error that ended the connection, nil until then.
	err error
}

func (r *headRecorder) start(buffered []byte) {
	r.recording, r.recorded = true, bytes.Clone(buffered)
}

func (r *headRecorder) stop() { r.recording, r.recorded = false, nil }

// Read implements io.Reader.
func (r *headRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if r.recording {
		r.recorded = append(r.recorded, p[:n]...)
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

const (
	minStatus = 100
	maxStatus = 599
)

// checkStatus returns an error if the status of a response is not valid in HTTP. Any status below 200 would otherwise count as that of
// an interim response, after which another one is awaited.
func checkStatus(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return &MalformedResponseError{Reason: "its status is not from 100 to 599"}
	}
	return nil
}

// checkFraming returns an error if the header of a response, whose bytes head begins with, allows more than
// one framing. The caller could read another end out of it, or the next response.
func checkFraming(r *http.Response, head []byte) error {
	coding, length := false, false
	for line := range bytes.Lines(head) {
		name, _, field := bytes.Cut(line, []byte(":"))
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
		coding = coding || field && bytes.EqualFold(name, []byte("Transfer-Encoding"))
		length = length || field && bytes.EqualFold(name, []byte("Content-Length"))
	}
	switch {
	case coding && length:
		return &MalformedResponseError{Reason: "both Content-Length and Transfer-Encoding are set"}
	case coding && !r.ProtoAtLeast(1, 1):
		return &MalformedResponseError{Reason: "an HTTP/1.0 response has a Transfer-Encoding"}
	}
	return nil
}
