package cicadareport

import (
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/wcharczuk/go-chart/v2"

	adapter "cicadalink.example/platform"
)

// Plot writes an SVG for each site to a directory. It shows the worth in each run of the
// days that were simulated more than once.
func Plot(dir string, runs []adapter.BenchRun) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return merry.Errorf("create plot directory: %w", err)
	}
	bySite := make(map[string][]chart.Series)
	for _, s := range seriesByDay(runs) {
		points := chart.ContinuousSeries{Name: s.day, YValues: s.worth}
		for _, run := range s.runs {
			points.XValues = append(points.XValues, float64(run))
		}
		bySite[s.site] = append(bySite[s.site], points)
	}
	for site, series := range bySite {
		if err := plotSite(filepath.Join(dir, site+".svg"), site, series); err != nil {
			return err
		}
	}
	return nil
}

func plotSite(path, site string, series []chart.Series) error {
	graph := chart.Chart{
		Title:  "worth of each day at " + site,
		XAxis:  chart.XAxis{Name: "run"},
		YAxis:  chart.YAxis{Name: "worth", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
		Series: series,
	}
	graph.Elements = []chart.Renderable{chart.LegendLeft(&graph)}
	file, err := os.Create(path)
	if err != nil {
		return merry.Errorf("create plot: %w", err)
	}
	defer file.Close()
	if err := graph.Render(chart.SVG, file); err != nil {
		return merry.Errorf("render plot of site %s: %w", site, err)
	}
	return nil
}
