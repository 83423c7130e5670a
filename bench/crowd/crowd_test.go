package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"strings"
	"testing"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/bench/crowd"
	"github.com/snipebeam/snipebeam/world/wire"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// A process uses at most this part of its descriptors; the rest is for links to
// instances and other hosts, files and the moment between a close and the next accept.
const descriptorPart = 0.9

var shapes = []struct {
	name  string
	shape crowd.Shape
}{
	{"short lines", crowd.ShortLines},
	{"odd lines", crowd.OddLines},
	{"heads over the limit", crowd.LongHeads},
	{"heads and lines without end", crowd.EndlessHeads},
	{"empty lines", crowd.EmptyLines},
	{"bodies without end", crowd.EndlessBodies},
	{"held open slowly", crowd.SlowShapes},
}

type listener struct {
	name    string
	control bool
	path    string // of requests that the listener knows
	ask     string // path of an ordinary request, empty: path
	wants   int    // status of an ordinary request
	dns     bool
}

// Guards against a process that clients outside the limits end, hang, or take beyond the
// memory or descriptors of its machine.
func TestCrowdsOnThePlatform(t *testing.T) {
	needsCrowd(t)
	testCrowds(t, true, []listener{
		{name: "callers", path: "/x", wants: http.StatusOK},
		{name: "ready", path: "/v1/readyz", wants: http.StatusOK},
		{name: "peers", path: "/twirp/snipebeam.wire.Peer/Announce", ask: "/", wants: http.StatusNotFound},
		{name: "metrics", path: "/metrics", wants: http.StatusOK},
		{name: "control", control: true, path: "/v1/Config.Put", ask: "/v1/Config.Get", wants: http.StatusOK},
		{name: "directory", control: true, path: "/v1/resolve?name=a", wants: http.StatusOK},
		{name: "control peers", control: true, path: "/twirp/snipebeam.wire.Quorum/Hello", ask: "/metrics", wants: http.StatusOK},
		{name: "control metrics", control: true, path: "/metrics", wants: http.StatusOK},
	})
}

// The same for the programs without the platform.
func TestCrowds(t *testing.T) {
	needsCrowd(t)
	testCrowds(t, false, []listener{
		{name: "callers", path: "/x", wants: http.StatusOK},
		{name: "platform", path: "/v1/instances/x", ask: "/readyz", wants: http.StatusOK},
		{name: "control peers", control: true, path: "/twirp/snipebeam.wire.Rules/Submit", ask: "/metrics", wants: http.StatusOK},
		{name: "dns", dns: true},
	})
}

func needsCrowd(t *testing.T) {
	if os.Getenv("SNIPEBEAM_CROWD") == "" {
		t.Skip("runs alone, by make crowd")
	}
}

func testCrowds(t *testing.T, platform bool, all []listener) {
	s := newSystem(t, platform)
	for _, l := range all {
		for _, sent := range shapes {
			s.testCrowd(t, l, sent.name, func(t *testing.T) {
				crowd.Send(t.Context(), s.addresses[l.name], crowd.Target{Method: http.MethodGet, Path: l.path, Host: "a"}, sent.shape)
			})
		}
	}
	if !platform {
		for _, name := range []string{"dns", "peers"} {
			l := listener{name: name, dns: name == "dns", ask: "/", wants: http.StatusNotFound}
			s.testCrowd(t, l, "datagrams", func(t *testing.T) { datagrams(t, s.addresses[name]) })
		}
	}
}

func (s *system) testCrowd(t *testing.T, l listener, name string, send func(t *testing.T)) {
	if !t.Run(l.name+"/"+name, func(t *testing.T) { s.check(t, l, send) }) {
		s.restart(t, l.control)
	}
}

func (s *system) check(t *testing.T, l listener, send func(t *testing.T)) {
	p, limits := s.entry, entryLimits
	if l.control {
		p, limits = s.control, controlLimits
	}
	s.awaitAnswer(t, l)
	must.NoError(t, p.Reset())
	send(t)
	peak, err := p.PeakBytes()
	descriptors := p.PeakDescriptors()
	t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak>>20, limits.Bytes>>20, descriptors, limits.Descriptors)
	if !p.Alive() {
		t.Fatal("the process has ended")
	}
	must.NoError(t, err)
	if peak > limits.Bytes {
		t.Errorf("the process took %d MB, its machine has %d", peak>>20, limits.Bytes>>20)
	}
	if bound := int(descriptorPart * float64(limits.Descriptors)); descriptors > bound {
		t.Errorf("the process had %d descriptors open, the bound is %d", descriptors, bound)
	}
	s.awaitAnswer(t, l)
	s.awaitServed(t)
	must.True(t, p.Alive())
}

