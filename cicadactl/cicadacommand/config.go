package cicadacommand

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaoperate"
	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	waitInterval = 100 * time.Millisecond
	waitLimit    = 30 * time.Second
	diffContext  = 3
)

func changeFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the audit trail"},
		&cli.BoolFlag{Name: "wait", Usage: "return when the change is in force everywhere"},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the change without making it"},
		outputFlag(),
	}, more...)
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "`FILE` of YAML documents, - for standard input"}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make the resources of a file the configuration in force",
		Flags: changeFlags(fileFlag(),
			&cli.Int64Flag{Name: "expect", Value: -1, Usage: "refuse if a resource of the file has changed since `REVISION`"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return apply(ctx, cmd, cmd.Bool("dry-run"), cmd.Int64("expect"))
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:  "diff",
		Usage: "show what apply would change, and which customers it touches",
		Flags: []cli.Flag{fileFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return apply(ctx, cmd, true, -1)
		},
	}
}

// apply sends a file's resources with the revisions that they are at now, so
// that a change by someone else between the look and the write is refused.
func apply(ctx context.Context, cmd *cli.Command, dryRun bool, expect int64) error {
	client, err := clientOf(cmd)
	if err != nil {
		return err
	}
	file := cmd.String("file")
	data, err := readFile(cmd, file)
	if err != nil {
		return err
	}
	resources, err := cicadaconfig.ParseResources(file, data)
	if err != nil {
		return merry.Errorf("apply: %w", err)
	}
	current, err := client.Resources(ctx, "", "")
	if err != nil {
		return merry.Errorf("apply: %w", err)
	}
	in := cicadaoperate.Apply{File: file, Resources: string(data), Reason: cmd.String("reason"), DryRun: dryRun}
	in.Expected, err = expectations(resources, current, expect)
	if err != nil {
		return err
	}
	change, err := client.Apply(ctx, in)
	if err != nil {
		return merry.Errorf("apply: %w", err)
	}
	return finishChange(ctx, cmd, client, change, dryRun)
}

func expectations(resources []cicadaconfig.Resource, current *cicadaoperate.Resources, expect int64) ([]cicadaoperate.Expected, error) {
	at := make(map[cicadaoperate.Reference]int64)
	for _, r := range current.Resources {
		at[r.Reference] = r.Revision
	}
	var expected []cicadaoperate.Expected
	for _, r := range resources {
		ref := cicadaoperate.Reference{Kind: string(r.Kind()), Name: r.Name()}
		if expect >= 0 && at[ref] > expect {
			return nil, merry.Errorf("apply: %s has changed: it is at revision %d, after %d", ref, at[ref], expect)
		}
		expected = append(expected, cicadaoperate.Expected{Reference: ref, Revision: at[ref]})
	}
	return expected, nil
}

// finishChange shows a change and, if asked to, waits until it is in force.
func finishChange(ctx context.Context, cmd *cli.Command, client *cicadaoperate.Client, change *cicadaoperate.Change, dryRun bool) error {
	err := write(cmd, change, func(w io.Writer) error { return writeChange(w, change, dryRun) })
	if err != nil || dryRun || !cmd.Bool("wait") {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return merry.Errorf("wait for revision %d: %w", change.Revision, err)
		}
		if status.Holds(change.Revision) {
			fmt.Fprintf(cmd.Root().ErrWriter, "revision %d is in force everywhere\n", change.Revision)
			return nil
		}
		if !cicadaretry.Wait(ctx, waitInterval) {
			return merry.Errorf("wait for revision %d: not in force everywhere after %s", change.Revision, waitLimit)
		}
	}
}

