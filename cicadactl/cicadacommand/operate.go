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

const jobPollInterval = 250 * time.Millisecond

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state, revision and load of entries and agents",
		Flags: []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			client, err := newClient(cmd)
			if err != nil {
				return err
			}
			status, err := client.Status(ctx)
			if err != nil {
				return merry.Errorf("status: %w", err)
			}
			return writeOutput(cmd, status, func(w io.Writer) error { return writeStatus(w, status) })
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
	drainCommand := func(name, usage string, stop bool) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "NAME", Flags: []cli.Flag{outputFlag()},
			Action: func(ctx context.Context, cmd *cli.Command) error { return drainVM(ctx, cmd, stop) },
		}
	}
	return &cli.Command{
		Name:  "vm",
		Usage: "take endpoints out of service",
		Commands: []*cli.Command{
			drainCommand("drain", "stop new requests to an endpoint and let running ones finish", false),
			drainCommand("stop", "drain an endpoint and stop its agent when no requests are left", true),
		},
	}
}

// drainVM drains an endpoint. With stop, its agent exits once no requests are left.
func drainVM(ctx context.Context, cmd *cli.Command, stop bool) error {
	client, name, err := clientAndArgument(cmd, "the NAME of an endpoint")
	if err != nil {
		return err
	}
	result, err := client.DrainVM(ctx, name, stop)
	if err != nil {
		return merry.Errorf("%s: %w", cmd.Name, err)
	}
	return writeOutput(cmd, result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s is leaving; it still runs %d requests\n", result.Name, result.Running)
		return err
	})
}

func jobCommand() *cli.Command {
	customer := &cli.StringFlag{Name: "customer", Usage: "act as an operator on the jobs of customer `NAME`"}
	return &cli.Command{
		Name:  "job",
		Usage: "manage batch jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "upload a JSONL file and create a job for it", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "endpoint", Value: "/v1/completions", Usage: "API `PATH` of the items"},
					&cli.StringFlag{Name: "window", Value: "24h", Usage: "completion window of the job, as a `DURATION`"},
					&cli.StringFlag{Name: "idempotency-key", Usage: "idempotency `KEY`, to submit a second job with the same content"},
					&cli.BoolFlag{Name: "wait", Usage: "show progress until the job has ended"},
					outputFlag(),
				},
				Action: submitJob,
			},
			{
				Name: "list", Usage: "list jobs", Flags: []cli.Flag{customer, outputFlag(), &cli.BoolFlag{Name: "all", Usage: "as an operator, list the jobs of all customers"}},
				Action: listJobs,
			},
			{
				Name: "get", Usage: "show a job", ArgsUsage: "ID",
				Flags:  []cli.Flag{outputFlag(), &cli.BoolFlag{Name: "wait", Usage: "show progress until the job has ended"}},
				Action: getJob,
			},
			{Name: "cancel", Usage: "cancel a job", ArgsUsage: "ID", Flags: []cli.Flag{customer, outputFlag()}, Action: cancelJob},
			{
				Name: "results", Usage: "print the results of a job", ArgsUsage: "ID",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "errors", Usage: "print the errors of failed items instead"}},
				Action: writeJobResults,
			},
		},
	}
}

func submitJob(ctx context.Context, cmd *cli.Command) error {
	client, name, err := clientAndArgument(cmd, "the FILE of a job in JSONL format")
	if err != nil {
		return err
	}
	file, err := os.Open(name)
	if err != nil {
		return merry.Errorf("submit: %w", err)
	}
	defer file.Close()
	job, err := client.SubmitBatch(ctx, name, file, cmd.String("endpoint"), cmd.String("window"), cmd.String("idempotency-key"))
	if err != nil {
		return merry.Errorf("submit: %w", err)
	}
	return showJob(ctx, cmd, client, job)
}

// showJob writes a job. With the wait flag, it first waits until the job has ended.
func showJob(ctx context.Context, cmd *cli.Command, client *cicadaoperate.Client, job *cicadaoperate.Batch) error {
	if cmd.Bool("wait") {
		ended, err := waitForJob(ctx, cmd, client, job)
		if err != nil {
			return err
		}
		job = ended
	}
	return writeOutput(cmd, job, func(w io.Writer) error { return writeJobs(w, []cicadaoperate.Batch{*job}) })
}

// waitForJob shows the progress of a job until the job has ended, and returns the ended
// job.
func waitForJob(ctx context.Context, cmd *cli.Command, client *cicadaoperate.Client, job *cicadaoperate.Batch) (*cicadaoperate.Batch, error) {
	bar := progressbar.NewOptions64(job.Counts.Total,
		progressbar.OptionSetWriter(cmd.Root().ErrWriter), progressbar.OptionSetDescription(job.ID),
		progressbar.OptionShowCount(), progressbar.OptionSetItsString("items"), progressbar.OptionClearOnFinish())
	for !job.Ended() {
		_ = bar.Set64(job.Counts.Completed + job.Counts.Failed)
		if !cicadaretry.Sleep(ctx, jobPollInterval) {
			return nil, merry.Errorf("wait for job %s: %w", job.ID, ctx.Err())
		}
		latest, err := client.Batch(ctx, job.ID)
		if err != nil {
			return nil, merry.Errorf("wait for job %s: %w", job.ID, err)
		}
		job = latest
	}
	_ = bar.Finish()
	return job, nil
}

func writeJobs(w io.Writer, jobs []cicadaoperate.Batch) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tCUSTOMER\tSTATE\tCOMPLETED\tFAILED\tTOTAL\tDUE")
	for _, job := range jobs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", job.ID, job.Customer, job.Status,
			job.Counts.Completed, job.Counts.Failed, job.Counts.Total, time.Unix(job.ExpiresAt, 0).UTC().Format(time.RFC3339))
	}
	return table.Flush()
}

func listJobs(ctx context.Context, cmd *cli.Command) error {
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	var jobs []cicadaoperate.Batch
	if cmd.Bool("all") || cmd.String("customer") != "" {
		jobs, err = client.CustomerBatches(ctx, cmd.String("customer"))
	} else {
		jobs, err = client.Batches(ctx)
	}
	if err != nil {
		return merry.Errorf("list: %w", err)
	}
	return writeOutput(cmd, jobs, func(w io.Writer) error { return writeJobs(w, jobs) })
}

func getJob(ctx context.Context, cmd *cli.Command) error {
	client, id, err := clientAndArgument(cmd, "the ID of a job")
	if err != nil {
		return err
	}
	job, err := client.Batch(ctx, id)
	if err != nil {
		return merry.Errorf("get: %w", err)
	}
	return showJob(ctx, cmd, client, job)
}

func cancelJob(ctx context.Context, cmd *cli.Command) error {
	client, id, err := clientAndArgument(cmd, "the ID of a job")
	if err != nil {
		return err
	}
	var job *cicadaoperate.Batch
	if customer := cmd.String("customer"); customer != "" {
		job, err = client.CancelCustomerBatch(ctx, customer, id)
	} else {
		job, err = client.CancelBatch(ctx, id)
	}
	if err != nil {
		return merry.Errorf("cancel: %w", err)
	}
	return showJob(ctx, cmd, client, job)
}

func writeJobResults(ctx context.Context, cmd *cli.Command) error {
	client, id, err := clientAndArgument(cmd, "the ID of a job")
	if err != nil {
		return err
	}
	prefix := "file-out-"
	if cmd.Bool("errors") {
		prefix = "file-err-"
	}
	return client.DownloadFile(ctx, prefix+id, cmd.Root().Writer)
}
