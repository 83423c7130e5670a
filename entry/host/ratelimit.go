package host

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/entry/control"
	"github.com/snipebeam/snipebeam/entry/route"
	"github.com/snipebeam/snipebeam/entry/settings"
	"github.com/snipebeam/snipebeam/world/instance"
	"github.com/snipebeam/snipebeam/world/wire"
	"go.uber.org/fx"
)

// statedFor is how long this host reports a rate limit that an instance stated. It is
// the longest time between two reports to a control host.
const statedFor = 3 * time.Second

// statedRateLimits returns the rate limits that instances stated recently in responses
// to this host.
func statedRateLimits(views *route.Views, now time.Time) []*wire.RateLimit {
	var stated []*wire.RateLimit
	for _, view := range views.All() {
		for _, m := range view.Members() {
			limit, at, ok := m.Load().StatedRateLimit()
			if age := now.UnixNano() - at; ok && age <= int64(statedFor) {
				stated = append(stated, rateLimitMessage(m, limit, age))
			}
		}
	}
	return stated
}

func rateLimitMessage(m route.Member, limit route.RateLimit, age int64) *wire.RateLimit {
	return &wire.RateLimit{Instance: string(m.Instance().ID()), PerSecond: limit.PerSecond(), Ended: !limit.Limited(), AgeNs: age}
}

func logRateLimit(logger hclog.Logger, m route.Member, limit route.RateLimit, source string) {
	logger.Info("instance rate limit", "service", m.Instance().Service(), "instance", string(m.Instance().ID()), "limit", limit.String(), "source", source)
}

// rateLimitNews applies the rate limits that instances stated to other hosts.
type rateLimitNews struct {
	views  *route.Views
	logger hclog.Logger
}

func newRateLimitNews(views *route.Views, logger hclog.Logger) *rateLimitNews {
	return &rateLimitNews{views: views, logger: logger}
}

func (n *rateLimitNews) apply(limits []*wire.RateLimit) {
	byInstance := make(map[instance.ID]*wire.RateLimit, len(limits))
	for _, limit := range limits {
		byInstance[instance.ID(limit.GetInstance())] = limit
	}
	now := time.Now().UnixNano()
	for _, view := range n.views.All() {
		for _, m := range view.Members() {
			news := byInstance[m.Instance().ID()]
			if news == nil {
				continue
			}
			limit := route.RateLimit{}
			if !news.GetEnded() {
				limit = route.NewRateLimit(news.GetPerSecond())
			}
			if m.Load().RecordRateLimit(limit, now-news.GetAgeNs()) {
				logRateLimit(n.logger, m, limit, "another host")
			}
		}
	}
}

// grants requests grants from the control hosts.
type grants struct {
	host  string
	quota *control.Quota
	news  *rateLimitNews
}

func newGrants(cfg *settings.Settings, watch *control.Watch, client *http.Client, news *rateLimitNews) *grants {
	return &grants{host: cfg.Host.Name, quota: control.NewQuota(watch.Hosts, client), news: news}
}

// request is a route.GrantFunc.
func (g *grants) request(ctx context.Context, wanted int, members []route.Member) (route.Grants, error) {
	now := time.Now().UnixNano()
	req := &wire.GrantRequest{Host: g.host, Wanted: uint32(wanted)}
	for _, m := range members {
		if limit, at := m.Load().RateLimitAt(); limit.Limited() {
			req.RateLimits = append(req.RateLimits, rateLimitMessage(m, limit, now-at))
		}
		if m.ColdUntil(now) > now {
			req.Service, req.Cold = m.Instance().Service(), append(req.Cold, string(m.Instance().ID()))
		}
	}
	response, err := g.quota.Grant(ctx, req)
	if err != nil {
		return route.Grants{Pause: grantRetryPause}, err
	}
	g.news.apply(response.GetRateLimits())
	granted := route.Grants{
		Requests: make(map[instance.ID]int, len(response.GetGrants())),
		Validity: time.Duration(response.GetValidNs()), Pause: time.Duration(response.GetPauseNs()), ColdOnly: response.GetColdOnly(),
	}
	for _, one := range response.GetGrants() {
		granted.Requests[instance.ID(one.GetInstance())] = int(one.GetRequests())
	}
	return granted, nil
}

// requestRetries is a route.RetryGrantFunc.
func (g *grants) requestRetries(ctx context.Context, service string, retries, hedges int) (route.RetryGrants, error) {
	response, err := g.quota.GrantRetries(ctx, &wire.RetryGrantRequest{Host: g.host, Service: service, Retries: uint32(retries), Hedges: uint32(hedges)})
	if err != nil {
		return route.RetryGrants{Pause: grantRetryPause}, err
	}
	return route.RetryGrants{
		Retries: int(response.GetRetries()), Hedges: int(response.GetHedges()),
		Validity: time.Duration(response.GetValidNs()), Pause: time.Duration(response.GetPauseNs()),
	}, nil
}

// grantRetryPause is the time from a failed call to the next.
const grantRetryPause = 200 * time.Millisecond

// runRouter runs the loops of the router: those that request grants, and those that
// dispatch waiting requests.
func runRouter(lc fx.Lifecycle, router *route.Router) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.StartStopHook(func() {
		go router.RunGrants(ctx)
		go router.RunWaiting(ctx)
	}, cancel))
}
