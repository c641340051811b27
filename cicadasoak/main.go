// Command cicadasoak runs the gateway's programs as separate processes on loopback addresses,
// plays the platform's store, the endpoints and the callers itself, injects faults from outside
// the processes, and checks from what callers see that nothing comes out of order and no result is lost.
// With customers it checks from what endpoints get that keys are used and passed on only as they may be,
// and that quotas are kept.
//
// # Usage
//
//	go build -trimpath -ldflags=-linkmode=external -o target/ ./cicadagateway
//	go run ./cicadasoak --seed 7 --duration 40s
//	go run ./cicadasoak --scenario disorder --seed 7 --duration 40s
//	go run ./cicadasoak --scenario all-killed --seed 1
//	go run ./cicadasoak --scenario stopped-owners --seed 1
//	go run ./cicadasoak --scenario release-beside-stopped-entry --seed 1
//	go run ./cicadasoak --scenario customers --seed 1 --duration 70s
//	go run ./cicadasoak --scenario silent-links --seed 1
//	go run ./cicadasoak --scenario silent-links --seed 1 --fault "all owners"
//	go run ./cicadasoak --scenario upgrades-in-place --seed 1 --duration 15s --report-delay 1s
//
// It prints a line for each violation and a summary, and exits with 1 if a rule was broken and
// with 2 if it could not run. The seed determines which faults come when; the processes run in
// real time, so that a run of the same seed need not end the same way.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitBroken    = 1
	exitCannotRun = 2
)

var errBroken = merry.Sentinel("cicadasoak: a rule was broken")

func main() {
	cmd := &cli.Command{
		Name:  "cicadasoak",
		Usage: "runs the gateway's processes under faults and checks the order of what callers get",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Value: "target/cicadagateway", Usage: "program to run"},
			&cli.StringFlag{Name: "settings", Value: "deploy/settings.yaml", Usage: "template of its settings"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "determines which faults come when"},
			&cli.DurationFlag{Name: "duration", Value: 40 * time.Second, Usage: "time with faults, or of the upgrades"},
			&cli.StringFlag{Name: "scenario", Value: "random", Usage: "random, disorder, late-reads, repeated-events, all-killed, stopped-owners, release-beside-stopped-entry, upgrades-in-place, silent-links or customers"},
			&cli.StringFlag{Name: "fault", Usage: "inject only the faults whose name contains this `TEXT`, in silent-links"},
			&cli.DurationFlag{Name: "report-delay", Value: time.Second, Usage: "time from the start of an upgraded endpoint to its first report"},
			&cli.BoolFlag{Name: "born", Value: true, Usage: "endpoints state their start in registrations and reports"},
			&cli.BoolFlag{Name: "customer-settings", Usage: "add the limits of customers to a template of settings that has none"},
			&cli.StringFlag{Name: "logs", Usage: "keep the logs of the processes in this `FOLDER`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
			defer stop()
			return run(ctx, cmd)
		},
	}
	err := cmd.Run(context.Background(), os.Args)
	switch {
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cicadasoak:", err)
		os.Exit(exitCannotRun)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	play, ok := scenarios[cmd.String("scenario")]
	if !ok {
		return merry.Errorf("unknown scenario %q", cmd.String("scenario"))
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "cicadasoak", Output: os.Stderr})
	checks := newChecks(log)
	var customers *recorder
	if withCustomers[cmd.String("scenario")] {
		customers = newCustomerRecorder(checks)
	}
	d, err := startDeployment(ctx, deploymentConfig{
		customers: customers, customerSettings: cmd.Bool("customer-settings"),
		gateway: cmd.String("gateway"), template: cmd.String("settings"), logs: cmd.String("logs"),
		entries: 5, owners: 3, endpoints: 4, statesStart: cmd.Bool("born"), proxied: proxied[cmd.String("scenario")],
		linked: linked[cmd.String("scenario")],
	}, log)
	if err != nil {
		return err
	}
	defer d.stop()
	play(ctx, &soak{
		deployment: d, checks: checks, log: log, duration: cmd.Duration("duration"), reportDelay: cmd.Duration("report-delay"), jobInterval: jobInterval, onlyFault: cmd.String("fault"), random: newRandom(cmd.Uint64("seed")),
	})
	fmt.Printf("seed %d: %s\n", cmd.Uint64("seed"), checks.summary())
	if checks.broken() {
		return errBroken
	}
	return nil
}
