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
	revisionPollInterval = 100 * time.Millisecond
	revisionWaitTimeout  = 30 * time.Second
	diffContextLines     = 3
)

// changeFlags returns the flags of every command that changes the configuration,
// followed by extra.
func changeFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "reason", Usage: "reason for the change, a `TEXT` for the audit trail"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force everywhere"},
		&cli.BoolFlag{Name: "dry-run", Usage: "show the change without applying it"},
		outputFlag(),
	}, extra...)
}

func fileFlag() cli.Flag {
	return &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Required: true, Usage: "`FILE` of YAML documents, - for standard input"}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "apply the resources of a file to the configuration",
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
		Usage: "show what apply would change and which customers it affects",
		Flags: []cli.Flag{fileFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return apply(ctx, cmd, true, -1)
		},
	}
}

// apply sends the resources of a file together with their current revisions. The server
// refuses the change if one of the resources has changed since these revisions were
// read. If maxRevision is not negative, apply fails if the current revision of a
// resource is higher.
func apply(ctx context.Context, cmd *cli.Command, dryRun bool, maxRevision int64) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	file := cmd.String("file")
	data, err := readInput(cmd, file)
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
	request := cicadaoperate.ApplyRequest{File: file, Resources: string(data), Reason: cmd.String("reason"), DryRun: dryRun}
	request.Expected, err = expectedRevisions(resources, current, maxRevision)
	if err != nil {
		return err
	}
	change, err := client.Apply(ctx, request)
	if err != nil {
		return merry.Errorf("apply: %w", err)
	}
	return showChange(ctx, cmd, client, change, dryRun)
}

// expectedRevisions returns the current revision of each resource, or 0 for a resource
// that doesn't exist. If maxRevision is not negative, it fails if a revision is higher.
func expectedRevisions(resources []cicadaconfig.Resource, current *cicadaoperate.Resources, maxRevision int64) ([]cicadaoperate.ExpectedRevision, error) {
	revisions := make(map[cicadaoperate.Reference]int64)
	for _, r := range current.Resources {
		revisions[r.Reference] = r.Revision
	}
	var expected []cicadaoperate.ExpectedRevision
	for _, r := range resources {
		ref := cicadaoperate.Reference{Kind: string(r.Kind()), Name: r.Name()}
		if maxRevision >= 0 && revisions[ref] > maxRevision {
			return nil, merry.Errorf("apply: %s has changed since revision %d and is now at revision %d", ref, maxRevision, revisions[ref])
		}
		expected = append(expected, cicadaoperate.ExpectedRevision{Reference: ref, Revision: revisions[ref]})
	}
	return expected, nil
}

