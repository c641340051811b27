package cicadakernel

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadasettings"
	"cicadalink.example/cicadakernel/cicadatask"
)

// TestProgramEndsWhenGoroutineFails guards against a program that lives on, as if nothing had
// happened, without one of its goroutines.
func TestProgramEndsWhenGoroutineFails(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("role: entry\n"), 0o600))
	ready := true
	cmd := Command("cicadatest", "test", &testSettings{}, func(ctx context.Context, p *Process) error {
		p.SetReady(true)
		var tasks cicadatask.Group
		tasks.Go(func() { panic("lost its state") })
		<-ctx.Done() // shuts down as after a signal
		ready = p.ready.Load()
		return nil
	})
	err := cmd.Run(t.Context(), []string{"cicadatest", "--config", file})
	assert.ErrorContains(t, err, "background goroutine failed: panic")
	assert.Assert(t, !ready)
}

// TestProgramThatCannotShutDownExits guards against a program that a failed goroutine keeps
// from shutting down.
func TestProgramThatCannotShutDownExits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		p := NewProcess("cicadatest", &CommonSettings{}, &output)
		var exited atomic.Int64
		p.exit = func(code int) { exited.Store(int64(code)) }
		ctx, stop := p.stopOnFailure(t.Context())
		defer stop()
		var tasks cicadatask.Group
		tasks.Go(func() { panic("lost its state") })
		<-ctx.Done()
		time.Sleep(failureShutdownTimeout - time.Second)
		assert.Equal(t, exited.Load(), int64(0))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, exited.Load(), int64(ExitUsage))
		assert.NilError(t, p.Close())
		assert.Equal(t, strings.Count(output.String(), "lost its state"), 1, output.String())
	})
}

type testSettings struct {
	CommonSettings `yaml:",inline"`
	Role           string `yaml:"role"`
}

func (s *testSettings) Validate() error {
	if s.Role != "entry" {
		return cicadasettings.Expected("role", "entry")
	}
	return s.CommonSettings.Validate()
}

// runCommand runs a test program with the given arguments and returns its output
// and exit status.
func runCommand(t *testing.T, args ...string) (output string, status int) {
	t.Helper()
	var text bytes.Buffer
	exiter, errors := cli.OsExiter, cli.ErrWriter
	cli.OsExiter, cli.ErrWriter = func(code int) { status = code }, &text
	defer func() { cli.OsExiter, cli.ErrWriter = exiter, errors }()
	cmd := Command("cicadatest", "test", &testSettings{}, func(context.Context, *Process) error { return nil })
	cmd.Writer, cmd.ErrWriter = &text, &text
	_ = cmd.Run(t.Context(), append([]string{"cicadatest"}, args...))
	return text.String(), status
}

func TestSettingsErrorIsOneLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("log:\n  level: info\nrole: both\n"), 0o600))
	output, status := runCommand(t, "--config", file)
	assert.Equal(t, status, ExitUsage)
	assert.Equal(t, output, "cicadatest: invalid settings: "+file+":3: key role: expected entry\n")
	output, status = runCommand(t, "--config", file, "--debug")
	assert.Equal(t, status, ExitUsage)
	assert.Assert(t, strings.Count(output, "\n") > 3, "expected a stack trace: %s", output)
	output, status = runCommand(t, "--config", file+".none")
	assert.Equal(t, status, ExitUsage)
	assert.Equal(t, strings.Count(output, "\n"), 1, "%s", output)
	assert.NilError(t, os.WriteFile(file, []byte("role: entry\n"), 0o600))
	output, status = runCommand(t, "--config", file, "--check")
	assert.Equal(t, status, 0)
	assert.Equal(t, output, file+": settings are valid\n")
}
