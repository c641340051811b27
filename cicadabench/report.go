package main

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadabench/cicadareport"
)

// reportCommand returns the command that sums up the bench's journal.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "sum up the journal of the users' bench: worth by run and by day, broken rules",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "journal", Value: "journal", Usage: "read the entries in `DIR`"},
			&cli.StringFlag{Name: "command", Value: "score", Usage: "take runs of `COMMAND` only: score, hunt, run, ...; empty for all"},
			&cli.StringFlag{Name: "site", Usage: "take runs at `SITE` only"},
			&cli.BoolFlag{Name: "days", Usage: "print a line for each day instead of each run"},
			&cli.BoolFlag{Name: "broken", Usage: "print the days that broke a rule"},
			&cli.StringFlag{Name: "plots", Usage: "write an SVG for each site to `DIR`"},
		},
		Action: report,
	}
}

func report(_ context.Context, cmd *cli.Command) error {
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
	write := cicadareport.WriteRuns
	switch {
	case cmd.Bool("broken"):
		write = cicadareport.WriteBroken
	case cmd.Bool("days"):
		write = cicadareport.WriteDays
	}
	return write(cmd.Root().Writer, runs)
}
