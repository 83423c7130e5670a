package discovery

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/world/placement"
)

// AddressTTL is how long a caller may cache an address response.
const AddressTTL = 5 * time.Second

// Address is one entry host in an address response.
type Address struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Spare marks a host to be used only if no other host is reachable.
	Spare bool `json:"spare,omitempty"`
}

// AddressResponse lists the entry hosts that a caller should use for a service.
type AddressResponse struct {
	Service    string    `json:"service"`
	TTLSeconds float64   `json:"ttlSeconds"`
	Addresses  []Address `json:"addresses"`
}

func (h *handler) addresses(c *gin.Context) {
	service := c.Param("service")
	inForce := h.cfg.Table.Current()
	if !h.cfg.Table.Confirmed() {
		abort(c, NotReady, "this host has not learned the rules in force yet")
		return
	}
	set := inForce.Set()
	if !set.HasService(service) {
		abort(c, UnknownService, "no rule names the service "+service)
		return
	}
	response := AddressResponse{Service: service, TTLSeconds: AddressTTL.Seconds(), Addresses: []Address{}}
	var names []string
	plan := placement.Plan{Spread: set.Terms(service).Spread(), HostRate: h.cfg.HostRate, Rate: h.cfg.Rate(service)}
	chosen := placement.Choose(h.cfg.Entries(), service, c.Query("zone"), plan)
	for n, host := range chosen.Hosts() {
		spare := n >= len(chosen.Active())
		response.Addresses = append(response.Addresses, Address{Host: host.GetName(), Address: host.GetCallersAddress(), Zone: host.GetZone(), Spare: spare})
		names = append(names, host.GetName())
	}
	h.cfg.Decisions.Write(&decision.Decision{
		ID: uuid.NewString(), Kind: decision.Placement, At: time.Now(), Host: h.cfg.Host, Service: service,
		Caller: c.ClientIP(), Hosts: names, Reason: "rendezvous",
	})
	if len(names) == 0 {
		abort(c, NoEntryHost, "no entry host is ready to accept requests for "+service)
		return
	}
	c.JSON(http.StatusOK, response)
}
