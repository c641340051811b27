// Command cicadadev runs a complete deployment in one process for local
// development: real entries and agents, with stand-ins (test doubles) for the
// platform, the model engines and an order service, which is a plain HTTP service.
//
// # Usage
//
//	go run ./cicadadev
//	go run ./cicadadev --platform 127.0.0.1:6000 --vm entry-1,entry,dc-1,127.0.0.1:7001
//
// By default it starts the deployment, prints example shell commands and runs until
// it is interrupted. With the flag platform, engine or service, it serves only the
// stand-ins that are given, for entries and agents in other processes.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/template"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadadev/cicadadeployment"
	"cicadalink.example/cicadakernel"
)

const welcomeText = `cicadalink runs at {{.URL}}  (Ctrl-C stops it)

A streaming request:

  curl -N {{.URL}}/v1/chat/completions -H 'Authorization: Bearer {{.Key}}' \
    -d '{"model":"{{.Model}}","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"A quote for ten maple mallets, please."}]}'

A batch job:

  printf '%s\n' '{"custom_id":"card-1","method":"POST","url":"/v1/completions","body":{"model":"{{.Model}}","prompt":"Job card for an ash handle","max_tokens":12}}' \
    '{"custom_id":"card-2","method":"POST","url":"/v1/completions","body":{"model":"{{.Model}}","prompt":"Job card for a beech wedge","max_tokens":12}}' > /tmp/cards.jsonl
  go run ./cicadactl --server {{.URL}} --key {{.Key}} job submit --wait /tmp/cards.jsonl

An order, placed once even if the request is repeated:

  curl {{.URL}}/services/{{.Service}}/orders -H 'Authorization: Bearer {{.Key}}' -H 'Idempotency-Key: order-7' -d '{"mallets":1}'

A configuration change by an operator, and the resulting status:

  printf 'kind: customer\nname: last-carver\ntemplate: shop-desk\n' > /tmp/last-carver.yaml
  go run ./cicadactl --server {{.URL}} --key {{.Operator}} apply --wait --reason 'new customer' -f /tmp/last-carver.yaml
  go run ./cicadactl --server {{.URL}} --key {{.Operator}} status
`

func main() {
	cmd := &cli.Command{
		Name:    "cicadadev",
		Usage:   "runs entries, agents and stand-ins in one process",
		Version: cicadakernel.Version,
		Flags: append(standInFlags(),
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8080", Usage: "`ADDRESS` of the first entry for callers"},
			&cli.IntFlag{Name: "entries", Value: 2, Usage: "number of entries"},
			&cli.IntFlag{Name: "engines", Value: 3, Usage: "number of model engines"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "trace, debug, info, warn, error or off"},
		),
		Action: runDeployment,
	}
	cicadakernel.Main(cmd)
}

func runDeployment(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	handlers, err := standIns(cmd)
	if err != nil {
		return err
	}
	if len(handlers) > 0 {
		return serveStandIns(ctx, cmd, handlers)
	}
	d, err := cicadadeployment.Start(ctx,
		cicadadeployment.WithEntries(cmd.Int("entries")),
		cicadadeployment.WithEngines(cmd.Int("engines")),
		cicadadeployment.WithListen(cmd.String("listen")),
		cicadadeployment.WithLogs(os.Stderr, cmd.String("log-level")))
	if err != nil {
		return merry.Errorf("start deployment: %w", err)
	}
	defer d.Close()
	if err := printWelcome(cmd.Root().Writer, d.EntryURL(0)); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Fprintln(cmd.Root().Writer, "stopping")
	return nil
}

func printWelcome(w io.Writer, url string) error {
	tmpl := template.Must(template.New("welcome").Parse(welcomeText))
	err := tmpl.Execute(w, map[string]string{
		"URL": url, "Key": cicadadeployment.CallerKey, "Operator": cicadadeployment.OperatorKey,
		"Model": cicadadeployment.Model, "Service": cicadadeployment.Service,
	})
	if err != nil {
		return merry.Errorf("print welcome: %w", err)
	}
	return nil
}
