// Package discovery serves the platform's HTTP API: address lookup for callers,
// registration for instances, and health checks and metrics for monitoring.
//
//	GET    /v1/addresses/SERVICE?zone=ZONE   entry hosts to use, with a TTL
//	PUT    /v1/instances/ID                  announce, or renew the lease
//	DELETE /v1/instances/ID                  withdraw
//	GET    /livez, /readyz, /metrics
//
// Rejected calls get a Problem as their response body.
//
// Usage:
//
//	handler := discovery.New(discovery.Config{...})
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

// Config holds the dependencies and settings of the platform handler.
type Config struct {
	Host      string
	Table     *rules.Table
	Members   Membership
	Entries   func() []*wire.HostReport
	Ready     func() bool
	Metrics   func(w io.Writer) // writes the Prometheus text format
	Decisions *decision.Log
	Keys      *key.Ring
	Rate      func(service string) float64 // requests per second over all entry hosts
	HostRate  float64                      // requests per second of one service that one entry host accepts
}

type handler struct {
	cfg Config
}

// New returns the HTTP handler of the platform API.
func New(cfg Config) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(gin.Recovery())
	engine.NoRoute(func(c *gin.Context) { abort(c, NotFound, "no resource at "+c.Request.URL.Path) })
	engine.NoMethod(func(c *gin.Context) {
		abort(c, WrongMethod, c.Request.Method+" is not allowed for "+c.Request.URL.Path)
	})
	h := &handler{cfg: cfg}
	engine.GET("/v1/addresses/:service", h.addresses)
	engine.PUT("/v1/instances/:id", h.requireKey, h.requireValidID, h.announce)
	engine.DELETE("/v1/instances/:id", h.requireKey, h.requireValidID, h.withdraw)
	engine.GET("/livez", func(c *gin.Context) { c.String(http.StatusOK, "live\n") })
	engine.GET("/readyz", h.ready)
	engine.GET("/metrics", func(c *gin.Context) { cfg.Metrics(c.Writer) })
	return engine
}

func (h *handler) ready(c *gin.Context) {
	if !h.cfg.Ready() {
		c.String(http.StatusServiceUnavailable, "not ready\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}
