// Package dns answers callers that ask by DNS which entry hosts to use: A,
// AAAA and SRV records for SERVICE.DOMAIN, each with a lifetime.
//
// Usage:
//
//	server := dns.New("127.0.0.1:5353", "snipebeam.", answer)
//	server.Start()
package dns

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Lookup returns the entry hosts for a service; known is false if no rule
// names it.
type Lookup func(service string) (answer placement.Answer, known bool)

// Server answers over UDP and TCP.
type Server struct {
	domain   string
	lifetime time.Duration
	lookup   Lookup
	udp      *mdns.Server
	tcp      *mdns.Server
}

// New returns a server for names below the domain, written as "snipebeam.".
func New(domain string, lifetime time.Duration, lookup Lookup) *Server {
	return &Server{domain: mdns.Fqdn(domain), lifetime: lifetime, lookup: lookup}
}

// Start listens on the address and serves until Stop.
func (s *Server) Start(address string) (net.Addr, error) {
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for DNS over UDP")
	}
	listener, err := net.Listen("tcp", packets.LocalAddr().String())
	if err != nil {
		_ = packets.Close()
		return nil, errors.Wrap(err, "listen for DNS over TCP")
	}
	s.udp = &mdns.Server{PacketConn: packets, Handler: s}
	s.tcp = &mdns.Server{Listener: listener, Handler: s}
	go func() { _ = s.udp.ActivateAndServe() }()
	go func() { _ = s.tcp.ActivateAndServe() }()
	return packets.LocalAddr(), nil
}

// Stop ends both servers.
func (s *Server) Stop(ctx context.Context) error {
	if s.udp == nil {
		return nil
	}
	return errors.Wrap(firstError(s.udp.ShutdownContext(ctx), s.tcp.ShutdownContext(ctx)), "stop DNS")
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// ServeDNS answers one query.
func (s *Server) ServeDNS(w mdns.ResponseWriter, req *mdns.Msg) {
	reply := new(mdns.Msg)
	reply.SetReply(req)
	reply.Authoritative = true
	if len(req.Question) != 1 {
		reply.Rcode = mdns.RcodeFormatError
	} else {
		s.answer(reply, req.Question[0])
	}
	// A lost reply is asked for again.
	_ = w.WriteMsg(reply)
}

func (s *Server) answer(reply *mdns.Msg, q mdns.Question) {
	name := strings.ToLower(q.Name)
	service, ok := strings.CutSuffix(name, "."+s.domain)
	if !ok {
		reply.Rcode = mdns.RcodeRefused
		return
	}
	if rest, found := strings.CutPrefix(service, "_http._tcp."); found {
		service = rest
	}
	chosen, known := s.lookup(service)
	if !known {
		reply.Rcode = mdns.RcodeNameError
		return
	}
	for _, host := range chosen.Active() {
		s.add(reply, q, host, 0)
	}
	if q.Qtype != mdns.TypeSRV {
		// Address records have no priority: a spare would be used like the others.
		return
	}
	for n, host := range chosen.Spares() {
		s.add(reply, q, host, uint16(n+1))
	}
}

func (s *Server) add(reply *mdns.Msg, q mdns.Question, host *wire.HostReport, priority uint16) {
	text, portText, err := net.SplitHostPort(host.GetCallersAddress())
	if err != nil {
		return
	}
	ip := net.ParseIP(text)
	head := mdns.RR_Header{Name: q.Name, Rrtype: q.Qtype, Class: mdns.ClassINET, Ttl: uint32(s.lifetime.Seconds())}
	switch q.Qtype {
	case mdns.TypeA, mdns.TypeAAAA:
		if record := addressRecord(head, ip); record != nil {
			reply.Answer = append(reply.Answer, record)
		}
	case mdns.TypeSRV:
		port, err := strconv.ParseUint(portText, 10, 16)
		if err != nil {
			return
		}
		target := mdns.Fqdn(host.GetName() + ".hosts." + s.domain)
		reply.Answer = append(reply.Answer, &mdns.SRV{Hdr: head, Priority: priority, Weight: 1, Port: uint16(port), Target: target})
		s.addTarget(reply, target, ip)
	default:
	}
}

func (s *Server) addTarget(reply *mdns.Msg, target string, ip net.IP) {
	kind := mdns.TypeAAAA
	if ip.To4() != nil {
		kind = mdns.TypeA
	}
	head := mdns.RR_Header{Name: target, Rrtype: kind, Class: mdns.ClassINET, Ttl: uint32(s.lifetime.Seconds())}
	if record := addressRecord(head, ip); record != nil {
		reply.Extra = append(reply.Extra, record)
	}
}

func addressRecord(head mdns.RR_Header, ip net.IP) mdns.RR {
	four := ip.To4()
	switch {
	case head.Rrtype == mdns.TypeA && four != nil:
		return &mdns.A{Hdr: head, A: four}
	case head.Rrtype == mdns.TypeAAAA && four == nil && ip != nil:
		return &mdns.AAAA{Hdr: head, AAAA: ip}
	}
	return nil
}
