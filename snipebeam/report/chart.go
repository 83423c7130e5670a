package report

import (
	"bytes"
	"html/template"
	"image/color"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth     = 24 * vg.Centimeter
	chartHeight    = 7 * vg.Centimeter
	timeFormat     = "15:04:05"
	legendHeadroom = 1.3 // factor on the highest value, leaves space for the legend
)

var ruleChangeColor = color.RGBA{R: 120, G: 120, B: 120, A: 255}

// chart draws the series over the time span as an SVG element, with a vertical
// line at each rule change.
func chart(title, unit string, all []series, from, to time.Time, changes []Event) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: timeFormat, Time: plot.UTCUnixTime}
	p.X.Min, p.X.Max = unixSeconds(from), unixSeconds(to)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for n, s := range all {
		if err := addSeries(p, n, s); err != nil {
			return "", err
		}
	}
	p.X.Min, p.X.Max = unixSeconds(from), unixSeconds(to)
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	p.Y.Max *= legendHeadroom
	for _, event := range changes {
		if event.At.Before(from) || event.At.After(to) {
			continue
		}
		if err := addRuleChange(p, event); err != nil {
			return "", err
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw chart")
	}
	return template.HTML(trimProlog(out.Bytes())), nil
}

func addSeries(p *plot.Plot, n int, s series) error {
	if len(s.values) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(s.values))
	for i, v := range s.values {
		points[i] = plotter.XY{X: unixSeconds(v.at), Y: v.value}
	}
	if s.scatter {
		return addScatter(p, n, s.name, points)
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "draw "+s.name)
	}
	l.Color = plotutil.Color(n)
	p.Add(l)
	p.Legend.Add(s.name, l)
	return nil
}

func addScatter(p *plot.Plot, n int, name string, points plotter.XYs) error {
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "draw "+name)
	}
	marks.Color = plotutil.Color(n)
	p.Add(marks)
	p.Legend.Add(name, marks)
	return nil
}

func addRuleChange(p *plot.Plot, event Event) error {
	x := unixSeconds(event.At)
	l, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
	if err != nil {
		return errors.Wrap(err, "draw rule change")
	}
	l.Color = ruleChangeColor
	l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	return nil
}

// unixSeconds returns a time in Unix seconds, the unit of the time axis.
func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// trimProlog removes what precedes the SVG element: an XML declaration is not
// valid inside an HTML page.
func trimProlog(svg []byte) []byte {
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		return svg[at:]
	}
	return svg
}
