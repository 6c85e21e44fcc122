package report

import (
	"image/color"
	"math"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/jujubethread/jujubethread/internal/result"
	"github.com/jujubethread/jujubethread/pkg/preset"
)

// Chart is one plot of a result, which SVG and PNG render.
type Chart struct {
	Title string
	plot  *plot.Plot
	empty bool // omitted from the report
}

// targetColors are from the Okabe-Ito palette, which most people with colour
// blindness can distinguish.
var targetColors = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 86, G: 180, B: 233, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
}

var (
	gridColor  = color.Gray{Y: 225}
	bandColor  = color.NRGBA{R: 90, G: 90, B: 90, A: 28}
	eventColor = color.Gray{Y: 110}
	dashes     = []vg.Length{vg.Points(4), vg.Points(3)}
)

const (
	lineWidth  = vg.Length(1.6)
	textSize   = vg.Length(10)
	titleSize  = vg.Length(13)
	labelSize  = vg.Length(8.5)
	labelRows  = 3
	minLogSpan = 10.0 // least ratio of the ends of a logarithmic axis
	margin     = vg.Length(6)
	// Charts over time leave room on the right for the legend and at the top for
	// the names of events.
	legendShare    = 0.28  // of the duration
	logHeadroom    = 4.0   // factor on the greatest value
	percentAxisMax = 122.0 // values end at 100
	maxTimeTicks   = 10
)

// Charts returns up to three charts for each priority class that has requests:
// latency by quantile, latency over time, and coverage and refusals over time.
func Charts(r *result.Run) ([]Chart, error) {
	var list []Chart
	for _, c := range preset.Classes {
		if !hasClass(r, c) {
			continue
		}
		for _, draw := range []func(*result.Run, preset.Class) (Chart, error){curveChart, latencyChart, coverageChart} {
			chart, err := draw(r, c)
			if err != nil {
				return nil, errors.Wrapf(err, "chart of class %s cannot be drawn", c)
			}
			if !chart.empty {
				list = append(list, chart)
			}
		}
	}
	return list, nil
}

func hasClass(r *result.Run, c preset.Class) bool {
	for _, t := range r.Targets {
		for _, g := range t.Classes {
			if g.Name == c.String() && g.Sent > 0 {
				return true
			}
		}
	}
	return false
}

// newChart returns a chart with a grid, no data, and the common text style.
func newChart(title, x, y string) Chart {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	for _, s := range []*text.Style{
		&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle,
		&p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle,
	} {
		s.Font = font.Font{Typeface: "Liberation", Variant: "Sans", Size: textSize}
	}
	p.Title.TextStyle.Font.Size = titleSize
	p.Title.Padding = vg.Points(8)
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	p.Legend.XOffs = vg.Points(-8)
	p.Legend.YOffs = vg.Points(-6)
	grid := plotter.NewGrid()
	grid.Vertical.Color = gridColor
	grid.Horizontal.Color = gridColor
	p.Add(grid)
	return Chart{
		Title: title,
		plot:  p,
	}
}

// curveChart shows latency by quantile. The quantile axis is logarithmic towards
// 100%, to make the tail visible.
func curveChart(r *result.Run, c preset.Class) (Chart, error) {
	chart := newChart(c.String()+": latency by quantile", "share of the answers that are at least as fast", "latency in ms")
	var values []float64
	for i, t := range r.Targets {
		for _, g := range t.Classes {
			if g.Name != c.String() {
				continue
			}
			var points plotter.XYs
			for _, p := range g.Latency.Curve {
				points = append(points, plotter.XY{X: nines(p.Quantile), Y: inMillis(p.Micros)})
				values = append(values, inMillis(p.Micros))
			}
			if err := chart.addLine(points, t.Name, i, false); err != nil {
				return Chart{}, err
			}
		}
	}
	chart.plot.X.Tick.Marker = plot.ConstantTicks(quantileTicks())
	chart.plot.X.Min = 0
	chart.plot.Legend.Left = true
	chart.plot.Legend.XOffs = vg.Points(8)
	chart.setLogAxis(values)
	chart.empty = len(values) == 0
	return chart, nil
}

