// Command cicadabench measures what each additional link, customer, configuration
// change, job, item and log segment costs in CPU time, memory, bytes and platform
// calls. It runs the code of the real processes in one process, over loopback. The
// figures in docs/CAPACITY.md are derived from its output.
//
// # Usage
//
//	go run ./cicadabench
//	go run ./cicadabench -o json --plots /tmp/plots links items
//	go run ./cicadabench report --site vdb-leest --plots /tmp/plots
//	go run ./cicadabench report --command "" --broken
//
// Each measurement is limited in time and size. The report command summarizes the
// journal of the users' test bench, which is the directory journal by default.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadabench/cicadaslope"
	"cicadalink.example/cicadakernel"
)

func main() {
	cmd := &cli.Command{
		Name:      "cicadabench",
		Usage:     "measure what links, customers, configuration changes, jobs, items and log segments cost",
		ArgsUsage: "[MEASUREMENT...]",
		Version:   cicadakernel.Version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`: table or json"},
			&cli.StringFlag{Name: "plots", Usage: "write an SVG plot of each slope to `DIR`"},
		},
		Action:   run,
		Commands: []*cli.Command{reportCommand()},
	}
	cicadakernel.Main(cmd)
}

func run(ctx context.Context, cmd *cli.Command) error {
	var slopes []cicadaslope.Slope
	names := cmd.Args().Slice()
	for _, name := range names {
		if !slices.Contains(cicadaslope.Names(), name) {
			return merry.Errorf("unknown measurement %q, expected one of %v", name, cicadaslope.Names())
		}
	}
	for _, name := range cicadaslope.Names() {
		if len(names) > 0 && !slices.Contains(names, name) {
			continue
		}
		measured, err := cicadaslope.Measure(ctx, name)
		if err != nil {
			return merry.Errorf("measure %s: %w", name, err)
		}
		slopes = append(slopes, measured...)
	}
	if dir := cmd.String("plots"); dir != "" {
		if err := cicadaslope.Plot(dir, slopes); err != nil {
			return merry.Errorf("plot: %w", err)
		}
	}
	return writeSlopes(cmd.Root().Writer, cmd.String("output"), slopes)
}

func writeSlopes(w io.Writer, format string, slopes []cicadaslope.Slope) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(slopes)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEASURE\tSLOPE\tUNIT\tAT REST\tPOINTS")
	for _, s := range slopes {
		fmt.Fprintf(table, "%s\t%.4g\t%s\t%.4g\t", s.Name, s.PerUnit, s.Unit, s.Intercept)
		for _, p := range s.Points {
			fmt.Fprintf(table, "%g:%.4g ", p.X, p.Y)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