func writeChange(w io.Writer, change *cicadaoperate.Change, dryRun bool) error {
	for _, delta := range change.Changes {
		text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
			A:        difflib.SplitLines(delta.Before),
			B:        difflib.SplitLines(delta.After),
			FromFile: delta.String() + " (in force)",
			ToFile:   delta.String() + " (new)",
			Context:  diffContext,
		})
		if err != nil {
			return merry.Errorf("compare resources: %w", err)
		}
		fmt.Fprint(w, text)
	}
	if len(change.Customers) > 0 {
		fmt.Fprintf(w, "customers touched: %s\n", strings.Join(change.Customers, ", "))
	}
	if dryRun {
		fmt.Fprintf(w, "would be revision %d; nothing was changed\n", change.Revision)
		return nil
	}
	fmt.Fprintf(w, "revision %d\n", change.Revision)
	return nil
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show resources in force: all, KIND, or KIND/NAME",
		ArgsUsage: "[KIND[/NAME]]",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := clientOf(cmd)
			if err != nil {
				return err
			}
			kind, name, _ := strings.Cut(cmd.Args().First(), "/")
			list, err := client.Resources(ctx, kind, name)
			if err != nil {
				return merry.Errorf("get: %w", err)
			}
			return write(cmd, list, func(w io.Writer) error {
				for i, r := range list.Resources {
					if i > 0 {
						fmt.Fprintln(w, "---")
					}
					fmt.Fprintf(w, "# revision %d\n%s", r.Revision, r.Body)
				}
				return nil
			})
		},
	}
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "remove a resource",
		ArgsUsage: "KIND/NAME",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, arg, err := clientAndArgument(cmd, "KIND/NAME")
			if err != nil {
				return err
			}
			ref, err := referenceOf(arg)
			if err != nil {
				return err
			}
			in := cicadaoperate.Apply{Deletes: []cicadaoperate.Reference{ref}, Reason: cmd.String("reason"), DryRun: cmd.Bool("dry-run")}
			change, err := client.Apply(ctx, in)
			if err != nil {
				return merry.Errorf("delete: %w", err)
			}
			return finishChange(ctx, cmd, client, change, cmd.Bool("dry-run"))
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "show the changes of one resource",
		ArgsUsage: "KIND/NAME",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			arg, err := one(cmd, "KIND/NAME")
			if err != nil {
				return err
			}
			ref, err := referenceOf(arg)
			if err != nil {
				return err
			}
			return showAudit(ctx, cmd, 1, ref, true)
		},
	}
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "show who changed what, when and why",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: "from", Usage: "first `REVISION`; the newest 200 without it"},
			&cli.StringFlag{Name: "kind", Usage: "only resources of a `KIND`"},
			outputFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return showAudit(ctx, cmd, cmd.Int64("from"), cicadaoperate.Reference{Kind: cmd.String("kind")}, false)
		},
	}
}

func showAudit(ctx context.Context, cmd *cli.Command, from int64, ref cicadaoperate.Reference, bodies bool) error {
	client, err := clientOf(cmd)
	if err != nil {
		return err
	}
	trail, err := client.Audit(ctx, from, ref.Kind, ref.Name)
	if err != nil {
		return merry.Errorf("%s: %w", cmd.Name, err)
	}
	return write(cmd, trail, func(w io.Writer) error {
		if bodies {
			return writeHistory(w, trail)
		}
		return writeAudit(w, trail)
	})
}

func writeHistory(w io.Writer, trail *cicadaoperate.Audit) error {
	for i := range trail.Changes {
		change := &trail.Changes[i]
		fmt.Fprintf(w, "== revision %d, %s by %s: %s\n", change.Revision, timeOf(change.AtMs), change.Operator, change.Reason)
		if err := writeChange(w, &cicadaoperate.Change{Revision: change.Revision, Changes: change.Changes}, false); err != nil {
			return err
		}
	}
	return nil
}

func writeAudit(w io.Writer, trail *cicadaoperate.Audit) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tTIME\tOPERATOR\tCHANGES\tREASON")
	for _, change := range trail.Changes {
		var what []string
		for _, delta := range change.Changes {
			what = append(what, verbOf(delta)+" "+delta.String())
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", change.Revision, timeOf(change.AtMs), change.Operator, strings.Join(what, ", "), change.Reason)
	}
	return table.Flush()
}

func verbOf(delta cicadaoperate.Delta) string {
	switch {
	case delta.Before == "":
		return "create"
	case delta.After == "":
		return "delete"
	}
	return "change"
}

func timeOf(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func rollBackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "restore the configuration of a revision, as a new revision",
		ArgsUsage: "REVISION",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, arg, err := clientAndArgument(cmd, "REVISION")
			if err != nil {
				return err
			}
			revision, err := strconv.ParseInt(arg, 10, 64)
			if err != nil {
				return merry.Errorf("rollback: expected a revision, have %q", arg)
			}
			in := cicadaoperate.RollBack{Revision: revision, Reason: cmd.String("reason"), DryRun: cmd.Bool("dry-run")}
			change, err := client.RollBack(ctx, in)
			if err != nil {
				return merry.Errorf("rollback: %w", err)
			}
			return finishChange(ctx, cmd, client, change, cmd.Bool("dry-run"))
		},
	}
}
