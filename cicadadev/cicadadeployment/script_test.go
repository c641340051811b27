package cicadadeployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadactl/cicadacommand"
)

// TestScripts runs the scripts in testdata, each against its own in-process
// deployment.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			d, err := Start(context.Background(), WithEntries(2), WithEngines(2))
			if err != nil {
				return err
			}
			env.Defer(d.Close)
			env.Values["deployment"] = d
			env.Setenv("URL", d.EntryURL(0))
			env.Setenv("URL2", d.EntryURL(1))
			env.Setenv("CALLER", CallerKey)
			env.Setenv("OPERATOR", OperatorKey)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ctl":    runCtl,
			"http":   runHTTP,
			"upload": runUpload,
			"orders": checkOrders,
		},
	})
}

// checkOutcome fails the script if a command did not succeed or, with an exclamation mark
// before the command, did not fail.
func checkOutcome(ts *testscript.TestScript, neg bool, err error) {
	if err == nil && neg {
		ts.Fatalf("command succeeded, but was expected to fail")
	}
	if err != nil && !neg {
		ts.Fatalf("command failed: %v", err)
	}
}

// runCtl runs cicadactl with a fixed standard input: ctl KEY ARGS...
func runCtl(ts *testscript.TestScript, neg bool, args []string) {
	cmd := cicadacommand.New()
	cmd.Writer, cmd.ErrWriter, cmd.Reader = ts.Stdout(), ts.Stderr(), strings.NewReader("secret\n")
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	fullArgs := []string{"cicadactl", "--server", ts.Getenv("URL"), "--key", args[0]}
	for _, arg := range args[1:] {
		if strings.HasSuffix(arg, ".yaml") || strings.HasSuffix(arg, ".jsonl") {
			arg = ts.MkAbs(arg)
		}
		fullArgs = append(fullArgs, arg)
	}
	err := cmd.Run(context.Background(), fullArgs)
	if err != nil {
		fmt.Fprintln(ts.Stderr(), err)
	}
	checkOutcome(ts, neg, err)
}

// runHTTP sends a request: http KEY METHOD URL [-h HEADER]... [BODY or @FILE].
// KEY none sends the request without a key. The command prints the status, headers and
// body of the response, and fails if the status is 400 or higher.
func runHTTP(ts *testscript.TestScript, neg bool, args []string) {
	key, method, url := args[0], args[1], args[2]
	headers := http.Header{}
	var body string
	for rest := args[3:]; len(rest) > 0; rest = rest[1:] {
		if rest[0] == "-h" {
			name, value, _ := strings.Cut(rest[1], ": ")
			headers.Set(name, value)
			rest = rest[1:]
			continue
		}
		body = rest[0]
		if name, ok := strings.CutPrefix(body, "@"); ok {
			body = ts.ReadFile(name)
		}
	}
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	ts.Check(err)
	req.Header = headers
	if key != "none" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	send(ts, neg, req)
}

func send(ts *testscript.TestScript, neg bool, req *http.Request) {
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer res.Body.Close()
	fmt.Fprintf(ts.Stdout(), "status %d\n", res.StatusCode)
	_ = res.Header.Write(ts.Stdout())
	_, err = io.Copy(ts.Stdout(), res.Body)
	if err == nil && res.StatusCode >= http.StatusBadRequest {
		err = errors.New(res.Status)
	}
	checkOutcome(ts, neg, err)
}

// runUpload uploads a file: upload KEY URL FILE.
func runUpload(ts *testscript.TestScript, neg bool, args []string) {
	var body strings.Builder
	form := multipart.NewWriter(&body)
	ts.Check(form.WriteField("purpose", "batch"))
	part, err := form.CreateFormFile("file", args[2])
	ts.Check(err)
	data, err := os.ReadFile(ts.MkAbs(args[2]))
	ts.Check(err)
	_, err = part.Write(data)
	ts.Check(err)
	ts.Check(form.Close())
	req, err := http.NewRequest(http.MethodPost, args[1]+"/v1/files", strings.NewReader(body.String()))
	ts.Check(err)
	req.Header.Set("Content-Type", form.FormDataContentType())
	req.Header.Set("Authorization", "Bearer "+args[0])
	send(ts, neg, req)
}

// checkOrders checks the number of orders in the ledger: orders N.
func checkOrders(ts *testscript.TestScript, _ bool, args []string) {
	d := ts.Value("deployment").(*Deployment)
	if have := fmt.Sprint(d.Ledger().Orders()); have != args[0] {
		ts.Fatalf("ledger has %s orders, expected %s", have, args[0])
	}
}

func TestDeploymentStopsGracefully(t *testing.T) {
	d, err := Start(context.Background(), WithEntries(1), WithEngines(1))
	assert.NilError(t, err)
	assert.NilError(t, d.StopEntry(0))
	assert.NilError(t, d.StopAgent(0))
	d.entries[0].done <- nil
	d.agents[0].done <- nil
	d.Close()
}
