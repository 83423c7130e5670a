package rule

import "strings"

// formatLine returns a line in canonical form.
func formatLine(node *lineNode, reason Reason) string {
	var b strings.Builder
	if node.Service != nil {
		b.WriteString("service " + node.Service.Name)
	} else {
		formatRoute(&b, node.Route)
	}
	for n, term := range node.Terms {
		separator := ", "
		if n == 0 {
			separator = ": "
		}
		b.WriteString(separator + term.Name)
		for _, value := range term.Values {
			b.WriteString(" " + value.Text)
		}
	}
	b.WriteString(" # " + reason.who + ": " + reason.why)
	return b.String()
}

func formatRoute(b *strings.Builder, node *routeNode) {
	b.WriteString("route " + node.Service)
	if len(node.Methods) > 0 {
		b.WriteString(" " + strings.Join(node.Methods, ","))
	}
	if node.Path != "" {
		b.WriteString(" " + node.Path)
	}
	for n, c := range node.Conditions {
		joiner := " and "
		if n == 0 {
			joiner = " when "
		}
		b.WriteString(joiner + c.Header + "=" + c.Value)
	}
}
