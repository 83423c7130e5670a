package host

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/control/agreement"
	"github.com/snipebeam/snipebeam/control/disk"
	"github.com/snipebeam/snipebeam/control/peer"
	"github.com/snipebeam/snipebeam/control/quorum"
	"github.com/snipebeam/snipebeam/control/settings"
	"github.com/snipebeam/snipebeam/control/state"
	"github.com/snipebeam/snipebeam/world/key"
	"go.uber.org/fx"
)

var damagedFolders = metrics.GetOrCreateCounter("snipebeam_control_damaged_folders_total")

// replicaStore is the store of this host's replica, and the persistent state that
// its data folder contained at startup.
type replicaStore struct {
	store     *disk.Store
	persisted quorum.PersistentState
}

// newReplicaStore opens the store of the data folder. Where the leader maintains the membership, a
// replica with a damaged folder is replaced by a new one, which joins the group without an operator.
func newReplicaStore(cfg *settings.Settings, logger hclog.Logger) (*replicaStore, error) {
	folder, err := disk.NewOSFolder(cfg.Data.Folder)
	if err != nil {
		return nil, err
	}
	store, saved, err := peer.OpenStore(folder, cfg.Host.Name, firstStartSeeds(cfg)...)
	if disk.IsDamaged(err) && cfg.Quorum.Voters() > 0 {
		damagedFolders.Inc()
		logger.Error("the data folder is damaged, this control host joins the group as one without data", "folder", cfg.Data.Folder, "error", err, "setAsideAs", disk.AsidePrefix+"*")
		store, saved, err = peer.ReplaceStore(folder, cfg.Host.Name)
	}
	if err != nil {
		return nil, err
	}
	return &replicaStore{store: store, persisted: saved}, nil
}

func newNode(cfg *settings.Settings, logger hclog.Logger, ring *key.Ring, operators operatorRing, r *replicaStore, current *seeds, machine *state.Machine) (*peer.Node, error) {
	return peer.New(peer.Config{
		Name: cfg.Host.Name, Address: cfg.Listen.Peers, InitialHosts: initialHosts(cfg),
		Seeds: current.Seeds, Voters: cfg.Quorum.Voters(),
		Tick:          time.Duration(cfg.Quorum.TickMs) * time.Millisecond,
		ElectionTicks: cfg.Quorum.ElectionTicks, HeartbeatTicks: cfg.Quorum.HeartbeatTicks,
		Client:         func(t http.RoundTripper) *http.Client { return ring.Client(&http.Client{Transport: t}) },
		OperatorClient: func(t http.RoundTripper) *http.Client { return operators.Client(&http.Client{Transport: t}) },
		Logger:         logger,
	}, r.store, r.persisted, machine)
}

func initialHosts(cfg *settings.Settings) []peer.Host {
	if len(cfg.Quorum.Seeds) > 0 {
		return seedHosts(cfg)
	}
	var hosts []peer.Host
	for _, host := range cfg.Quorum.InitialHosts() {
		hosts = append(hosts, peer.Host{Name: host[0], Address: host[1]})
	}
	if len(hosts) == 0 {
		return []peer.Host{{Name: cfg.Host.Name, Address: cfg.Listen.Peers}}
	}
	return hosts
}

func newLog(node *peer.Node) agreement.Log { return node }

// runNode starts the node after the server has started, and stops it before the
// server stops.
func runNode(lc fx.Lifecycle, _ *http.Server, r *replicaStore, node *peer.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				node.Run(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return r.store.Close()
		},
	})
}
