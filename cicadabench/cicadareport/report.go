// Package cicadareport summarizes the journal of the users' test bench, to show
// progress and regressions. The journal has an entry for each run of the bench. A run
// simulates one or more days at a site, that is, scenarios of traffic and faults. The
// bench rates each day with its worth, which is 1 if all requests are served at no
// cost.
//
// # Usage
//
//	runs, err := cicadareport.Load("journal")
//	runs = cicadareport.Filter(runs, "score", "vdb-leest")
//	err = cicadareport.WriteRuns(os.Stdout, runs)         // a line for each run
//	err = cicadareport.WriteRepeatedDays(os.Stdout, runs) // a line for each day in several runs
//	err = cicadareport.WriteFailedDays(os.Stdout, runs)   // days that broke a rule or had a fault
//	err = cicadareport.Plot("plots", runs)                // worth of each repeated day in each run
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
	shortRevisionLength = 7
	timeFormat          = "2006-01-02 15:04"
)

// Load returns the runs of the journal in a directory, ordered by start time.
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

// Filter returns the runs of a command at a site. An empty command or site matches
// all runs.
func Filter(runs []adapter.BenchRun, command, site string) []adapter.BenchRun {
	var filtered []adapter.BenchRun
	for _, run := range runs {
		if (command == "" || run.Command == command) && (site == "" || run.Site == site) {
			filtered = append(filtered, run)
		}
	}
	return filtered
}

// WriteRuns writes a table with a line for each run: its score, and the mean and
// lowest worth of its days.
func WriteRuns(w io.Writer, runs []adapter.BenchRun) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STARTED\tREVISION\tSITE\tCOMMAND\tDAYS\tSCORE\tMEAN\tLOWEST\tDAY\tBROKEN\tREASON")
	for _, run := range runs {
		score := "-"
		if run.Scored {
			score = fmt.Sprintf("%.3f", run.Score)
		}
		mean, lowest, lowestDay, failed := summarizeDays(run.Days)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%.3f\t%.3f\t%s\t%d\t%s\n", run.Started.Format(timeFormat), shortRevision(run),
			run.Site, run.Command, len(run.Days), score, mean, lowest, lowestDay, failed, run.Reason)
	}
	return flush(table)
}

// summarizeDays returns the mean worth of days, the lowest worth and its day, and the
// number of days that broke a rule or had a fault.
func summarizeDays(days []adapter.BenchDay) (mean, lowest float64, lowestDay string, failed int) {
	if len(days) == 0 {
		return 0, 0, "-", 0
	}
	lowest = math.Inf(1)
	for _, day := range days {
		mean += day.Worth / float64(len(days))
		if day.Worth < lowest {
			lowest, lowestDay = day.Worth, day.Name
		}
		if isFailed(day) {
			failed++
		}
	}
	return mean, lowest, lowestDay, failed
}

// isFailed reports whether a day broke a rule or had a fault.
func isFailed(day adapter.BenchDay) bool { return len(day.BrokenRules) > 0 || day.Fault != "" }

// shortRevision returns the abbreviated revision of a run, with a star if the working
// tree had uncommitted changes.
func shortRevision(run adapter.BenchRun) string {
	revision := run.Revision[:min(shortRevisionLength, len(run.Revision))]
	if run.Dirty {
		revision += "*"
	}
	return revision
}

// A daySeries holds the worth of one day in each run that included it.
type daySeries struct {
	site, day string
	runs      []int     // indices into all runs
	worth     []float64 // in the order of runs
}

// seriesByDay returns the series of all days that were simulated more than once, sorted
// by site and day.
func seriesByDay(runs []adapter.BenchRun) []daySeries {
	byKey := make(map[[2]string]*daySeries)
	for i, run := range runs {
		for _, day := range run.Days {
			key := [2]string{run.Site, day.Name}
			if byKey[key] == nil {
				byKey[key] = &daySeries{site: run.Site, day: day.Name}
			}
			byKey[key].runs = append(byKey[key].runs, i)
			byKey[key].worth = append(byKey[key].worth, day.Worth)
		}
	}
	var repeated []daySeries
	for _, s := range byKey {
		if len(s.worth) > 1 {
			repeated = append(repeated, *s)
		}
	}
	slices.SortFunc(repeated, func(a, b daySeries) int { return strings.Compare(a.site+" "+a.day, b.site+" "+b.day) })
	return repeated
}

// WriteRepeatedDays writes a table of the days that were simulated more than once, with
// the first, lowest, highest and last worth of each.
func WriteRepeatedDays(w io.Writer, runs []adapter.BenchRun) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SITE\tDAY\tPLAYED\tFIRST\tLOWEST\tHIGHEST\tLAST")
	for _, s := range seriesByDay(runs) {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", s.site, s.day, len(s.worth),
			s.worth[0], slices.Min(s.worth), slices.Max(s.worth), s.worth[len(s.worth)-1])
	}
	return flush(table)
}

// WriteFailedDays writes a table of the days that broke a rule or had a fault.
func WriteFailedDays(w io.Writer, runs []adapter.BenchRun) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STARTED\tREVISION\tSITE\tDAY\tSEED\tBROKEN\tRUN")
	for _, run := range runs {
		for _, day := range run.Days {
			if !isFailed(day) {
				continue
			}
			slices.Sort(day.BrokenRules)
			problems := strings.Join(day.BrokenRules, " ")
			if day.Fault != "" {
				problems = strings.TrimSpace(problems + " fault: " + day.Fault)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", run.Started.Format(timeFormat), shortRevision(run),
				run.Site, day.Name, day.Seed, problems, run.ID)
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
