package discovery

import (
	"net"
	"net/http"
	"regexp"
	"strconv"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/entry/gossip"
	"github.com/snipebeam/snipebeam/world/wire"
)

// Limits of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxSlots             = 10_000
	maxLinkLimit         = 1_000_000
)

// namePattern matches the valid names of instances, services and zones.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// Announcement is an instance's registration, as sent by the instance.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       uint32 `json:"slots"`
	MaxLinks    uint32 `json:"maxLinks"`
	Cold        bool   `json:"cold"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"` // increases with each start
	Sequence    uint64 `json:"sequence"`    // increases with each announcement
}

// Lease is the response to an announcement: how long it is valid, and which
// other entry hosts the instance can announce itself to.
type Lease struct {
	LeaseSeconds float64  `json:"leaseSeconds"`
	HeardBy      string   `json:"heardBy"`
	Alternates   []string `json:"alternates,omitempty"`
}

// Membership registers and withdraws instances.
type Membership interface {
	// Announce registers an instance or renews its lease.
	Announce(m *wire.Instance) error
	// Withdraw removes an instance that leaves; incarnation 0 means the current
	// one.
	Withdraw(id string, incarnation uint64) error
	// Alternates returns the platform addresses of other entry hosts.
	Alternates(id string) []string
}

func (a *Announcement) validate() error {
	switch {
	case !namePattern.MatchString(a.Service):
		return errors.Errorf("invalid service name %q", a.Service)
	case a.Zone != "" && !namePattern.MatchString(a.Zone):
		return errors.Errorf("invalid zone name %q", a.Zone)
	case a.Slots > maxSlots:
		return errors.Errorf("%d slots exceed the limit of %d", a.Slots, maxSlots)
	case a.MaxLinks > maxLinkLimit:
		return errors.Errorf("%d links exceed the limit of %d", a.MaxLinks, maxLinkLimit)
	}
	return validateAddress(a.Address)
}

// validateAddress accepts only an IP address with a port: a host name would need
// a DNS lookup for each request.
func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("address %q is not HOST:PORT", address)
	}
	ip := net.ParseIP(host)
	n, err := strconv.ParseUint(port, 10, 16)
	if ip == nil || ip.IsUnspecified() || ip.IsMulticast() || err != nil || n == 0 {
		return errors.Errorf("address %q is not an IP address and a port that can be called", address)
	}
	return nil
}

func (h *handler) requireKey(c *gin.Context) {
	if !h.cfg.Keys.Accepts(c.Request) {
		abort(c, KeyRefused, "key missing or not accepted")
	}
}

// requireValidID rejects instance IDs that are not valid names.
func (h *handler) requireValidID(c *gin.Context) {
	if !namePattern.MatchString(c.Param("id")) {
		abort(c, Malformed, "an instance id consists of up to 128 letters, digits, dots, hyphens and underscores")
	}
}

func (h *handler) announce(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncementBytes)
	var a Announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			c.Header("Connection", "close") // the rest of the body is not read
			abort(c, TooLarge, "announcement exceeds the limit of "+strconv.Itoa(maxAnnouncementBytes)+" bytes")
			return
		}
		abort(c, Malformed, "invalid announcement: "+err.Error())
		return
	}
	if err := a.validate(); err != nil {
		abort(c, Malformed, err.Error())
		return
	}
	h.respond(c, h.cfg.Members.Announce(&wire.Instance{
		Id: c.Param("id"), Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: a.Slots, MaxLinks: a.MaxLinks,
		Cold: a.Cold, Draining: a.Draining, Incarnation: a.Incarnation, Sequence: a.Sequence,
	}))
}

func (h *handler) withdraw(c *gin.Context) {
	incarnation, err := strconv.ParseUint(c.DefaultQuery("incarnation", "0"), 10, 64)
	if err != nil {
		abort(c, Malformed, "incarnation is not a number")
		return
	}
	h.respond(c, h.cfg.Members.Withdraw(c.Param("id"), incarnation))
}

func (h *handler) respond(c *gin.Context, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, Lease{
			LeaseSeconds: gossip.LeaseTime.Seconds(), HeardBy: h.cfg.Host, Alternates: h.cfg.Members.Alternates(c.Param("id")),
		})
	case errors.Is(err, gossip.ErrOldIncarnation), errors.Is(err, gossip.ErrLeft):
		abort(c, OldIncarnation, err.Error())
	default:
		abort(c, Malformed, err.Error())
	}
}
