package main

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadabench/cicadareport"
)

// reportCommand returns the command that summarizes the journal of the users' test
// bench. Package cicadareport describes the journal.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "summarize the journal of the users' test bench: the worth of each run or repeated day, or the broken rules",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "read the journal in `DIR`"},
			&cli.StringFlag{Name: "command", Value: "score", Usage: "include only runs of `COMMAND`, such as score, hunt or run; empty for all"},
			&cli.StringFlag{Name: "site", Usage: "include only runs at `SITE`"},
			&cli.BoolFlag{Name: "days", Usage: "print a line for each day instead of for each run"},
			&cli.BoolFlag{Name: "broken", Usage: "print the days that broke a rule or had a fault"},
			&cli.StringFlag{Name: "plots", Usage: "write an SVG plot for each site to `DIR`"},
		},
		Action: runReport,
	}
}

func runReport(_ context.Context, cmd *cli.Command) error {
	runs, err := cicadareport.Load(cmd.String("journal"))
	if err != nil {
		return merry.Errorf("report: %w", err)
	}
	runs = cicadareport.Filter(runs, cmd.String("command"), cmd.String("site"))
	if dir := cmd.String("plots"); dir != "" {
		if err := cicadareport.Plot(dir, runs); err != nil {
			return merry.Errorf("plot: %w", err)
		}
	}
	writeReport := cicadareport.WriteRuns
	switch {
	case cmd.Bool("broken"):
		writeReport = cicadareport.WriteFailedDays
	case cmd.Bool("days"):
		writeReport = cicadareport.WriteRepeatedDays
	}
	return writeReport(cmd.Root().Writer, runs)
}
