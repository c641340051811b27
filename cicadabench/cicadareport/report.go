// Package cicadareport sums up the journal that the users' bench keeps of the days it
// has played, so that progress and regressions show at a glance.
//
// # Usage
//
//	runs, err := cicadareport.Load("journal")
//	runs = cicadareport.Filter(runs, "score", "vdb-leest")
//	err = cicadareport.WriteRuns(os.Stdout, runs)    // a line for each run
//	err = cicadareport.WriteDays(os.Stdout, runs)    // a line for each day
//	err = cicadareport.WriteBroken(os.Stdout, runs)  // days that broke a rule
//	err = cicadareport.Plot("plots", runs)           // worth of each day by run
//
// Worth is that of the bench: 1 for a day on which all is served at no cost.
package cicadareport

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"

	adapter "cicadalink.example/platform"
)

const (
	revisionLength = 7
	timeFormat     = "2006-01-02 15:04"
)

// Load reads the journal in a folder, the oldest run first.
func Load(dir string) ([]adapter.BenchRun, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, merry.Errorf("list journal: %w", err)
	}
	if len(files) == 0 {
		return nil, merry.Errorf("journal %s: no entries: %w", dir, os.ErrNotExist)
	}
	var runs []adapter.BenchRun
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, merry.Errorf("read journal: %w", err)
		}
		run, err := adapter.DecodeBenchRun(text)
		if err != nil {
			return nil, merry.Errorf("%s: %w", file, err)
		}
		runs = append(runs, run)
	}
	slices.SortStableFunc(runs, func(a, b adapter.BenchRun) int { return a.Started.Compare(b.Started) })
	return runs, nil
}

// Filter returns the runs of a command at a site. An empty name takes all.
func Filter(runs []adapter.BenchRun, command, site string) []adapter.BenchRun {
	var out []adapter.BenchRun
	for _, run := range runs {
		if (command == "" || run.Command == command) && (site == "" || run.Site == site) {
			out = append(out, run)
		}
	}
	return out
}

// WriteRuns writes a table with a line for each run: its score, and the mean and the
// lowest worth of its days.
func WriteRuns(w io.Writer, runs []adapter.BenchRun) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STARTED\tREVISION\tSITE\tCOMMAND\tDAYS\tSCORE\tMEAN\tLOWEST\tDAY\tBROKEN\tREASON")
	for _, run := range runs {
		score := "-"
		if run.Scored {
			score = fmt.Sprintf("%.3f", run.Score)
		}
		mean, lowest, name, broken := sumUp(run.Days)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%.3f\t%.3f\t%s\t%d\t%s\n", run.Started.Format(timeFormat), revisionOf(run),
			run.Site, run.Command, len(run.Days), score, mean, lowest, name, broken, run.Reason)
	}
	return flush(table)
}

// sumUp returns the mean worth of days, the lowest and its day, and how many broke a
// rule or had a fault.
func sumUp(days []adapter.BenchDay) (mean, lowest float64, name string, broken int) {
	if len(days) == 0 {
		return 0, 0, "-", 0
	}
	lowest = math.Inf(1)
	for _, day := range days {
		mean += day.Worth / float64(len(days))
		if day.Worth < lowest {
			lowest, name = day.Worth, day.Name
		}
		if failed(day) {
			broken++
		}
	}
	return mean, lowest, name, broken
}

func failed(day adapter.BenchDay) bool { return len(day.BrokenRules) > 0 || day.Fault != "" }

// revisionOf returns a short revision, with a star if there were uncommitted changes.
func revisionOf(run adapter.BenchRun) string {
	revision := run.Revision[:min(revisionLength, len(run.Revision))]
	if run.Dirty {
		revision += "*"
	}
	return revision
}

// A series is the worth of one day over the runs that played it.
type series struct {
	site, day string
	runs      []int // indices
	worth     []float64
}

// byDay returns the series of all days that were played more than once, by site and
// name.
func byDay(runs []adapter.BenchRun) []series {
	index := make(map[[2]string]*series)
	for i, run := range runs {
		for _, day := range run.Days {
			key := [2]string{run.Site, day.Name}
			if index[key] == nil {
				index[key] = &series{site: run.Site, day: day.Name}
			}
			index[key].runs = append(index[key].runs, i)
			index[key].worth = append(index[key].worth, day.Worth)
		}
	}
	var all []series
	for _, s := range index {
		if len(s.worth) > 1 {
			all = append(all, *s)
		}
	}
	slices.SortFunc(all, func(a, b series) int { return strings.Compare(a.site+" "+a.day, b.site+" "+b.day) })
	return all
}

// WriteDays writes a table with a line for each day that was played more than once.
func WriteDays(w io.Writer, runs []adapter.BenchRun) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SITE\tDAY\tPLAYED\tFIRST\tLOWEST\tHIGHEST\tLAST")
	for _, s := range byDay(runs) {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", s.site, s.day, len(s.worth),
			s.worth[0], slices.Min(s.worth), slices.Max(s.worth), s.worth[len(s.worth)-1])
	}
	return flush(table)
}

// WriteBroken writes a table of the days that broke a rule or had a fault.
func WriteBroken(w io.Writer, runs []adapter.BenchRun) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STARTED\tREVISION\tSITE\tDAY\tSEED\tBROKEN\tRUN")
	for _, run := range runs {
		for _, day := range run.Days {
			if !failed(day) {
				continue
			}
			slices.Sort(day.BrokenRules)
			what := strings.Join(day.BrokenRules, " ")
			if day.Fault != "" {
				what = strings.TrimSpace(what + " fault: " + day.Fault)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", run.Started.Format(timeFormat), revisionOf(run),
				run.Site, day.Name, day.Seed, what, run.ID)
		}
	}
	return flush(table)
}

func flush(table *tabwriter.Writer) error {
	if err := table.Flush(); err != nil {
		return merry.Errorf("write table: %w", err)
	}
	return nil
}
