package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadadev/cicadastandin"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

const (
	headerLimit = 5 * time.Second
	vmFields    = 4
)

// standInFlags make cicadadev serve stand-ins only, for entries and agents that
// run as processes of their own.
func standInFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "serve only the stand-in platform at `ADDRESS`"},
		&cli.StringSliceFlag{Name: "vm", Usage: "a row of the platform's VM list, `NAME,ROLE,DATA-CENTRE,ADDRESS[,GROUP]`"},
		&cli.StringFlag{Name: "engine", Usage: "serve only a stand-in engine at `ADDRESS`"},
		&cli.StringFlag{Name: "service", Usage: "serve only a stand-in plain service at `ADDRESS`"},
		&cli.StringSliceFlag{Name: "model", Value: []string{"order-assistant"}, Usage: "a `MODEL` of the stand-in engine"},
	}
}

// standIns returns the stand-ins that the flags ask for, by address.
func standIns(cmd *cli.Command) (map[string]http.Handler, error) {
	handlers := make(map[string]http.Handler)
	if address := cmd.String("platform"); address != "" {
		memory := cicadaplatform.NewMemory()
		rows, err := parseVMs(cmd.StringSlice("vm"))
		if err != nil {
			return nil, err
		}
		for _, vm := range rows {
			memory.SetVM(vm)
		}
		handlers[address] = cicadaplatform.Handler(memory.Backend())
	}
	if address := cmd.String("engine"); address != "" {
		handlers[address] = cicadastandin.NewEngine(cicadastandin.WithModels(cmd.StringSlice("model")...)).Handler()
	}
	if address := cmd.String("service"); address != "" {
		handlers[address] = cicadastandin.NewLedger().Handler()
	}
	return handlers, nil
}

// parseVMs reads rows of the VM list. The flag splits at commas, so a row is
// four fields, and a fifth for an endpoint.
func parseVMs(fields []string) ([]cicadaplatform.VM, error) {
	var vms []cicadaplatform.VM
	for len(fields) > 0 {
		if len(fields) < vmFields {
			return nil, merry.Errorf("expected --vm NAME,ROLE,DATA-CENTRE,ADDRESS[,GROUP], have %q", strings.Join(fields, ","))
		}
		vm := cicadaplatform.VM{Name: fields[0], Role: fields[1], DataCentre: fields[2], Address: fields[3], State: cicadaplatform.VMLive}
		fields = fields[vmFields:]
		switch vm.Role {
		case "entry":
		case "endpoint":
			if len(fields) == 0 {
				return nil, merry.Errorf("expected a group after the address of endpoint %q", vm.Name)
			}
			vm.Group = fields[0]
			fields = fields[1:]
		default:
			return nil, merry.Errorf("expected the role entry or endpoint, have %q", vm.Role)
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// serveStandIns serves stand-ins until ctx ends.
func serveStandIns(ctx context.Context, cmd *cli.Command, handlers map[string]http.Handler) error {
	tasks := pool.New().WithErrors()
	for address, handler := range handlers {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return merry.Errorf("listen: %w", err)
		}
		fmt.Fprintf(cmd.Root().Writer, "stand-in at http://%s\n", ln.Addr())
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		tasks.Go(func() error {
			if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
				return merry.Errorf("serve stand-in: %w", err)
			}
			return nil
		})
	}
	return tasks.Wait()
}
