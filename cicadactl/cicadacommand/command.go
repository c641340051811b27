// Package cicadacommand is the command line of cicadactl.
//
// # Usage
//
//	err := cicadacommand.New().Run(ctx, []string{"cicadactl", "status"})
//
// Commands write what was asked for to the command's Writer, and progress to
// its ErrWriter. An error is returned, not printed.
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
	maxKeyInput   = 4096
)

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "cicadactl",
		Usage:                 "operate a cicadalink deployment",
		Version:               cicadakernel.Version,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "server", Value: defaultServer, Sources: cli.EnvVars("CICADA_SERVER"), Usage: "base `URL` of an entry"},
			&cli.StringFlag{Name: "key", Sources: cli.EnvVars("CICADA_KEY"), Usage: "operator's or caller's `KEY`"},
			&cli.StringFlag{Name: "tls-authority", Usage: "PEM `FILE` of the authority that signed the entry's certificate"},
			&cli.StringFlag{Name: "tls-certificate", Usage: "PEM `FILE` of this client's certificate"},
			&cli.StringFlag{Name: "tls-key", Usage: "PEM `FILE` of this client's key"},
		},
		Commands: []*cli.Command{
			applyCommand(), diffCommand(), getCommand(), deleteCommand(),
			historyCommand(), auditCommand(), rollBackCommand(),
			statusCommand(), vmCommand(), jobCommand(), keyCommand(), explainCommand(),
		},
	}
}

func clientOf(cmd *cli.Command) (*cicadaoperate.Client, error) {
	secure := cicadasettings.TLS{
		Certificate: cmd.String("tls-certificate"), Key: cmd.String("tls-key"), Authority: cmd.String("tls-authority"),
	}
	var opts []cicadaoperate.ClientOption
	if secure.Certificate != "" || secure.Authority != "" {
		cfg, err := secure.Client()
		if err != nil {
			return nil, merry.Errorf("set up TLS: %w", err)
		}
		opts = append(opts, cicadaoperate.WithTLS(cfg))
	}
	return cicadaoperate.NewClient(cmd.String("server"), cmd.String("key"), opts...), nil
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT`: table, json or yaml", Validator: func(s string) error {
		if s != "table" && s != "json" && s != "yaml" {
			return merry.Errorf("expected table, json or yaml, have %q", s)
		}
		return nil
	}}
}

// write writes v as JSON or YAML, or calls table.
func write(cmd *cli.Command, v any, table func(w io.Writer) error) error {
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
	return table(w)
}

// one returns the only argument of a command.
func one(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", merry.Errorf("%s: expected %s", cmd.Name, what)
	}
	return cmd.Args().First(), nil
}

// clientAndArgument returns the client and the only argument of a command.
func clientAndArgument(cmd *cli.Command, what string) (*cicadaoperate.Client, string, error) {
	client, err := clientOf(cmd)
	if err != nil {
		return nil, "", err
	}
	argument, err := one(cmd, what)
	if err != nil {
		return nil, "", err
	}
	return client, argument, nil
}

// referenceOf splits an argument such as customer/mallet-shop.
func referenceOf(text string) (cicadaoperate.Reference, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok || kind == "" || name == "" {
		return cicadaoperate.Reference{}, merry.Errorf("expected KIND/NAME such as customer/mallet-shop, have %q", text)
	}
	return cicadaoperate.Reference{Kind: kind, Name: name}, nil
}

func readFile(cmd *cli.Command, name string) ([]byte, error) {
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
		Usage: "work with keys",
		Commands: []*cli.Command{{
			Name:  "hash",
			Usage: "print the hash of a key read from standard input, for settings and customers",
			Action: func(_ context.Context, cmd *cli.Command) error {
				data, err := io.ReadAll(io.LimitReader(cmd.Root().Reader, maxKeyInput))
				if err != nil {
					return merry.Errorf("read key: %w", err)
				}
				key := bytes.TrimSpace(data)
				if len(key) == 0 {
					return merry.Errorf("expected a key on standard input")
				}
				sum := sha256.Sum256(key)
				fmt.Fprintln(cmd.Root().Writer, "sha256:"+hex.EncodeToString(sum[:]))
				return nil
			},
		}},
	}
}