// nines returns the position of a quantile on the axis: 0.9 is at 1, 0.99 at 2
// and so on.
func nines(quantile float64) float64 { return -math.Log10(1 - quantile) }

func quantileTicks() []plot.Tick {
	var ticks []plot.Tick
	for _, q := range []float64{0, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995, 0.9999} {
		ticks = append(ticks, plot.Tick{
			Value: nines(q),
			Label: strconv.FormatFloat(100*q, 'g', 5, 64) + "%",
		})
	}
	return ticks
}

// latencyChart shows p50 (dashed) and p99 over time.
func latencyChart(r *result.Run, c preset.Class) (Chart, error) {
	chart := newChart(c.String()+": latency over time", "seconds since the end of the warm-up", "latency in ms")
	chart.addEvents(r)
	var values []float64
	for i, t := range r.Targets {
		var p50, p99 plotter.XYs
		for _, b := range buckets(t, c) {
			if b.Answered > 0 {
				p50 = append(p50, plotter.XY{X: b.At.Seconds(), Y: inMillis(b.P50)})
				p99 = append(p99, plotter.XY{X: b.At.Seconds(), Y: inMillis(b.P99)})
				values = append(values, inMillis(b.P50), inMillis(b.P99))
			}
		}
		if err := chart.addLine(p99, t.Name+" p99", i, false); err != nil {
			return Chart{}, err
		}
		if err := chart.addLine(p50, t.Name+" p50", i, true); err != nil {
			return Chart{}, err
		}
	}
	chart.setLogAxis(values)
	chart.empty = len(values) == 0
	chart.setTimeAxis(r)
	return chart, nil
}

// coverageChart shows the coverage of the answers and, dashed, the percentage of
// requests that were refused (NotRun) or failed.
func coverageChart(r *result.Run, c preset.Class) (Chart, error) {
	chart := newChart(c.String()+": coverage and refusals over time", "seconds since the end of the warm-up", "percent")
	chart.addEvents(r)
	for i, t := range r.Targets {
		var covered, refused plotter.XYs
		for _, b := range buckets(t, c) {
			if b.Answered > 0 {
				covered = append(covered, plotter.XY{X: b.At.Seconds(), Y: b.CoveragePercent})
			}
			if b.Sent > 0 {
				refused = append(refused, plotter.XY{X: b.At.Seconds(), Y: 100 * float64(b.NotRun+b.Failed) / float64(b.Sent)})
			}
		}
		if err := chart.addLine(covered, t.Name+" coverage", i, false); err != nil {
			return Chart{}, err
		}
		if err := chart.addLine(refused, t.Name+" refused", i, true); err != nil {
			return Chart{}, err
		}
	}
	chart.plot.Y.Min, chart.plot.Y.Max = -2, percentAxisMax
	var ticks []plot.Tick
	for v := 0.0; v <= 100; v += 20 {
		ticks = append(ticks, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', 3, 64)})
	}
	chart.plot.Y.Tick.Marker = plot.ConstantTicks(ticks)
	chart.setTimeAxis(r)
	return chart, nil
}

func buckets(t result.Target, c preset.Class) []result.Bucket {
	for _, s := range t.Timeline {
		if s.Class == c {
			return s.Buckets
		}
	}
	return nil
}

func inMillis(micros int64) float64 { return float64(micros) / 1_000 }

func (c Chart) addLine(points plotter.XYs, name string, target int, dashed bool) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrapf(err, "line %q", name)
	}
	l.Color = targetColors[target%len(targetColors)]
	l.Width = lineWidth
	if dashed {
		l.Dashes = dashes
		l.Width /= 2
	}
	c.plot.Add(l)
	c.plot.Legend.Add(name, l)
	return nil
}

