package rule

import (
	"net/http"
	"strconv"
	"strings"
)

// maxWeight is the largest weight of a share.
const maxWeight = 1_000_000

// hostRoute parses the parts of a route line with "at": the HTTP host, the path
// prefix and the traffic split.
func (p *parser) hostRoute(n int, node *routeNode, r *Rule) {
	if node.At == nil {
		if node.Weight != "" || len(node.Others) > 0 {
			p.fail(n, node.Pos.Column, "weights on a line without a host", "write at HOST /PREFIX/ after them")
		}
		return
	}
	r.host, r.prefix = strings.ToLower(unquote(node.At.Host)), unquote(node.At.Prefix)
	if r.host == "" || !strings.HasPrefix(r.prefix, "/") || !strings.HasSuffix(r.prefix, "/") {
		p.fail(n, node.At.Pos.Column, "a prefix begins and ends with a slash, after a host", "write at counter.example /lookup/")
	}
	if node.Path != nil || len(node.Conditions) > 0 || len(node.Methods) > 0 {
		p.fail(n, node.At.Pos.Column, "a line with at has no methods, path pattern or conditions", "keep the prefix alone")
	}
	if node.Weight == "" && len(node.Others) == 0 {
		return
	}
	r.shares = append(r.shares, Share{service: node.Service, weight: p.weight(n, node.Pos.Column, node.Weight)})
	total := r.shares[0].weight
	for _, other := range node.Others {
		p.checkServiceName(n, other.Service, other.Pos)
		share := Share{service: other.Service, weight: p.weight(n, other.Pos.Column, other.Weight)}
		r.shares = append(r.shares, share)
		total += share.weight
	}
	if total == 0 {
		p.fail(n, node.Pos.Column, "the weights add up to 0", "give one service a weight")
	}
}

func (p *parser) weight(n, column int, text string) int {
	weight, err := strconv.Atoi(text)
	if err != nil || weight < 0 || weight > maxWeight {
		p.fail(n, column, strconv.Quote(text)+" is not a weight", "write a whole number, such as 90")
	}
	return weight
}

// addHostRoute adds a rule that matches by HTTP host.
func (p *parser) addHostRoute(r *Rule) {
	for _, service := range append(r.Services(), r.service) {
		p.addServiceName(service)
		p.set.hostServices[service] = true
	}
	p.set.byHost[r.host] = append(p.set.byHost[r.host], r)
}

// RequestHost returns the HTTP host of a request without its port, in lower case.
func RequestHost(r *http.Request) string {
	host := r.Host
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}
