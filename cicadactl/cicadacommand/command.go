// Package cicadacommand implements the command line of cicadactl.
//
// # Usage
//
//	err := cicadacommand.New().Run(ctx, []string{"cicadactl", "status"})
//
// Commands write their result to the Writer of the root command and progress to
// its ErrWriter. Errors are returned, not printed.
package cicadacommand

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaoperate"
	"cicadalink.example/cicadakernel/cicadasettings"
)

const (
	defaultServer = "http://127.0.0.1:8080"
	maxKeyBytes   = 4096
)

// New returns the root command of cicadactl.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "cicadactl",
		Usage:                 "operate a cicadalink deployment",
		Version:               cicadakernel.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: defaultServer, Sources: cli.EnvVars("CICADA_SERVER"), Usage: "base `URL` of an entry"},
			&cli.StringFlag{Name: "key", Sources: cli.EnvVars("CICADA_KEY"), Usage: "`KEY` of an operator or a customer"},
			&cli.StringFlag{Name: "tls-authority", Usage: "PEM `FILE` of the authority that signed the certificate of the entry"},
			&cli.StringFlag{Name: "tls-certificate", Usage: "PEM `FILE` of the client certificate"},
			&cli.StringFlag{Name: "tls-key", Usage: "PEM `FILE` of the private key of the client certificate"},
		},
		Commands: []*cli.Command{
			checkCommand(), applyCommand(), diffCommand(), getCommand(), deleteCommand(),
			historyCommand(), auditCommand(), rollBackCommand(),
			statusCommand(), vmCommand(), jobCommand(), keyCommand(), explainCommand(),
		},
	}
}

// newClient returns a client that uses the server, key and TLS files of the flags.
func newClient(cmd *cli.Command) (*cicadaoperate.Client, error) {
	tlsSettings := cicadasettings.TLS{
		Certificate: cmd.String("tls-certificate"), Key: cmd.String("tls-key"), Authority: cmd.String("tls-authority"),
	}
	var opts []cicadaoperate.ClientOption
	if tlsSettings.Certificate != "" || tlsSettings.Authority != "" {
		cfg, err := tlsSettings.ClientConfig()
		if err != nil {
			return nil, merry.Errorf("configure TLS: %w", err)
		}
		opts = append(opts, cicadaoperate.WithTLS(cfg))
	}
	return cicadaoperate.NewClient(cmd.String("server"), cmd.String("key"), opts...), nil
}

// outputFlag returns the flag that selects the format of writeOutput.
func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`: table, json or yaml", Validator: func(s string) error {
		if s != "table" && s != "json" && s != "yaml" {
			return merry.Errorf("unknown output format %q, expected table, json or yaml", s)
		}
		return nil
	}}
}

// writeOutput writes v in the format of the output flag. For a table, it calls
// writeTable.
func writeOutput(cmd *cli.Command, v any, writeTable func(w io.Writer) error) error {
	w := cmd.Root().Writer
	switch cmd.String("output") {
	case "json":
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	case "yaml":
		data, err := json.Marshal(v)
		if err != nil {
			return merry.Errorf("encode output: %w", err)
		}
		text, err := yaml.JSONToYAML(data)
		if err != nil {
			return merry.Errorf("encode output: %w", err)
		}
		_, err = w.Write(text)
		return err
	}
	return writeTable(w)
}

// singleArgument returns the argument of a command that takes exactly one. The error
// for another number of arguments contains expected, which describes the argument.
func singleArgument(cmd *cli.Command, expected string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", merry.Errorf("%s: have %d arguments, expected %s", cmd.Name, cmd.Args().Len(), expected)
	}
	return cmd.Args().First(), nil
}

// clientAndArgument returns a client, and the argument of a command that takes exactly
// one.
func clientAndArgument(cmd *cli.Command, expected string) (*cicadaoperate.Client, string, error) {
	client, err := newClient(cmd)
	if err != nil {
		return nil, "", err
	}
	argument, err := singleArgument(cmd, expected)
	if err != nil {
		return nil, "", err
	}
	return client, argument, nil
}

// parseReference parses the reference of a resource, such as customer/mallet-shop.
func parseReference(text string) (cicadaoperate.Reference, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || kind == "" || name == "" {
		return cicadaoperate.Reference{}, merry.Errorf("invalid resource %q, expected KIND/NAME such as customer/mallet-shop", text)
	}
	return cicadaoperate.Reference{Kind: kind, Name: name}, nil
}

// readInput reads a file, or standard input if the name is "-".
func readInput(cmd *cli.Command, name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(cmd.Root().Reader)
		if err != nil {
			return nil, merry.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, merry.Errorf("read file: %w", err)
	}
	return data, nil
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "work with API keys",
		Commands: []*cli.Command{{
			Name:  "hash",
			Usage: "read a key from standard input and print its hash, for settings and customers",
			Action: func(_ context.Context, cmd *cli.Command) error {
				data, err := io.ReadAll(io.LimitReader(cmd.Root().Reader, maxKeyBytes))
				if err != nil {
					return merry.Errorf("read key: %w", err)
				}
				key := bytes.TrimSpace(data)
				if len(key) == 0 {
					return merry.Errorf("no key on standard input")
				}
				digest := sha256.Sum256(key)
				fmt.Fprintln(cmd.Root().Writer, "sha256:"+hex.EncodeToString(digest[:]))
				return nil
			},
		}},
	}
}
