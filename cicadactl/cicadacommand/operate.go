package cicadacommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadakernel/cicadaoperate"
	"cicadalink.example/cicadakernel/cicadaretry"
)

const jobInterval = 250 * time.Millisecond

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show entries and agents, their state, revision and load",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := clientOf(cmd)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return merry.Errorf("status: %w", err)
			}
			return write(cmd, status, func(w io.Writer) error { return writeStatus(w, status) })
		},
	}
}

func writeStatus(w io.Writer, status *cicadaoperate.Status) error {
	fmt.Fprintf(w, "configuration revision %d\n\n", status.Revision)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tDATA CENTRE\tSTATE\tREVISION\tSHARDS\tPLATFORM READS\tPLATFORM WRITES")
	for _, e := range status.Entries {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\n", e.Name, e.DataCentre, e.State, e.Revision, len(e.Shards), e.PlatformReads, e.PlatformWrites)
	}
	fmt.Fprintln(table, "\t\t\t\t\t\t")
	fmt.Fprintln(table, "ENDPOINT\tDATA CENTRE\tSTATE\tREVISION\tGROUP\tONLINE (WAITING)\tBATCH (WAITING)")
	for _, a := range status.Agents {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d (%d)\t%d (%d)\n",
			a.Name, a.DataCentre, a.State, a.Revision, a.Group, a.Online, a.OnlineWaiting, a.Batch, a.BatchWaiting)
	}
	return table.Flush()
}

func vmCommand() *cli.Command {
	verb := func(name, usage string, stop bool) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME", Flags: []cli.Flag{outputFlag()},
			Action: func(ctx context.Context, cmd *cli.Command) error { return drain(ctx, cmd, stop) },
		}
	}
	return &cli.Command{
		Name:  "vm",
		Usage: "take endpoints out of service",
		Commands: []*cli.Command{
			verb("drain", "let an endpoint finish what it runs and take nothing new", false),
			verb("stop", "drain an endpoint, and end its agent when nothing runs", true),
		},
	}
}

func drain(ctx context.Context, cmd *cli.Command, stop bool) error {
	client, name, err := clientAndArgument(cmd, "the NAME of an endpoint")
	if err != nil {
		return err
	}
	drained, err := client.DrainVM(ctx, name, stop)
	if err != nil {
		return merry.Errorf("%s: %w", cmd.Name, err)
	}
	return write(cmd, drained, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is leaving; it still runs %d requests\n", drained.Name, drained.Running)
		return err
	})
}

func jobCommand() *cli.Command {
	customer := &cli.StringFlag{Name: "customer", Usage: "act as an operator on the jobs of `NAME`"}
	return &cli.Command{
		Name:  "job",
		Usage: "work with batch jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "upload a JSONL file and start a job for it", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "endpoint", Value: "/v1/completions", Usage: "`PATH` of the items"},
					&cli.StringFlag{Name: "window", Value: "24h", Usage: "`TIME` in which the job is due"},
					&cli.StringFlag{Name: "idempotency-key", Usage: "`KEY` that tells this job from another of the same content"},
					&cli.BoolFlag{Name: "wait", Usage: "show progress until the job has ended"},
					outputFlag(),
				},
				Action: submitJob,
			},
			{
				Name: "list", Usage: "list jobs", Flags: []cli.Flag{customer, outputFlag(), &cli.BoolFlag{Name: "all", Usage: "as an operator, of all customers"}},
				Action: listJobs,
			},
			{
				Name: "get", Usage: "show a job", ArgsUsage: "ID",
				Flags:  []cli.Flag{outputFlag(), &cli.BoolFlag{Name: "wait", Usage: "show progress until the job has ended"}},
				Action: getJob,
			},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Flags: []cli.Flag{customer, outputFlag()}, Action: cancelJob},
			{
				Name: "results", Usage: "print a job's results", ArgsUsage: "ID",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "errors", Usage: "print the failed items instead"}},
				Action: jobResults,
			},
		},
	}
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	client, name, err := clientAndArgument(cmd, "a FILE of JSON lines")
	if err != nil {
		return err
	}
	file, err := os.Open(name)
	if err != nil {
		return merry.Errorf("submit: %w", err)
	}
	defer file.Close()
	batch, err := client.SubmitBatch(ctx, name, file, cmd.String("endpoint"), cmd.String("window"), cmd.String("idempotency-key"))
	if err != nil {
		return merry.Errorf("submit: %w", err)
	}
	return showJob(ctx, cmd, client, batch)
}

