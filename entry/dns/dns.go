// Package dns is a DNS server from which callers learn which entry hosts to use.
// It serves A, AAAA and SRV records for SERVICE.DOMAIN, each with a TTL.
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
	"syscall"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/world/placement"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Directory maps services to the entry hosts that accept their callers.
type Directory interface {
	// Ready reports whether a quorum has confirmed the rules of this host.
	Ready() bool
	// Service returns the hosts for a service; known is false if no rule names
	// the service.
	Service(name string) (hosts placement.Selection, known bool)
	// Host returns an entry host by its name, or nil if there is none.
	Host(name string) *wire.HostReport
}

// Server is a DNS server over UDP and TCP.
type Server struct {
	domain    string
	ttl       time.Duration
	directory Directory
	protect   func(net.Listener) net.Listener // the listener for TCP
	udp       *mdns.Server
	tcp       *mdns.Server
}

// Option changes one property of a server.
type Option func(*Server)

// WithListener sets a function that wraps the listener for TCP.
func WithListener(protect func(net.Listener) net.Listener) Option {
	return func(s *Server) { s.protect = protect }
}

// New returns a server for names below the domain, written as "snipebeam.".
func New(domain string, ttl time.Duration, directory Directory, opts ...Option) *Server {
	s := &Server{domain: mdns.Fqdn(domain), ttl: ttl, directory: directory, protect: func(l net.Listener) net.Listener { return l }}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Start listens on the address and serves until Stop.
func (s *Server) Start(address string) (net.Addr, error) {
	packets, listener, err := listen(address)
	for attempt := 1; err != nil && errors.Is(err, syscall.EADDRINUSE) && hasAnyPort(address) && attempt < maxListenAttempts; attempt++ {
		packets, listener, err = listen(address)
	}
	if err != nil {
		return nil, err
	}
	s.udp = &mdns.Server{PacketConn: packets, Handler: s}
	s.tcp = &mdns.Server{Listener: s.protect(listener), Handler: s}
	serve(s.udp)
	serve(s.tcp)
	return packets.LocalAddr(), nil
}

// maxListenAttempts bounds how many ports are tried if the address names none: a
// port that is free for UDP may be in use for TCP.
const maxListenAttempts = 16

func hasAnyPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port == "0"
}

// listen opens the same port for UDP and TCP.
func listen(address string) (net.PacketConn, net.Listener, error) {
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for DNS over UDP")
	}
	listener, err := net.Listen("tcp", packets.LocalAddr().String())
	if err != nil {
		_ = packets.Close()
		return nil, nil, errors.Wrap(err, "listen for DNS over TCP")
	}
	return packets, listener, nil
}

// serve starts the server and returns once it accepts queries, so that Stop can
// shut it down.
func serve(server *mdns.Server) {
	started := make(chan struct{})
	server.NotifyStartedFunc = func() { close(started) }
	go func() { _ = server.ActivateAndServe() }()
	<-started
}

// Stop shuts down both transports.
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

// ServeDNS responds to one query.
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
		reply.Truncate(maxUDPSize(req))
	}
	// The error is ignored: a client that gets no reply retries.
	_ = w.WriteMsg(reply)
}

// maxUDPSize returns the largest reply that the client accepts over UDP.
func maxUDPSize(req *mdns.Msg) int {
	if opt := req.IsEdns0(); opt != nil {
		return max(mdns.MinMsgSize, int(opt.UDPSize()))
	}
	return mdns.MinMsgSize
}

const (
	hostsLabel = ".hosts"      // NAME.hosts.DOMAIN is an entry host
	srvPrefix  = "_http._tcp." // _http._tcp.SERVICE.DOMAIN (RFC 2782)
)

func (s *Server) answer(reply *mdns.Msg, q mdns.Question) {
	name, ok := strings.CutSuffix(strings.ToLower(q.Name), "."+s.domain)
	switch {
	case !ok || q.Qclass != mdns.ClassINET:
		reply.Rcode = mdns.RcodeRefused
	case !s.directory.Ready():
		reply.Rcode = mdns.RcodeServerFailure
	default:
		s.resolve(reply, q, strings.TrimPrefix(name, srvPrefix))
	}
}

func (s *Server) resolve(reply *mdns.Msg, q mdns.Question, name string) {
	if hostName, found := strings.CutSuffix(name, hostsLabel); found {
		s.resolveHost(reply, q, hostName)
		return
	}
	chosen, known := s.directory.Service(name)
	if !known {
		reply.Rcode = mdns.RcodeNameError
		return
	}
	for _, host := range chosen.Active() {
		s.addRecord(reply, q, host, 0)
	}
	if q.Qtype != mdns.TypeSRV {
		// Address records have no priority: a spare would be used like an active host.
		return
	}
	for n, host := range chosen.Spares() {
		s.addRecord(reply, q, host, uint16(n+1))
	}
}

func (s *Server) resolveHost(reply *mdns.Msg, q mdns.Question, name string) {
	host := s.directory.Host(name)
	if host == nil {
		reply.Rcode = mdns.RcodeNameError
		return
	}
	s.addRecord(reply, q, host, 0)
}

func (s *Server) addRecord(reply *mdns.Msg, q mdns.Question, host *wire.HostReport, priority uint16) {
	text, portText, err := net.SplitHostPort(host.GetCallersAddress())
	if err != nil {
		return
	}
	ip := net.ParseIP(text)
	header := mdns.RR_Header{Name: q.Name, Rrtype: q.Qtype, Class: mdns.ClassINET, Ttl: uint32(s.ttl.Seconds())}
	switch q.Qtype {
	case mdns.TypeA, mdns.TypeAAAA:
		if record := addressRecord(header, ip); record != nil {
			reply.Answer = append(reply.Answer, record)
		}
	case mdns.TypeSRV:
		port, err := strconv.ParseUint(portText, 10, 16)
		if err != nil {
			return
		}
		target := mdns.Fqdn(host.GetName() + hostsLabel + "." + s.domain)
		reply.Answer = append(reply.Answer, &mdns.SRV{Hdr: header, Priority: priority, Weight: 1, Port: uint16(port), Target: target})
		s.addTargetAddress(reply, target, ip)
	default:
	}
}

func (s *Server) addTargetAddress(reply *mdns.Msg, target string, ip net.IP) {
	rrtype := mdns.TypeAAAA
	if ip.To4() != nil {
		rrtype = mdns.TypeA
	}
	header := mdns.RR_Header{Name: target, Rrtype: rrtype, Class: mdns.ClassINET, Ttl: uint32(s.ttl.Seconds())}
	if record := addressRecord(header, ip); record != nil {
		reply.Extra = append(reply.Extra, record)
	}
}

func addressRecord(header mdns.RR_Header, ip net.IP) mdns.RR {
	ip4 := ip.To4()
	switch {
	case header.Rrtype == mdns.TypeA && ip4 != nil:
		return &mdns.A{Hdr: header, A: ip4}
	case header.Rrtype == mdns.TypeAAAA && ip4 == nil && ip != nil:
		return &mdns.AAAA{Hdr: header, AAAA: ip}
	}
	return nil
}