// setLogAxis makes the y axis logarithmic, beginning at a tick below the values.
// It leaves room at the top for the legend and the event names.
func (c Chart) setLogAxis(values []float64) {
	low, high := math.Inf(1), math.Inf(-1)
	for _, v := range values {
		low, high = min(low, v), max(high, v)
	}
	if len(values) == 0 || low <= 0 {
		low, high = 1, minLogSpan
	}
	c.plot.Y.Min = stepBelow(low)
	c.plot.Y.Max = max(high*logHeadroom, c.plot.Y.Min*minLogSpan)
	c.plot.Y.Scale = plot.LogScale{}
	c.plot.Y.Tick.Marker = logTicks{}
}

// stepBelow returns the largest of 1, 2 and 5 times a power of ten that is not
// above v.
func stepBelow(v float64) float64 {
	decade := math.Pow(10, math.Floor(math.Log10(v)))
	for _, step := range []float64{5, 2} {
		if v >= step*decade {
			return step * decade
		}
	}
	return decade
}

// logTicks marks 1, 2 and 5 of each decade.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= high; decade *= 10 {
		for _, step := range []float64{1, 2, 5} {
			// Rounded, since powers of ten below 1 are not exact in floating point
			// and would give long labels.
			if v := math.Round(step*decade*1e6) / 1e6; v >= low*0.999 && v <= high {
				ticks = append(ticks, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'f', -1, 64)})
			}
		}
	}
	return ticks
}

func (c Chart) setTimeAxis(r *result.Run) {
	end := r.Duration.Seconds()
	c.plot.X.Min, c.plot.X.Max = 0, end*(1+legendShare)
	step := stepBelow(end / maxTimeTicks)
	for end/step > maxTimeTicks {
		step = stepAbove(step)
	}
	var ticks []plot.Tick
	for v := 0.0; v <= end*1.001; v += step {
		ticks = append(ticks, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', 6, 64)})
	}
	c.plot.X.Tick.Marker = plot.ConstantTicks(ticks)
}

// stepAbove returns the next larger step of 1, 2 or 5 times a power of ten.
func stepAbove(step float64) float64 { return stepBelow(step * 2.5001) }

// addEvents marks the events of the first target that has any. All targets have
// the same events, except those that a scenario directs at one target.
func (c Chart) addEvents(r *result.Run) {
	for _, t := range r.Targets {
		if len(t.Events) > 0 {
			c.plot.Add(eventBands{events: t.Events, end: r.Duration.Seconds()})
			return
		}
	}
}

// eventBands draws events as grey bands with their names at the top.
type eventBands struct {
	events []result.Event
	end    float64 // seconds
}

// Plot implements plot.Plotter.
func (b eventBands) Plot(c draw.Canvas, p *plot.Plot) {
	toX, _ := p.Transforms(&c)
	style := text.Style{
		Color:   eventColor,
		Font:    font.Font{Typeface: "Liberation", Variant: "Sans", Size: labelSize},
		Handler: plot.DefaultTextHandler,
	}
	for i, e := range b.events {
		start := max(0, e.Start.Seconds())
		left := toX(start)
		if e.End > 0 {
			right := toX(min(e.End.Seconds(), b.end))
			c.FillPolygon(bandColor, []vg.Point{
				{X: left, Y: c.Min.Y},
				{X: right, Y: c.Min.Y},
				{X: right, Y: c.Max.Y},
				{X: left, Y: c.Max.Y},
			})
		}
		c.StrokeLine2(draw.LineStyle{Color: eventColor, Width: vg.Points(0.6)}, left, c.Min.Y, left, c.Max.Y)
		// Labels alternate between rows, so that adjacent ones do not overlap.
		row := vg.Length(i%labelRows + 1)
		c.FillText(style, vg.Point{X: left + vg.Points(2), Y: c.Max.Y - row*(labelSize+vg.Points(1))}, e.Title)
	}
}