// showChange writes a change. With the wait flag, it then waits until all live entries
// and agents have the revision, unless dryRun is set.
func showChange(ctx context.Context, cmd *cli.Command, client *cicadaoperate.Client, change *cicadaoperate.Change, dryRun bool) error {
	err := writeOutput(cmd, change, func(w io.Writer) error { return writeChange(w, change, dryRun) })
	if err != nil || dryRun || !cmd.Bool("wait") {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, revisionWaitTimeout)
	defer cancel()
	for {
		status, err := client.Status(ctx)
		if err != nil {
			return merry.Errorf("wait for revision %d: %w", change.Revision, err)
		}
		if status.HasRevision(change.Revision) {
			fmt.Fprintf(cmd.Root().ErrWriter, "revision %d is in force everywhere\n", change.Revision)
			return nil
		}
		if !cicadaretry.Sleep(ctx, revisionPollInterval) {
			return merry.Errorf("wait for revision %d: not in force everywhere after %s", change.Revision, revisionWaitTimeout)
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
			Context:  diffContextLines,
		})
		if err != nil {
			return merry.Errorf("diff %s: %w", delta, err)
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
		Usage:     "show current resources: all, KIND or KIND/NAME",
		ArgsUsage: "[KIND[/NAME]]",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := newClient(cmd)
			if err != nil {
				return err
			}
			kind, name, _ := strings.Cut(cmd.Args().First(), "/")
			resources, err := client.Resources(ctx, kind, name)
			if err != nil {
				return merry.Errorf("get: %w", err)
			}
			return writeOutput(cmd, resources, func(w io.Writer) error {
				for i, r := range resources.Resources {
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
			client, argument, err := clientAndArgument(cmd, "KIND/NAME")
			if err != nil {
				return err
			}
			ref, err := parseReference(argument)
			if err != nil {
				return err
			}
			request := cicadaoperate.ApplyRequest{Deletes: []cicadaoperate.Reference{ref}, Reason: cmd.String("reason"), DryRun: cmd.Bool("dry-run")}
			change, err := client.Apply(ctx, request)
			if err != nil {
				return merry.Errorf("delete: %w", err)
			}
			return showChange(ctx, cmd, client, change, cmd.Bool("dry-run"))
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "show all changes of a resource",
		ArgsUsage: "KIND/NAME",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			argument, err := singleArgument(cmd, "KIND/NAME")
			if err != nil {
				return err
			}
			ref, err := parseReference(argument)
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
			&cli.Int64Flag{Name: "from", Usage: "show changes from `REVISION` on (default: the newest 200)"},
			&cli.StringFlag{Name: "kind", Usage: "show only changes of resources of `KIND`"},
			outputFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return showAudit(ctx, cmd, cmd.Int64("from"), cicadaoperate.Reference{Kind: cmd.String("kind")}, false)
		},
	}
}

// showAudit writes the audit trail of the resources that match ref, starting at revision
// from. With diffs, it writes a diff of each change, otherwise a table of the changes.
func showAudit(ctx context.Context, cmd *cli.Command, from int64, ref cicadaoperate.Reference, diffs bool) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	trail, err := client.Audit(ctx, from, ref.Kind, ref.Name)
	if err != nil {
		return merry.Errorf("%s: %w", cmd.Name, err)
	}
	return writeOutput(cmd, trail, func(w io.Writer) error {
		if diffs {
			return writeHistory(w, trail)
		}
		return writeAudit(w, trail)
	})
}

func writeHistory(w io.Writer, trail *cicadaoperate.AuditTrail) error {
	for i := range trail.Changes {
		change := &trail.Changes[i]
		fmt.Fprintf(w, "== revision %d, %s by %s: %s\n", change.Revision, formatTime(change.AtMs), change.Operator, change.Reason)
		if err := writeChange(w, &cicadaoperate.Change{Revision: change.Revision, Changes: change.Changes}, false); err != nil {
			return err
		}
	}
	return nil
}

func writeAudit(w io.Writer, trail *cicadaoperate.AuditTrail) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tTIME\tOPERATOR\tCHANGES\tREASON")
	for _, change := range trail.Changes {
		var actions []string
		for _, delta := range change.Changes {
			actions = append(actions, actionName(delta)+" "+delta.String())
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", change.Revision, formatTime(change.AtMs), change.Operator, strings.Join(actions, ", "), change.Reason)
	}
	return table.Flush()
}

// actionName returns the name of an action in the table of writeAudit.
func actionName(delta cicadaoperate.ResourceChange) string {
	switch {
	case delta.Before == "":
		return "create"
	case delta.After == "":
		return "delete"
	}
	return "change"
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

func rollBackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "restore the configuration of an earlier revision as a new revision",
		ArgsUsage: "REVISION",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, argument, err := clientAndArgument(cmd, "REVISION")
			if err != nil {
				return err
			}
			revision, err := strconv.ParseInt(argument, 10, 64)
			if err != nil {
				return merry.Errorf("rollback: expected a revision, have %q", argument)
			}
			request := cicadaoperate.RollBackRequest{Revision: revision, Reason: cmd.String("reason"), DryRun: cmd.Bool("dry-run")}
			change, err := client.RollBack(ctx, request)
			if err != nil {
				return merry.Errorf("rollback: %w", err)
			}
			return showChange(ctx, cmd, client, change, cmd.Bool("dry-run"))
		},
	}
}
