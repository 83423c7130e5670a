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

// dropIncoming makes a socket drop whatever arrives, unacknowledged, as a middlebox
// does that has lost track of a connection.
func dropIncoming(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "reach the socket")
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil {
		err = failed
	}
	return errors.Wrap(err, "attach a filter")
}

// SilentLink measures how long it takes to notice that a link went silent
// while an answer is awaited, or during an upload.
func SilentLink(ctx context.Context, uploading bool) (time.Duration, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	silent := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			silent <- err
			return
		}
		_, err = http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			err = dropIncoming(conn.(*net.TCPConn))
		}
		silent <- err
	}()
	pool := upstream.NewPool()
	go pool.Run(ctx)
	var body io.Reader = http.NoBody
	if uploading {
		body = &endlessBody{}
	}
	req, err := http.NewRequest(http.MethodPost, "http://instance/", body)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	failed := make(chan error, 1)
	go func() {
		_, err := pool.Send(ctx, listener.Addr().String(), req)
		failed <- err
	}()
	if err := <-silent; err != nil {
		return 0, err
	}
	started := time.Now()
	var failure *upstream.Failure
	if err := <-failed; !errors.As(err, &failure) || failure.Cause() != upstream.Silent {
		return 0, errors.Errorf("the silent link was taken for %v", err)
	}
	return time.Since(started), nil
}

// endlessBody is a slow body without an end.
type endlessBody struct{}

// Read waits a moment and gives some bytes.
func (*endlessBody) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return min(len(p), 1000), nil
}
