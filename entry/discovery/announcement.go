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

// Bounds of an announcement.
const (
	maxAnnouncementBytes = 16 << 10
	maxSlots             = 10_000
	maxMaxLinks          = 1_000_000
)

// name is what an instance, service or zone may be called.
var name = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)

// Announcement is what an instance says of itself.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Slots       uint32 `json:"slots"`
	MaxLinks    uint32 `json:"maxLinks"`
	Cold        bool   `json:"cold"`
	Draining    bool   `json:"draining"`
	Incarnation uint64 `json:"incarnation"` // raised on each start
	Sequence    uint64 `json:"sequence"`    // raised with each announcement
}

// Lease tells an instance how long its announcement holds, and which other
// entry hosts it can turn to.
type Lease struct {
	LeaseSeconds float64  `json:"leaseSeconds"`
	HeardBy      string   `json:"heardBy"`
	Alternates   []string `json:"alternates,omitempty"`
}

// Membership takes what instances say of themselves.
type Membership interface {
	// Announce takes an announcement and renews its lease.
	Announce(m *wire.Instance) error
	// Withdraw takes an instance's word that it leaves; incarnation 0 means the
	// one that is known.
	Withdraw(id string, incarnation uint64) error
	// Alternates returns platform addresses of other entry hosts.
	Alternates(id string) []string
}

func (a *Announcement) check() error {
	switch {
	case !name.MatchString(a.Service):
		return errors.Errorf("service %q is not a name", a.Service)
	case a.Zone != "" && !name.MatchString(a.Zone):
		return errors.Errorf("zone %q is not a name", a.Zone)
	case a.Slots > maxSlots:
		return errors.Errorf("%d slots are over the most, %d", a.Slots, maxSlots)
	case a.MaxLinks > maxMaxLinks:
		return errors.Errorf("%d links are over the most, %d", a.MaxLinks, maxMaxLinks)
	}
	return checkAddress(a.Address)
}

// checkAddress takes an IP address with a port: a name would be looked up on
// the path of each request.
func checkAddress(address string) error {
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

func (p *platform) keyed(c *gin.Context) {
	if !p.parts.Keys.Accepts(c.Request) {
		refuse(c, KeyRefused, "key missing or not accepted")
	}
}

// named refuses ids that are not names.
func (p *platform) named(c *gin.Context) {
	if !name.MatchString(c.Param("id")) {
		refuse(c, Malformed, "the id of an instance holds up to 128 letters, digits, dots, hyphens and underscores")
	}
}

func (p *platform) announce(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxAnnouncementBytes)
	var a Announcement
	if err := c.ShouldBindJSON(&a); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			refuse(c, TooLarge, "an announcement has at most "+strconv.Itoa(maxAnnouncementBytes)+" bytes")
			return
		}
		refuse(c, Malformed, "the announcement is not the JSON that is wanted: "+err.Error())
		return
	}
	if err := a.check(); err != nil {
		refuse(c, Malformed, err.Error())
		return
	}
	p.answer(c, p.parts.Members.Announce(&wire.Instance{
		Id: c.Param("id"), Service: a.Service, Address: a.Address, Zone: a.Zone, Slots: a.Slots, MaxLinks: a.MaxLinks,
		Cold: a.Cold, Draining: a.Draining, Incarnation: a.Incarnation, Sequence: a.Sequence,
	}))
}

func (p *platform) leave(c *gin.Context) {
	incarnation, err := strconv.ParseUint(c.DefaultQuery("incarnation", "0"), 10, 64)
	if err != nil {
		refuse(c, Malformed, "incarnation is not a number")
		return
	}
	p.answer(c, p.parts.Members.Withdraw(c.Param("id"), incarnation))
}

func (p *platform) answer(c *gin.Context, err error) {
	switch {
	case err == nil:
		c.JSON(http.StatusOK, Lease{
			LeaseSeconds: gossip.LeaseTime.Seconds(), HeardBy: p.parts.Host, Alternates: p.parts.Members.Alternates(c.Param("id")),
		})
	case errors.Is(err, gossip.ErrOldIncarnation), errors.Is(err, gossip.ErrLeft):
		refuse(c, OldIncarnation, err.Error())
	default:
		refuse(c, Malformed, err.Error())
	}
}
