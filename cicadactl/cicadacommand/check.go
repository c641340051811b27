package cicadacommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadacheck"
	"cicadalink.example/cicadakernel/cicadaconfig"
	adapter "cicadalink.example/platform"
)

// exitFindings is the exit code of a check that found an error.
const exitFindings = 1

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "examine a configuration file without sending it: exit code 0 without errors, 1 with errors, 2 if it cannot be read",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "also show what changes for callers from the configuration in `FILE`"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			file, err := singleArgument(cmd, "FILE (- for standard input)")
			if err != nil {
				return cannotCheck(err)
			}
			r, err := check(cmd, file, cmd.String("against"))
			if err != nil {
				return cannotCheck(err)
			}
			if err := r.write(cmd.Root().Writer, cmd.Bool("json")); err != nil {
				return cannotCheck(err)
			}
			if cicadacheck.HasErrors(r.Findings) {
				return cli.Exit("", exitFindings)
			}
			return nil
		},
	}
}

// cannotCheck returns the error of a command that could not examine the file.
func cannotCheck(err error) error {
	return cli.Exit(fmt.Sprintf("cicadactl: check: %v", err), cicadakernel.ExitUsage)
}

// A checkReport is the result of the command. Its fields are exported for encoding/json.
type checkReport struct {
	File     string                `json:"file"`
	Version  int64                 `json:"version,omitempty"` // of a platform's configuration
	Findings []cicadacheck.Finding `json:"findings"`
	Against  string                `json:"against,omitempty"`
	Changes  []cicadacheck.Change  `json:"changes"`
}

// check examines a file: a platform's configuration if it is JSON, and otherwise YAML documents of
// resources.
func check(cmd *cli.Command, file, against string) (*checkReport, error) {
	data, err := readInput(cmd, file)
	if err != nil {
		return nil, err
	}
	r := &checkReport{File: file, Against: against, Findings: []cicadacheck.Finding{}, Changes: []cicadacheck.Change{}}
	if !isJSON(data) {
		return r, r.checkResources(data)
	}
	config, err := adapter.CheckConfig(data)
	if err != nil {
		return nil, merry.Errorf("%s: %w", file, err)
	}
	r.Version = config.Config().Version()
	r.Findings = append(r.Findings, config.Findings()...)
	if against == "" {
		return r, nil
	}
	if data, err = readInput(cmd, against); err != nil {
		return nil, err
	}
	inForce, err := adapter.CheckConfig(data)
	if err != nil {
		return nil, merry.Errorf("%s: %w", against, err)
	}
	r.Changes = append(r.Changes, config.CompareWith(inForce)...)
	return r, nil
}

// isJSON reports whether a file begins like a platform's configuration. An empty file counts as one, so
// that it is reported as malformed and not as a file without resources.
func isJSON(data []byte) bool {
	data = bytes.TrimSpace(data)
	return len(data) == 0 || bytes.IndexByte([]byte(`{["`), data[0]) >= 0
}

// checkResources checks the documents of resources, all of which must be in the file, as apply does.
func (r *checkReport) checkResources(data []byte) error {
	if r.Against != "" {
		return merry.Errorf("%s: resources are compared with those in force by cicadactl diff", r.File)
	}
	resources, err := cicadaconfig.ParseResources(r.File, data)
	errs := cicadaconfig.CheckReferences(resources)
	if err != nil {
		errs = []error{err}
	}
	for _, err := range errs {
		r.Findings = append(r.Findings, cicadacheck.NewFinding(cicadacheck.Error, "", "invalid-resource", "%v", err))
	}
	return nil
}

// write writes the report as JSON or as text for operators.
func (r *checkReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		where := r.File
		if f.Field() != "" {
			where += ": " + f.Field()
		}
		fmt.Fprintf(w, "%s: %s: %s (%s)\n", where, f.Severity(), f.Message(), f.Code())
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(w, "%s: no findings\n", r.File)
	}
	if r.Against != "" {
		r.writeChanges(w)
	}
	return nil
}

// writeChanges writes the changes as text, under a heading for each effect.
func (r *checkReport) writeChanges(w io.Writer) {
	fmt.Fprintf(w, "\nchanges from %s:\n", r.Against)
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "  none")
	}
	effect := cicadacheck.Effect("")
	for _, c := range r.Changes {
		if c.Effect() != effect {
			effect = c.Effect()
			fmt.Fprintf(w, "%s:\n", effect)
		}
		fmt.Fprintf(w, "  %s: %s\n", c.Field(), c.Message())
	}
}