// awaitAnswer waits until the listener answers one ordinary request.
func (s *system) awaitAnswer(t *testing.T, l listener) {
	if l.dns {
		s.awaitDNS(t)
		return
	}
	path := l.ask
	if path == "" {
		path = l.path
	}
	eventually(t, "an ordinary request is answered", func() bool {
		status, _, err := get(t, s.addresses[l.name], path)
		return err == nil && status == l.wants
	})
}

func (s *system) awaitDNS(t *testing.T) {
	for _, network := range []string{"udp", "tcp"} {
		client := mdns.Client{Net: network, Timeout: time.Second}
		eventually(t, "a query is answered over "+network, func() bool {
			reply, _, err := client.Exchange(new(mdns.Msg).SetQuestion("a.snipebeam.", mdns.TypeA), s.addresses["dns"])
			return err == nil && reply.Rcode == mdns.RcodeSuccess
		})
	}
}

// datagrams sends datagrams that are no messages.
func datagrams(t *testing.T, address string) {
	conn, err := net.Dial("udp", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for n := range 20_000 {
		// An error is an ICMP reply, which does not matter.
		_, _ = conn.Write(bytes.Repeat([]byte{byte(n), byte(n >> 8)}, 1+n%700))
	}
}

// Guards against limits that an ordinary client reaches: heads of the size that clients
// are told are served when nothing else happens, whatever lines they consist of.
func TestLegalHeadIsServed(t *testing.T) {
	needsCrowd(t)
	s := newSystem(t, true)
	for name, line := range map[string]string{"shortest lines": "a:\r\n", "long lines": "x-a: " + strings.Repeat("y", 1000) + "\r\n"} {
		head := "GET /x HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nConnection: close\r\n"
		head += strings.Repeat(line, (16_384-len(head)-len("\r\n"))/len(line)) + "\r\n"
		must.StrHasPrefix(t, "HTTP/1.1 200 ", exchange(t, s.addresses["callers"], head), must.Sprint(name))
	}
	body := "POST /x HTTP/1.1\r\nHost: a\r\nRequest-Id: 2\r\nConnection: close\r\nContent-Length: 67108864\r\n\r\n" + strings.Repeat("y", 67_108_864)
	must.StrHasPrefix(t, "HTTP/1.1 200 ", exchange(t, s.addresses["callers"], body))
}

// Guards against one message of legal size whose entries take a hundred times their bytes.
func TestMessagesOfVeryManyEntries(t *testing.T) {
	needsCrowd(t)
	s := newSystem(t, true)
	empty, err := proto.Marshal(&wire.AnnounceRequest{Instances: []*wire.Instance{{}}})
	must.NoError(t, err)
	const reportField, backlogField, messagesField = 1, 9, 3
	report := bytes.Repeat(protowire.AppendBytes(protowire.AppendTag(nil, backlogField, protowire.BytesType), nil), 6<<20)
	watch := string(protowire.AppendBytes(protowire.AppendTag(nil, reportField, protowire.BytesType), report))
	step := strings.Repeat(string(protowire.AppendBytes(protowire.AppendTag(nil, messagesField, protowire.BytesType), nil)), 6<<20)
	for _, m := range []struct {
		listener         listener
		path, kind, body string
	}{
		{listener{name: "control", control: true, path: "/v1/Config.Get", wants: http.StatusOK}, "/v1/Config.Put", "application/json", `{"version":"00000002","resources":[` + strings.Repeat("{},", 2<<20) + "{}]}"},
		{listener{name: "peers", path: "/", wants: http.StatusNotFound}, wire.PeerPathPrefix + "Announce", "application/protobuf", strings.Repeat(string(empty), 3<<20/len(empty))},
		{listener{name: "control peers", control: true, path: "/metrics", wants: http.StatusOK}, wire.RulesPathPrefix + "Watch", "application/protobuf", watch},
		{listener{name: "control peers", control: true, path: "/metrics", wants: http.StatusOK}, wire.QuorumPathPrefix + "Step", "application/protobuf", step},
	} {
		s.testCrowd(t, m.listener, path.Base(m.path), func(t *testing.T) {
			exchange(t, s.addresses[m.listener.name], fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", m.path, m.kind, len(m.body), m.body))
		})
	}
}

func exchange(t *testing.T, address, text string) string {
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	must.NoError(t, err)
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	go func() { _, _ = io.WriteString(conn, text) }()
	answer, _ := io.ReadAll(conn)
	return string(answer)
}
