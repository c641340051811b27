// Package cicadaslope measures what each additional link, customer, configuration
// change, job, item or log segment costs a process.
//
// # Usage
//
//	slopes, err := cicadaslope.Measure(ctx, "links")
//	err = cicadaslope.Plot("plots", slopes)
//
// Each measurement runs at several sizes. A Slope is the least-squares line through
// the measured points.
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

// A Point is the value Y, measured at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// A Slope is the cost of each additional unit, such as a link or a customer.
type Slope struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	PerUnit   float64 `json:"per-unit"`
	Intercept float64 `json:"at-rest"` // the value at size 0
	Points    []Point `json:"points"`
}

// measurements holds the measurement functions by name.
var measurements cicadakernel.Registry[func(ctx context.Context) ([]Slope, error)]

// Names returns the names of all measurements.
func Names() []string { return measurements.Names() }

// Measure runs the measurement with the given name.
func Measure(ctx context.Context, name string) ([]Slope, error) {
	measure, err := measurements.Lookup(name)
	if err != nil {
		return nil, err
	}
	return measure(ctx)
}

// fitLine returns the least-squares line through points.
func fitLine(name, unit string, points []Point) Slope {
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
		s.Intercept = (sy - s.PerUnit*sx) / n
	}
	return s
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// sleep waits for d to pass or ctx to end, whichever is first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return merry.Errorf("measure: %w", ctx.Err())
	}
}

// Plot writes an SVG of the points of each slope to a directory.
func Plot(dir string, slopes []Slope) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return merry.Errorf("create plot directory: %w", err)
	}
	for _, s := range slopes {
		if err := plotSlope(dir, s); err != nil {
			return err
		}
	}
	return nil
}

func plotSlope(dir string, s Slope) error {
	series := chart.ContinuousSeries{Name: s.Name}
	for _, p := range s.Points {
		series.XValues = append(series.XValues, p.X)
		series.YValues = append(series.YValues, p.Y)
	}
	graph := chart.Chart{
		Title:  s.Name + " (" + s.Unit + ")",
		YAxis:  chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: maxValue(series.YValues)}},
		Series: []chart.Series{series},
	}
	file, err := os.Create(filepath.Join(dir, strings.ReplaceAll(s.Name, "/", "-")+".svg"))
	if err != nil {
		return merry.Errorf("create plot: %w", err)
	}
	defer file.Close()
	if err := graph.Render(chart.SVG, file); err != nil {
		return merry.Errorf("render plot of %s: %w", s.Name, err)
	}
	return nil
}

// maxValue returns the largest of values. The result is positive, as the range of an
// axis must not be empty.
func maxValue(values []float64) float64 {
	largest := 1e-9
	for _, v := range values {
		largest = max(largest, v)
	}
	return largest
}
