package call

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/upstream"
	"golang.org/x/sys/unix"
)

// dropIncoming makes a socket drop all incoming segments without an ACK, like a
// middlebox that has lost the state of the connection.
func dropIncoming(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil {
		err = optErr
	}
	return errors.Wrap(err, "attach socket filter")
}

// SilentLink measures how long a pool takes to detect that the peer of a link (a
// persistent connection) has become silent, while it waits for a response or
// during an upload.
func SilentLink(ctx context.Context, uploading bool) (time.Duration, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	silenced := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			silenced <- err
			return
		}
		_, err = http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			err = dropIncoming(conn.(*net.TCPConn))
		}
		silenced <- err
	}()
	pool := upstream.NewPool()
	go pool.Run(ctx)
	var body io.Reader = http.NoBody
	if uploading {
		body = &endlessBody{}
	}
	req, err := http.NewRequest(http.MethodPost, "http://instance/", body)
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Send(ctx, listener.Addr().String(), req)
		failed <- err
	}()
	if err := <-silenced; err != nil {
		return 0, err
	}
	started := time.Now()
	var failure *upstream.Failure
	if err := <-failed; !errors.As(err, &failure) || failure.Cause() != upstream.Silent {
		return 0, errors.Errorf("unexpected failure of a silent link: %v", err)
	}
	return time.Since(started), nil
}

// endlessBody is a slow request body that never ends.
type endlessBody struct{}

// Read returns up to 1,000 bytes after 10 ms.
func (*endlessBody) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return min(len(p), 1000), nil
}
