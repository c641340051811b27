package cicadacommand

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// minCheckScripts is how many scripts there are at least, so that a wrong pattern is noticed.
const minCheckScripts = 15

// TestCheck runs the scripts in testdata/check. Each archive holds the arguments of cicadactl check,
// the files that they name, the expected exit code, and the expected output or, if the command cannot
// read a file, its error. It guards against mistakes that are not reported, or reported at the wrong field.
func TestCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= minCheckScripts, "%d scripts", len(files))
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { runCheckScript(t, archive) })
	}
}

func runCheckScript(t *testing.T, archive *txtar.Archive) {
	t.Chdir(t.TempDir())
	text := make(map[string]string)
	for _, f := range archive.Files {
		text[f.Name] = string(f.Data)
		assert.NilError(t, os.WriteFile(f.Name, f.Data, 0o600))
	}
	output, code := runCheck(strings.Fields(text["args"]))
	assert.Equal(t, strconv.Itoa(code), strings.TrimSpace(text["exit"]))
	assert.Equal(t, output, text["output"])
	for key := range strings.FieldsSeq(text["keys"]) {
		assert.Assert(t, !strings.Contains(output, key), "the output contains a key")
	}
}

// runCheck returns what a check writes, or its error, and its exit code.
func runCheck(args []string) (output string, code int) {
	var out strings.Builder
	cmd := New()
	cmd.Writer, cmd.ErrWriter = &out, &out
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := cmd.Run(context.Background(), append([]string{"cicadactl", "check"}, args...))
	if err == nil {
		return out.String(), 0
	}
	var exit cli.ExitCoder
	if !errors.As(err, &exit) {
		return err.Error(), -1
	}
	if message := err.Error(); message != "" {
		out.WriteString(message + "\n")
	}
	return out.String(), exit.ExitCode()
}
