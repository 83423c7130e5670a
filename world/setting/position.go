package setting

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/snipebeam/snipebeam/world/finding"
)

// keyPositions returns the place of each dotted key, up to the first syntax error.
func keyPositions(file string, data []byte) map[string]finding.Place {
	places := map[string]finding.Place{}
	p := unstable.Parser{}
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		node := p.Expression()
		key, place := nodeKey(&p, file, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key + "."
			places[key] = place
		case unstable.KeyValue:
			places[table+key] = place
		default:
		}
	}
	return places
}

func nodeKey(p *unstable.Parser, file string, node *unstable.Node) (string, finding.Place) {
	var parts []string
	var place finding.Place
	keys := node.Key()
	for keys.Next() {
		part := keys.Node()
		if len(parts) == 0 {
			start := p.Shape(part.Raw).Start
			place = finding.At(file, start.Line, start.Column)
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), place
}
