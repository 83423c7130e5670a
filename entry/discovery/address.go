package discovery

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/snipebeam/snipebeam/entry/decision"
	"github.com/snipebeam/snipebeam/world/placement"
)

// AddressTTL is how long a caller may keep an address answer.
const AddressTTL = 5 * time.Second

// Address is one entry host in an address answer.
type Address struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Spare marks a host to be used only if no other one can be reached.
	Spare bool `json:"spare,omitempty"`
}

// AddressResponse tells a caller which entry hosts to use for a service.
type AddressResponse struct {
	Service    string    `json:"service"`
	TTLSeconds float64   `json:"ttlSeconds"`
	Addresses  []Address `json:"addresses"`
}

func (p *platform) addresses(c *gin.Context) {
	service := c.Param("service")
	inForce := p.parts.Table.Current()
	if !p.parts.Table.Confirmed() {
		refuse(c, NotReady, "this host has not learned the rules in force yet")
		return
	}
	set := inForce.Set()
	if !set.HasService(service) {
		refuse(c, UnknownService, "no rule names the service "+service)
		return
	}
	answer := AddressResponse{Service: service, TTLSeconds: AddressTTL.Seconds(), Addresses: []Address{}}
	var names []string
	plan := placement.Plan{Spread: set.Terms(service).Spread(), HostRate: p.parts.HostRate, Rate: p.parts.Rate(service)}
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
	if len(names) == 0 {
		refuse(c, NoEntryHost, "no entry host is ready to take requests for "+service)
		return
	}
	c.JSON(http.StatusOK, answer)
}
