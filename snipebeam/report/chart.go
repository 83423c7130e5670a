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
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	timeFormat  = "15:04:05"
	legendRoom  = 1.3 // of the highest value
)

var changeColor = color.RGBA{R: 120, G: 120, B: 120, A: 255}

// chart draws series over the span as an SVG element; each event is a vertical
// line.
func chart(title, unit string, all []series, from, to time.Time, changes []Event) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: timeFormat, Time: plot.UTCUnixTime}
	p.X.Min, p.X.Max = unix(from), unix(to)
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for n, s := range all {
		if err := addSeries(p, n, s); err != nil {
			return "", err
		}
	}
	p.X.Min, p.X.Max = unix(from), unix(to)
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	p.Y.Max *= legendRoom
	for _, one := range changes {
		if one.At.Before(from) || one.At.After(to) {
			continue
		}
		if err := addChange(p, one); err != nil {
			return "", err
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "draw chart")
	}
	return template.HTML(withoutProlog(out.Bytes())), nil
}

func addSeries(p *plot.Plot, n int, s series) error {
	if len(s.values) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(s.values))
	for i, v := range s.values {
		points[i] = plotter.XY{X: unix(v.at), Y: v.value}
	}
	if s.marks {
		return addMarks(p, n, s.name, points)
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

func addMarks(p *plot.Plot, n int, name string, points plotter.XYs) error {
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "draw "+name)
	}
	marks.Color = plotutil.Color(n)
	p.Add(marks)
	p.Legend.Add(name, marks)
	return nil
}

func addChange(p *plot.Plot, one Event) error {
	x := unix(one.At)
	l, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
	if err != nil {
		return errors.Wrap(err, "draw rule change")
	}
	l.Color = changeColor
	l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	return nil
}

// unix returns a time in seconds, as the time axis wants it.
func unix(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// withoutProlog cuts what may not stand inside an HTML page.
func withoutProlog(svg []byte) []byte {
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		return svg[at:]
	}
	return svg
}
