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
	readHeaderTimeout = 5 * time.Second
	minVMFields       = 4
)

// standInFlags returns the flags of the stand-ins. With an address of a stand-in,
// cicadadev serves only stand-ins, for entries and agents in other processes.
func standInFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "serve only the stand-in platform at `ADDRESS`"},
		&cli.StringSliceFlag{Name: "vm", Usage: "a row of the platform's VM list, `NAME,ROLE,DATA-CENTRE,ADDRESS[,GROUP]`"},
		&cli.StringFlag{Name: "engine", Usage: "serve only a stand-in engine at `ADDRESS`"},
		&cli.StringFlag{Name: "service", Usage: "serve only a stand-in plain service at `ADDRESS`"},
		&cli.StringSliceFlag{Name: "model", Value: []string{"order-assistant"}, Usage: "a `MODEL` of the stand-in engine"},
	}
}

// standIns returns the handlers of the stand-ins that the flags request, by listen
// address.
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

// parseVMs parses the rows of the VM list. The cli package splits flag values at
// commas, so the rows arrive flattened: four fields each, and a fifth, the group,
// for an endpoint.
func parseVMs(fields []string) ([]cicadaplatform.VM, error) {
	var vms []cicadaplatform.VM
	for len(fields) > 0 {
		if len(fields) < minVMFields {
			return nil, merry.Errorf("invalid --vm %q: expected NAME,ROLE,DATA-CENTRE,ADDRESS[,GROUP]", strings.Join(fields, ","))
		}
		vm := cicadaplatform.VM{Name: fields[0], Role: fields[1], DataCentre: fields[2], Address: fields[3], State: cicadaplatform.VMLive}
		fields = fields[minVMFields:]
		switch vm.Role {
		case "entry":
		case "endpoint":
			if len(fields) == 0 {
				return nil, merry.Errorf("invalid --vm for endpoint %q: missing group after the address", vm.Name)
			}
			vm.Group = fields[0]
			fields = fields[1:]
		default:
			return nil, merry.Errorf("invalid --vm: role must be entry or endpoint, got %q", vm.Role)
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// serveStandIns serves the handlers at their addresses until ctx is done.
func serveStandIns(ctx context.Context, cmd *cli.Command, handlers map[string]http.Handler) error {
	tasks := pool.New().WithErrors()
	for address, handler := range handlers {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return merry.Errorf("listen: %w", err)
		}
		fmt.Fprintf(cmd.Root().Writer, "stand-in at http://%s\n", ln.Addr())
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
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