// showJob shows a job, after it has ended if that is asked for.
func showJob(ctx context.Context, cmd *cli.Command, client *cicadaoperate.Client, batch *cicadaoperate.Batch) error {
	if cmd.Bool("wait") {
		ended, err := waitForJob(ctx, cmd, client, batch)
		if err != nil {
			return err
		}
		batch = ended
	}
	return write(cmd, batch, func(w io.Writer) error { return writeJobs(w, []cicadaoperate.Batch{*batch}) })
}

func waitForJob(ctx context.Context, cmd *cli.Command, client *cicadaoperate.Client, batch *cicadaoperate.Batch) (*cicadaoperate.Batch, error) {
	bar := progressbar.NewOptions64(batch.Counts.Total,
		progressbar.OptionSetWriter(cmd.Root().ErrWriter), progressbar.OptionSetDescription(batch.ID),
		progressbar.OptionShowCount(), progressbar.OptionSetItsString("items"), progressbar.OptionClearOnFinish())
	for !batch.Ended() {
		_ = bar.Set64(batch.Counts.Completed + batch.Counts.Failed)
		if !cicadaretry.Wait(ctx, jobInterval) {
			return nil, merry.Errorf("wait for job: %w", ctx.Err())
		}
		next, err := client.Batch(ctx, batch.ID)
		if err != nil {
			return nil, merry.Errorf("wait for job: %w", err)
		}
		batch = next
	}
	_ = bar.Finish()
	return batch, nil
}

func writeJobs(w io.Writer, batches []cicadaoperate.Batch) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tCUSTOMER\tSTATE\tCOMPLETED\tFAILED\tTOTAL\tDUE")
	for _, b := range batches {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.ID, b.Customer, b.Status,
			b.Counts.Completed, b.Counts.Failed, b.Counts.Total, time.Unix(b.ExpiresAt, 0).UTC().Format(time.RFC3339))
	}
	return table.Flush()
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	client, err := clientOf(cmd)
	if err != nil {
		return err
	}
	var batches []cicadaoperate.Batch
	if cmd.Bool("all") || cmd.String("customer") != "" {
		batches, err = client.CustomerBatches(ctx, cmd.String("customer"))
	} else {
		batches, err = client.Batches(ctx)
	}
	if err != nil {
		return merry.Errorf("list: %w", err)
	}
	return write(cmd, batches, func(w io.Writer) error { return writeJobs(w, batches) })
}

func getJob(ctx context.Context, cmd *cli.Command) error {
	client, id, err := clientAndArgument(cmd, "the ID of a job")
	if err != nil {
		return err
	}
	batch, err := client.Batch(ctx, id)
	if err != nil {
		return merry.Errorf("get: %w", err)
	}
	return showJob(ctx, cmd, client, batch)
}

func cancelJob(ctx context.Context, cmd *cli.Command) error {
	client, id, err := clientAndArgument(cmd, "the ID of a job")
	if err != nil {
		return err
	}
	var batch *cicadaoperate.Batch
	if customer := cmd.String("customer"); customer != "" {
		batch, err = client.CancelCustomerBatch(ctx, customer, id)
	} else {
		batch, err = client.CancelBatch(ctx, id)
	}
	if err != nil {
		return merry.Errorf("cancel: %w", err)
	}
	return showJob(ctx, cmd, client, batch)
}

func jobResults(ctx context.Context, cmd *cli.Command) error {
	client, id, err := clientAndArgument(cmd, "the ID of a job")
	if err != nil {
		return err
	}
	prefix := "file-out-"
	if cmd.Bool("errors") {
		prefix = "file-err-"
	}
	return client.Results(ctx, prefix+id, cmd.Root().Writer)
}
