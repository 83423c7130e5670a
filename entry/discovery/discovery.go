// Package discovery serves HTTP to callers that ask for addresses, to instances
// that announce themselves, and to whoever watches this host's health.
//
//	GET    /v1/addresses/SERVICE?zone=ZONE   entry hosts to use, with a lifetime
//	PUT    /v1/instances/ID                  announce, or renew the lease
//	DELETE /v1/instances/ID                  leave
//	GET    /livez, /readyz, /metrics
//
// What is refused is answered with a Problem.
//
// Usage:
//
//	handler := discovery.New(discovery.Parts{...})
//	http.Serve(listener, handler)
package discovery

import (
	"io"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/entry/rules"
	"github.com/snipebeam/snipebeam/world/key"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Config are what the platform's handler works with.
type Config struct {
	Host      string
	Table     *rules.Table
	Members   Membership
	Entries   func() []*wire.HostReport
	Ready     func() bool
	Metrics   func(w io.Writer) // writes the Prometheus text format
	Decisions *decision.Log
	Keys      *key.Ring
	Rate      func(service string) float64 // requests a second over all entry hosts
	HostRate  float64                      // requests a second that one entry host takes of a service
}

type platform struct {
	parts Config
}

// New returns the handler.
func New(parts Config) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(gin.Recovery())
	engine.NoRoute(func(c *gin.Context) { refuse(c, NotFound, "there is nothing at "+c.Request.URL.Path) })
	engine.NoMethod(func(c *gin.Context) { refuse(c, WrongMethod, c.Request.Method+" is not for "+c.Request.URL.Path) })
	p := &platform{parts: parts}
	engine.GET("/v1/addresses/:service", p.addresses)
	engine.PUT("/v1/instances/:id", p.keyed, p.named, p.announce)
	engine.DELETE("/v1/instances/:id", p.keyed, p.named, p.leave)
	engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "live\n") })
	engine.GET("/readyz", p.ready)
	engine.GET("/metrics", func(c *gin.Context) { parts.Metrics(c.Writer) })
	return engine
}

func (p *platform) ready(c *gin.Context) {
	if !p.parts.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
