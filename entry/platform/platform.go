// Package platform serves HTTP to callers that ask for addresses, to instances
// that announce themselves, and to whoever watches this host's health.
//
// Usage:
//
//	handler := platform.New(platform.Parts{...})
//	http.Serve(listener, handler)
package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/placement"
	"github.com/snipebeam/snipebeam/entry/registry"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// AnswerLifetime is how long a caller may keep an address answer.
const AnswerLifetime = 5 * time.Second

// passOnLimit bounds the time to pass an announcement on to the other hosts.
const passOnLimit = time.Second

// Parts are what the platform's handler works with.
type Parts struct {
	Host      string
	Table     *rules.Table
	Registry  *registry.Registry
	Entries   func() []*wire.HostReport
	PassOn    func(ctx context.Context, message *wire.Instance)
	Ready     func() bool
	Decisions *decision.Log
	Keys      *key.Ring
	HostRate  float64 // requests a second that one entry host takes of a service
}

// New returns the handler.
func New(parts Parts) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery())
	p := &platform{parts: parts}
	engine.GET("/v1/addresses/:service", p.addresses)
	engine.PUT("/v1/instances/:id", p.keyed, p.announce)
	engine.DELETE("/v1/instances/:id", p.keyed, p.leave)
	engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "live\n") })
	engine.GET("/readyz", p.ready)
	engine.GET("/metrics", func(c *gin.Context) { metrics.WritePrometheus(c.Writer, true) })
	return engine
}

type platform struct {
	parts Parts
}

// Address is one entry host in an address answer.
type Address struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Spare marks a host to be used only if no other one can be reached.
	Spare bool `json:"spare,omitempty"`
}

// AddressAnswer tells a caller which entry hosts to use for a service.
type AddressAnswer struct {
	Service    string    `json:"service"`
	TTLSeconds float64   `json:"ttlSeconds"`
	Addresses  []Address `json:"addresses"`
}

func (p *platform) addresses(c *gin.Context) {
	service := c.Param("service")
	set := p.parts.Table.Current().Set()
	if !set.Knows(service) {
		c.JSON(http.StatusNotFound, gin.H{"error": "no rule names the service " + service})
		return
	}
	answer := AddressAnswer{Service: service, TTLSeconds: AnswerLifetime.Seconds(), Addresses: []Address{}}
	var names []string
	plan := placement.Plan{Spread: set.Terms(service).Spread(), HostRate: p.parts.HostRate}
	chosen := placement.Choose(p.parts.Entries(), service, c.Query("zone"), plan)
	for n, host := range chosen.Hosts() {
		spare := n >= len(chosen.Active())
		answer.Addresses = append(answer.Addresses, Address{Host: host.GetName(), Address: host.GetCallersAddress(), Zone: host.GetZone(), Spare: spare})
		names = append(names, host.GetName())
	}
	p.parts.Decisions.Write(&decision.Decision{
		ID: uuid.NewString(), Kind: decision.Placement, At: time.Now(), Host: p.parts.Host, Service: service,
		Caller: c.ClientIP(), Hosts: names, Reason: "rendezvous",
	})
	c.JSON(http.StatusOK, answer)
}

// Announcement is what an instance says of itself.
type Announcement struct {
	Service     string `json:"service" binding:"required"`
	Address     string `json:"address" binding:"required,hostname_port"`
	Zone        string `json:"zone"`
	Slots       uint32 `json:"slots"`
	MaxLinks    uint32 `json:"maxLinks"`
	Cold        bool   `json:"cold"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"`
}

// Lease tells an instance how long its announcement holds.
type Lease struct {
	LeaseSeconds float64 `json:"leaseSeconds"`
	HeardBy      string  `json:"heardBy"`
}

func (p *platform) keyed(c *gin.Context) {
	if !p.parts.Keys.Accepts(c.Request) {
		c.AbortWithStatusJSON(http.StatusUnauthorized, gin.H{"error": "key missing or not accepted"})
	}
}

func (p *platform) announce(c *gin.Context) {
	var a Announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	p.hear(c, &wire.Instance{
		Id: c.Param("id"), Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: a.Slots,
		MaxLinks: a.MaxLinks, Cold: a.Cold, Draining: a.Draining, Incarnation: a.Incarnation,
	})
}

func (p *platform) leave(c *gin.Context) {
	p.hear(c, &wire.Instance{Id: c.Param("id"), Gone: true})
}

func (p *platform) hear(c *gin.Context, message *wire.Instance) {
	heard := p.parts.Registry.Announce(message, time.Now())
	ctx, cancel := context.WithTimeout(c.Request.Context(), passOnLimit)
	defer cancel()
	p.parts.PassOn(ctx, heard)
	c.JSON(http.StatusOK, Lease{LeaseSeconds: registry.LeaseTime.Seconds(), HeardBy: p.parts.Host})
}

func (p *platform) ready(c *gin.Context) {
	if !p.parts.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
