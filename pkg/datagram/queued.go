package datagram

import (
	"encoding/binary"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// timestampBytes is the length of the control message with the time of arrival: seconds and nanoseconds.
const timestampBytes = 16

// receiveFunc reads a datagram into a buffer. queued is how long it had waited to be read, as while the process was
// suspended.
type receiveFunc func(buffer []byte) (n int, from net.Addr, queued time.Duration, err error)

// receiver returns the function that reads from a connection. The time of arrival is known of UDP connections only.
func receiver(conn net.PacketConn) receiveFunc {
	udp, ok := conn.(*net.UDPConn)
	if !ok || !enableTimestamps(udp) {
		return func(buffer []byte) (int, net.Addr, time.Duration, error) {
			n, from, err := conn.ReadFrom(buffer)
			return n, from, 0, err
		}
	}
	control := make([]byte, unix.CmsgSpace(timestampBytes))
	return func(buffer []byte) (int, net.Addr, time.Duration, error) {
		n, controlBytes, _, from, err := udp.ReadMsgUDP(buffer, control)
		return n, from, queuedTime(control[:controlBytes], time.Now()), err
	}
}

// enableTimestamps makes the kernel add the time of arrival to each datagram. It returns false if it can't.
func enableTimestamps(conn *net.UDPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return err == nil && optionErr == nil
}

// queuedTime returns the time since a datagram arrived, zero if that is unknown. The kernel tells it by the wall clock.
func queuedTime(control []byte, now time.Time) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= timestampBytes {
			seconds, nanoseconds := binary.NativeEndian.Uint64(m.Data), binary.NativeEndian.Uint64(m.Data[8:])
			return max(0, now.Round(0).Sub(time.Unix(int64(seconds), int64(nanoseconds))))
		}
	}
	return 0
}
