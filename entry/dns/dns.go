// Package dns answers callers that ask by DNS which entry hosts to use: A,
// AAAA and SRV records for SERVICE.DOMAIN, each with a lifetime.
//
// Usage:
//
//	server := dns.New("snipebeam.", 5*time.Second, directory)
//	address, err := server.Start("127.0.0.1:7253")
package dns

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Directory knows which entry hosts take a service's callers.
type Directory interface {
	// Ready reports whether this host has rules in force.
	Ready() bool
	// Service returns the hosts for a service; known is false if no rule names
	// it.
	Service(name string) (answer placement.Selection, known bool)
	// Host returns an entry host by its name, or nil.
	Host(name string) *wire.HostReport
}

// Server answers over UDP and TCP.
type Server struct {
	domain   string
	lifetime time.Duration
	hosts    Directory
	udp      *mdns.Server
	tcp      *mdns.Server
}

// New returns a server for names below the domain, written as "snipebeam.".
func New(domain string, lifetime time.Duration, hosts Directory) *Server {
	return &Server{domain: mdns.Fqdn(domain), lifetime: lifetime, hosts: hosts}
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
	activate(s.udp)
	activate(s.tcp)
	return packets.LocalAddr(), nil
}

// activate returns once the server serves, so that Stop can end it.
func activate(server *mdns.Server) {
	started := make(chan struct{})
	server.NotifyStartedFunc = func() { close(started) }
	go func() { _ = server.ActivateAndServe() }()
	<-started
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
	switch {
	case req.Opcode != mdns.OpcodeQuery:
		reply.Rcode = mdns.RcodeNotImplemented
	case len(req.Question) != 1:
		reply.Rcode = mdns.RcodeFormatError
	default:
		s.answer(reply, req.Question[0])
	}
	if _, overUDP := w.RemoteAddr().(*net.UDPAddr); overUDP {
		reply.Truncate(udpSize(req))
	}
	// A lost reply is asked for again.
	_ = w.WriteMsg(reply)
}

// udpSize returns how large a reply the asker takes over UDP.
func udpSize(req *mdns.Msg) int {
	if opt := req.IsEdns0(); opt != nil {
		return max(mdns.MinMsgSize, int(opt.UDPSize()))
	}
	return mdns.MinMsgSize
}

const (
	hostsLabel  = ".hosts"      // NAME.hosts.DOMAIN is an entry host
	httpService = "_http._tcp." // _http._tcp.SERVICE.DOMAIN (RFC 2782)
)

func (s *Server) answer(reply *mdns.Msg, q mdns.Question) {
	name, ok := strings.CutSuffix(strings.ToLower(q.Name), "."+s.domain)
	switch {
	case !ok || q.Qclass != mdns.ClassINET:
		reply.Rcode = mdns.RcodeRefused
	case !s.hosts.Ready():
		reply.Rcode = mdns.RcodeServerFailure
	default:
		s.find(reply, q, strings.TrimPrefix(name, httpService))
	}
}

func (s *Server) find(reply *mdns.Msg, q mdns.Question, name string) {
	if hostName, found := strings.CutSuffix(name, hostsLabel); found {
		s.findHost(reply, q, hostName)
		return
	}
	chosen, known := s.hosts.Service(name)
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

func (s *Server) findHost(reply *mdns.Msg, q mdns.Question, name string) {
	host := s.hosts.Host(name)
	if host == nil {
		reply.Rcode = mdns.RcodeNameError
		return
	}
	s.add(reply, q, host, 0)
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
		target := mdns.Fqdn(host.GetName() + hostsLabel + "." + s.domain)
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
