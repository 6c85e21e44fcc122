package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/jujubethread/jujubethread/internal/result"
)

const (
	chartWidth  = 9 * vg.Inch
	chartHeight = 3.8 * vg.Inch
	pngDPI      = 110
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"millis": millis,
	"ratio":  ratio,
	"span":   span,
	"pct":    func(v float64) string { return fmt.Sprintf("%.2f", v) },
}).Parse(pageText))

// Page writes a result as one HTML page that needs no other file.
func Page(w io.Writer, r *result.Run) error {
	charts, err := Charts(r)
	if err != nil {
		return err
	}
	type picture struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Run      *result.Run
		Baseline string
		Warnings []string
		Pictures []picture
	}{
		Run:      r,
		Baseline: baseline(r).Name,
		Warnings: warnings(r),
	}
	for _, c := range charts {
		svg, err := c.SVG()
		if err != nil {
			return err
		}
		data.Pictures = append(data.Pictures, picture{
			Title: c.Title,
			SVG:   template.HTML(svg), //nolint:gosec // made here; texts in it are escaped by vgsvg
		})
	}
	return errors.Wrap(page.Execute(w, data), "page cannot be written")
}

// SVG returns the picture as an svg element.
func (c Chart) SVG() ([]byte, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	c.draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return nil, errors.Wrapf(err, "chart %q cannot be written", c.Title)
	}
	// An element inside a page has no XML declaration.
	start := bytes.Index(buf.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, errors.Errorf("chart %q has no svg element", c.Title)
	}
	return buf.Bytes()[start:], nil
}

func (c Chart) draw(on draw.Canvas) {
	c.plot.Draw(draw.Crop(on, margin, -margin, margin, -margin))
}

// PNG writes the picture as a PNG file.
func (c Chart) PNG(w io.Writer) error {
	canvas := vgimg.NewWith(vgimg.UseWH(chartWidth, chartHeight), vgimg.UseDPI(pngDPI))
	c.draw(draw.New(canvas))
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return errors.Wrapf(err, "chart %q cannot be written", c.Title)
}
