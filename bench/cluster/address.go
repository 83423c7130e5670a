package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are picked below the ephemeral range, so that an outgoing connection
// cannot take one between the check and its use.
const (
	firstPort       = 10_000
	lastPort        = 32_000
	maxPortAttempts = 1000
)

var (
	portsMu     sync.Mutex
	issuedPorts = map[int]bool{}
)

// FreeAddress returns a loopback address whose port is free for TCP and UDP at
// the time of the check. It never returns the same address twice.
func FreeAddress() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !issuedPorts[port] && isFree(address) {
			issuedPorts[port] = true
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}
