package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/snipebeam/snipebeam/snipebeam/control"
	"github.com/snipebeam/snipebeam/snipebeam/terminal"
	"github.com/snipebeam/snipebeam/world/wire"
)

type hostsCommand struct {
	List    hostsListCommand    `cmd:"" default:"withargs" help:"List the hosts."`
	Drain   hostsDrainCommand   `cmd:"" help:"Let a host finish what it has and take nothing new."`
	Undrain hostsUndrainCommand `cmd:"" help:"Let a drained host take callers again."`
}

// hostView is a host in JSON.
type hostView struct {
	Name             string `json:"name"`
	Role             string `json:"role"`
	Zone             string `json:"zone"`
	State            string `json:"state"`
	Version          uint64 `json:"version"`
	VersionsBehind   uint64 `json:"versionsBehind"`
	VersionConfirmed string `json:"versionConfirmedAt"`
	InFlight         uint32 `json:"inFlight"`
	ReportedAt       string `json:"reportedAt"`
	CallersAddress   string `json:"callersAddress"`
	PeersAddress     string `json:"peersAddress"`
	PlatformAddress  string `json:"platformAddress"`

	reportedAt  int64
	confirmedAt int64
}

func viewHosts(s *wire.StatusResponse) []hostView {
	views := []hostView{}
	for _, h := range s.GetHosts() {
		views = append(views, hostView{
			Name: h.GetName(), Role: h.GetRole(), Zone: h.GetZone(), State: h.GetState(), Version: h.GetVersion(),
			VersionsBehind: behind(s.GetVersion().GetNumber(), h.GetVersion()), VersionConfirmed: formatTime(h.GetVersionConfirmedAt()),
			InFlight: h.GetInFlight(), ReportedAt: formatTime(h.GetReportedAt()), CallersAddress: h.GetCallersAddress(),
			PeersAddress: h.GetPeersAddress(), PlatformAddress: h.GetPlatformAddress(),
			reportedAt: h.GetReportedAt(), confirmedAt: h.GetVersionConfirmedAt(),
		})
	}
	return views
}

func hostRows(out *terminal.Output, hosts []hostView) *terminal.Rows {
	rows := terminal.NewTable("host", "role", "zone", "state", "version", "confirmed", "in flight", "callers", "reported").
		Empty("no host reports to the control hosts yet")
	for _, h := range hosts {
		version := fmt.Sprint(h.Version)
		if h.VersionsBehind > 0 {
			version = out.Bad(fmt.Sprintf("%d, %d behind", h.Version, h.VersionsBehind))
		}
		rows.Row(h.Name, h.Role, h.Zone, out.State(h.State), version, formatAge(h.confirmedAt)+" ago", h.InFlight, h.CallersAddress, formatAge(h.reportedAt)+" ago")
	}
	return rows
}

type hostsListCommand struct{ watchFlags }

// Run lists the hosts.
func (c *hostsListCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	return c.repeat(g, func(ctx context.Context, out *terminal.Output) error {
		status, err := client.Status(ctx)
		if err != nil {
			return errors.Wrap(err, "read status")
		}
		hosts := viewHosts(status)
		if err := out.Show(hosts, hostRows(out, hosts)); err != nil {
			return err
		}
		return statusError(status, hosts)
	})
}

// findHost returns an entry host by its name.
func findHost(ctx context.Context, client *control.Client, name string) (*wire.HostReport, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read status")
	}
	for _, host := range status.GetHosts() {
		if host.GetName() == name && host.GetRole() == roleEntry {
			return host, nil
		}
	}
	return nil, errors.Errorf("no entry host is called %s (see \"snipebeam hosts\")", name)
}
