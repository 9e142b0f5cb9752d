package tunnel

import "fmt"

// Reason tells why a relay opened no tunnel.
type Reason string

// Reasons. All but ReasonUnsupported and ReasonOther are sent in the header headerReason.
const (
	// ReasonIsolated means that the relay has no links to the servers itself.
	ReasonIsolated Reason = "isolated"
	// ReasonServerRefused means that the server's machine refused the relay's connection,
	// ReasonServerSilent that it did not answer the relay.
	ReasonServerRefused Reason = "server-refused"
	ReasonServerSilent  Reason = "server-silent"
	// ReasonBusy means that the relay has no capacity left, ReasonStopping that it is shutting down.
	ReasonBusy     Reason = "busy"
	ReasonStopping Reason = "stopping"
	// ReasonUnknownServer means that the address is not in the relay's list of servers, ReasonUnknownBox
	// that the box which asks is not in its roster.
	ReasonUnknownServer Reason = "unknown-server"
	ReasonUnknownBox    Reason = "unknown-box"
	// ReasonUnsupported means that the relay's build has no tunnels.
	ReasonUnsupported Reason = "unsupported"
	// ReasonOther stands for those that this build does not know. Errors must not quote them: another program may have taken the address
	// of a box.
	ReasonOther Reason = "other"
)

// parseReason returns the reason that a relay sent.
func parseReason(sent string) Reason {
	switch r := Reason(sent); r {
	case "":
		return ReasonUnsupported
	case ReasonIsolated, ReasonServerRefused, ReasonServerSilent, ReasonBusy, ReasonStopping, ReasonUnknownServer, ReasonUnknownBox:
		return r
	}
	return ReasonOther
}

// RefusedError is returned if a relay opened no tunnel.
type RefusedError struct {
	Relay, Server string
	Reason        Reason
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("box at %s opens no tunnel to %s: %s: ask another box", e.Relay, e.Server, e.Reason)
}
