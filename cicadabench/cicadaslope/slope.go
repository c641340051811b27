// Package cicadaslope measures what one more link, customer, job, item or
// revision costs a process.
//
// # Usage
//
//	slopes, err := cicadaslope.Measure(ctx, "links")
//	err = cicadaslope.Plot("plots", slopes)
//
// A Slope is the least-squares line through its points.
package cicadaslope

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/wcharczuk/go-chart/v2"

	"cicadalink.example/cicadakernel"
)

// A Point is one measurement: Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// A Slope is what one more of something costs.
type Slope struct {
	Name    string  `json:"name"`
	Unit    string  `json:"unit"`
	PerUnit float64 `json:"per-unit"`
	AtRest  float64 `json:"at-rest"`
	Points  []Point `json:"points"`
}

// measurements holds the measurements by name.
var measurements cicadakernel.Registry[func(ctx context.Context) ([]Slope, error)]

// Names returns the names of the measurements.
func Names() []string { return measurements.Names() }

// Measure makes a measurement.
func Measure(ctx context.Context, name string) ([]Slope, error) {
	measure, err := measurements.Lookup(name)
	if err != nil {
		return nil, err
	}
	return measure(ctx)
}

// fit returns the least-squares line through points.
func fit(name, unit string, points []Point) Slope {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	s := Slope{Name: name, Unit: unit, Points: points}
	if d := n*sxx - sx*sx; d != 0 {
		s.PerUnit = (n*sxy - sx*sy) / d
		s.AtRest = (sy - s.PerUnit*sx) / n
	}
	return s
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use on the heap after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// wait sleeps unless ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return merry.Errorf("measure: %w", ctx.Err())
	}
}

// Plot writes an SVG of each slope's points to a folder.
func Plot(dir string, slopes []Slope) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return merry.Errorf("make folder: %w", err)
	}
	for _, s := range slopes {
		if err := plotOne(dir, s); err != nil {
			return err
		}
	}
	return nil
}

func plotOne(dir string, s Slope) error {
	series := chart.ContinuousSeries{Name: s.Name}
	for _, p := range s.Points {
		series.XValues = append(series.XValues, p.X)
		series.YValues = append(series.YValues, p.Y)
	}
	graph := chart.Chart{
		Title:  s.Name + " (" + s.Unit + ")",
		YAxis:  chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: maxOf(series.YValues)}},
		Series: []chart.Series{series},
	}
	file, err := os.Create(filepath.Join(dir, strings.ReplaceAll(s.Name, "/", "-")+".svg"))
	if err != nil {
		return merry.Errorf("create plot: %w", err)
	}
	defer file.Close()
	if err := graph.Render(chart.SVG, file); err != nil {
		return merry.Errorf("draw %s: %w", s.Name, err)
	}
	return nil
}

func maxOf(values []float64) float64 {
	most := 1e-9
	for _, v := range values {
		most = max(most, v)
	}
	return most
}
