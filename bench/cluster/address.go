package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports that are handed out lie below those that the system gives to outgoing
// links, which could take one between its choice and its use.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 1000
)

var (
	portsMu sync.Mutex
	taken   = map[int]bool{}
)

// FreeAddress returns a loopback address whose port was free a moment ago, for
// TCP and UDP. It returns none twice.
func FreeAddress() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if !taken[port] && free(address) {
			taken[port] = true
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func free(address string) bool {
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
