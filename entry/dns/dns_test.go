package dns_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/entry/dns"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// fakeDirectory has the service "a" on the given hosts.
type fakeDirectory struct {
	ready  bool
	hosts  []*wire.HostReport
	spares int // number of hosts, at the end of the list, that are spares
}

func (d *fakeDirectory) Ready() bool { return d.ready }

func (d *fakeDirectory) Service(name string) (placement.Selection, bool) {
	if name != "a" {
		return placement.Selection{}, false
	}
	return placement.NewSelection(d.hosts, len(d.hosts)-d.spares), true
}

func (d *fakeDirectory) Host(name string) *wire.HostReport {
	for _, host := range d.hosts {
		if host.GetName() == name {
			return host
		}
	}
	return nil
}

func entries(n int) []*wire.HostReport {
	var all []*wire.HostReport
	for i := range n {
		all = append(all, &wire.HostReport{Name: fmt.Sprintf("e%d", i), CallersAddress: fmt.Sprintf("10.0.%d.%d:7200", i/200, i%200+1)})
	}
	return all
}

// responseRecorder records the reply to a query from the remote address.
type responseRecorder struct {
	mdns.ResponseWriter
	remote net.Addr
	reply  *mdns.Msg
}

func (w *responseRecorder) RemoteAddr() net.Addr { return w.remote }

func (w *responseRecorder) WriteMsg(m *mdns.Msg) error {
	w.reply = m
	return nil
}

func exchange(d dns.Directory, req *mdns.Msg) *mdns.Msg {
	w := &responseRecorder{remote: &net.UDPAddr{}}
	dns.New("snipebeam", 5*time.Second, d).ServeDNS(w, req)
	return w.reply
}

func query(name string, rrtype uint16) *mdns.Msg { return new(mdns.Msg).SetQuestion(name, rrtype) }

func TestAnswers(t *testing.T) {
	d := &fakeDirectory{ready: true, hosts: append(entries(2), &wire.HostReport{Name: "six", CallersAddress: "[fd00::1]:7200"})}
	reply := exchange(d, query("A.snipebeam.", mdns.TypeA))
	must.Eq(t, mdns.RcodeSuccess, reply.Rcode)
	must.Len(t, 2, reply.Answer)
	must.Eq(t, 5, reply.Answer[0].Header().Ttl)
	must.Len(t, 1, exchange(d, query("a.snipebeam.", mdns.TypeAAAA)).Answer)
	reply = exchange(d, query("_http._tcp.a.snipebeam.", mdns.TypeSRV))
	must.Len(t, 3, reply.Answer)
	must.Len(t, 3, reply.Extra)
	target := reply.Answer[0].(*mdns.SRV).Target
	must.Eq(t, "e0.hosts.snipebeam.", target)
	must.Len(t, 1, exchange(d, query(target, mdns.TypeA)).Answer)
	must.SliceEmpty(t, exchange(d, query("a.snipebeam.", mdns.TypeTXT)).Answer)
}

func TestSparesAreListedWithALowerPriorityOnly(t *testing.T) {
	d := &fakeDirectory{ready: true, hosts: entries(3), spares: 2}
	must.Len(t, 1, exchange(d, query("a.snipebeam.", mdns.TypeA)).Answer)
	reply := exchange(d, query("a.snipebeam.", mdns.TypeSRV))
	must.Len(t, 3, reply.Answer)
	for n, record := range reply.Answer {
		must.Eq(t, uint16(n), record.(*mdns.SRV).Priority)
	}
}

func TestBadQueries(t *testing.T) {
	d := &fakeDirectory{ready: true, hosts: entries(1)}
	must.Eq(t, mdns.RcodeNameError, exchange(d, query("b.snipebeam.", mdns.TypeA)).Rcode)
	must.Eq(t, mdns.RcodeNameError, exchange(d, query("e9.hosts.snipebeam.", mdns.TypeA)).Rcode)
	must.Eq(t, mdns.RcodeRefused, exchange(d, query("example.org.", mdns.TypeA)).Rcode)
	must.Eq(t, mdns.RcodeRefused, exchange(d, query("snipebeam.", mdns.TypeA)).Rcode)
	must.Eq(t, mdns.RcodeFormatError, exchange(d, new(mdns.Msg)).Rcode)
	update := query("a.snipebeam.", mdns.TypeA)
	update.Opcode = mdns.OpcodeUpdate
	must.Eq(t, mdns.RcodeNotImplemented, exchange(d, update).Rcode)
	chaos := query("a.snipebeam.", mdns.TypeA)
	chaos.Question[0].Qclass = mdns.ClassCHAOS
	must.Eq(t, mdns.RcodeRefused, exchange(d, chaos).Rcode)
	d.ready = false
	must.Eq(t, mdns.RcodeServerFailure, exchange(d, query("a.snipebeam.", mdns.TypeA)).Rcode)
}

func TestLongAnswersAreTruncatedOverUDPOnly(t *testing.T) {
	d := &fakeDirectory{ready: true, hosts: entries(500)}
	reply := exchange(d, query("a.snipebeam.", mdns.TypeA))
	must.True(t, reply.Truncated)
	must.LessEq(t, mdns.MinMsgSize, reply.Len())
	w := &responseRecorder{remote: &net.TCPAddr{}}
	dns.New("snipebeam", 5*time.Second, d).ServeDNS(w, query("a.snipebeam.", mdns.TypeA))
	must.Len(t, 500, w.reply.Answer)
}

func TestServerListensOnBothTransports(t *testing.T) {
	server := dns.New("snipebeam", 5*time.Second, &fakeDirectory{ready: true, hosts: entries(1)})
	address, err := server.Start("127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, server.Stop(t.Context())) }()
	for _, transport := range []string{"udp", "tcp"} {
		client := &mdns.Client{Net: transport}
		reply, _, err := client.ExchangeContext(t.Context(), query("a.snipebeam.", mdns.TypeA), address.String())
		must.NoError(t, err)
		must.Len(t, 1, reply.Answer)
	}
	_, err = dns.New("snipebeam", time.Second, &fakeDirectory{}).Start(address.String())
	must.ErrorContains(t, err, "address already in use")
}

func TestServerFindsAPortThatIsFreeForBothTransports(t *testing.T) {
	for range 500 { // taken for TCP, and given out for UDP now and then
		taken, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer func() { _ = taken.Close() }()
	}
	for range 200 {
		server := dns.New("snipebeam", time.Second, &fakeDirectory{})
		_, err := server.Start("127.0.0.1:0")
		must.NoError(t, err)
		must.NoError(t, server.Stop(t.Context()))
	}
}
