// Package cicadakernel provides the common main function of the cicadalink programs: it
// reads the settings, sets up logging and metrics, serves /healthz, /readyz and
// /metrics, starts the program and stops it gracefully on SIGTERM or SIGINT.
//
// # Usage
//
// A program passes Command a settings value and a start function, which is called
// once the settings have been validated:
//
//	type settings struct {
//		cicadakernel.CommonSettings `yaml:",inline"`
//		Listen string `yaml:"listen"`
//	}
//
//	func main() {
//		cfg := &settings{}
//		cmd := cicadakernel.Command("cicadaecho", "echoes requests", cfg,
//			func(ctx context.Context, p *cicadakernel.Process) error {
//				p.SetReady(true)
//				<-ctx.Done()
//				return nil
//			})
//		cicadakernel.Main(cmd)
//	}
//
// Plug-ins (engine adapters, platform adapters) are kept in a Registry for each
// kind and register themselves when their package is imported.
package cicadakernel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadakernel/cicadasettings"
	"cicadalink.example/cicadakernel/cicadatask"
)

// Version is the version that every program of this repository reports.
const Version = "0.1.0"

// ExitUsage is the exit code for invalid settings or arguments.
const ExitUsage = 2

const (
	metricsInterval      = time.Second
	adminHeaderTimeout   = 10 * time.Second
	adminShutdownTimeout = 2 * time.Second
	// failureShutdownTimeout limits the shutdown after a background goroutine has failed.
	failureShutdownTimeout = 15 * time.Second
)

// CommonSettings holds the settings that all programs share.
type CommonSettings struct {
	Log LogSettings `yaml:"log"`
	// Admin is the listen address of the server for /healthz, /readyz and /metrics,
	// or empty for none.
	Admin string `yaml:"admin"`
}

// LogSettings configures the log's level, format and destination.
type LogSettings struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
	// Output is stderr (the default) or stdout. Writes to stdout are buffered and
	// never block; see LogWriter.
	Output string `yaml:"output"`
}

// Base returns the common settings of the value that embeds them.
func (c *CommonSettings) Base() *CommonSettings { return c }

// Validate checks the log settings and sets the default level and format.
func (c *CommonSettings) Validate() error {
	if c.Log.Level == "" {
		c.Log.Level = "info"
	}
	if hclog.LevelFromString(c.Log.Level) == hclog.NoLevel {
		return cicadasettings.Expected("log.level", "one of trace, debug, info, warn, error, off")
	}
	if c.Log.Format == "" {
		c.Log.Format = "text"
	}
	if c.Log.Format != "text" && c.Log.Format != "json" {
		return cicadasettings.Expected("log.format", "text or json")
	}
	if c.Log.Output != "" && c.Log.Output != "stderr" && c.Log.Output != "stdout" {
		return cicadasettings.Expected("log.output", "stdout or stderr")
	}
	return nil
}

// Settings is implemented by a pointer to a struct that embeds CommonSettings and
// validates its own fields.
type Settings interface {
	Base() *CommonSettings
	Validate() error
}

// A Process holds the logger, metrics and readiness state of a running program.
type Process struct {
	name         string
	settingsFile string
	log          hclog.Logger
	scope        tally.Scope
	metrics      http.Handler
	ready        atomic.Bool
	logWriter    *LogWriter // nil if log lines are written directly
	closers      []io.Closer
	exit         func(status int)
}

// NewProcess returns a process with logging and metrics set up. It logs to w.
func NewProcess(name string, c *CommonSettings, w io.Writer) *Process {
	reporter := tallyprom.NewReporter(tallyprom.Options{OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "cicada",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &Process{
		name: name,
		log: hclog.New(&hclog.LoggerOptions{
			Name:       name,
			Level:      hclog.LevelFromString(c.Log.Level),
			JSONFormat: c.Log.Format == "json",
			Output:     w,
		}),
		scope:   scope,
		metrics: reporter.HTTPHandler(),
		closers: []io.Closer{closer},
		exit:    os.Exit,
	}
}

// Log returns the process's logger.
func (p *Process) Log() hclog.Logger { return p.log }

// SettingsFile returns the path of the settings file, or "" if the settings were
// not read from a file.
func (p *Process) SettingsFile() string { return p.settingsFile }

// DroppedLogLines returns the number of log lines that were dropped because the
// log output was too slow.
func (p *Process) DroppedLogLines() int64 {
	if p.logWriter == nil {
		return 0
	}
	return p.logWriter.Dropped()
}

// Scope returns the root scope of the process's metrics.
func (p *Process) Scope() tally.Scope { return p.scope }

// SetReady sets whether /readyz responds with 200 or 503.
func (p *Process) SetReady(ready bool) { p.ready.Store(ready) }

// AddAdminRoutes registers /healthz, /readyz and /metrics on a router.
func (p *Process) AddAdminRoutes(router *httprouter.Router) {
	router.HandlerFunc(http.MethodGet, "/healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	router.HandlerFunc(http.MethodGet, "/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	router.Handler(http.MethodGet, "/metrics", p.metrics)
}

// Close flushes the metrics and stops reporting them.
func (p *Process) Close() error {
	var errs []error
	for _, closer := range p.closers {
		errs = append(errs, closer.Close())
	}
	return errors.Join(errs...)
}

// stopOnFailure returns a context that is done when ctx is or a background goroutine fails.
// The program then shuts down as after a signal. If that takes longer than
// failureShutdownTimeout, the process exits, so that it can be started again.
func (p *Process) stopOnFailure(ctx context.Context) (stoppable context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopHandling := cicadatask.HandleFailures(func(f *cicadatask.Failure) {
		p.scope.Tagged(map[string]string{"reason": f.Reason()}).Counter("background_failures").Inc(1)
		p.log.Error("background goroutine failed, shutting down", "reason", f.Reason(), "error", f.Error())
		p.SetReady(false)
		cancel(f)
		time.AfterFunc(failureShutdownTimeout, func() {
			p.log.Error("shutdown after failure takes too long, exiting")
			p.exit(ExitUsage)
		})
	})
	return ctx, func() {
		stopHandling()
		cancel(nil)
	}
}

func (p *Process) serveAdmin(addr string) (*http.Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, merry.Errorf("admin listener: %w", err)
	}
	router := httprouter.New()
	p.AddAdminRoutes(router)
	srv := &http.Server{Handler: router, ReadHeaderTimeout: adminHeaderTimeout}
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("admin listener failed", "error", err)
		}
	}()
	return srv, nil
}

// Command returns the command line of a program: --config names the settings
// file, --check validates it without starting, and --debug adds a stack trace to
// settings errors.
func Command(name, usage string, cfg Settings, start func(ctx context.Context, p *Process) error) *cli.Command {
	return &cli.Command{
		Name:    name,
		Usage:   usage,
		Version: Version,
		Description: "The settings file is YAML; docs/OPERATIONS.md lists its keys and examples/ holds complete files.\n" +
			"An invalid key, unit or value is reported with its file and line.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "read settings from `FILE` (YAML)", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "validate the settings and exit"},
			&cli.BoolFlag{Name: "debug", Usage: "print a stack trace with settings errors"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.String("config")
			if err := cicadasettings.Load(file, cfg); err != nil {
				return usageError(name, err, cmd.Bool("debug"))
			}
			if cmd.Bool("check") {
				fmt.Fprintf(cmd.Root().Writer, "%s: settings are valid\n", file)
				return nil
			}
			return run(ctx, name, file, cfg, start)
		},
	}
}

// usageError returns an error with exit code ExitUsage. Its message is a single
// line, followed by the stack trace if debug is set.
func usageError(name string, err error, debug bool) error {
	if debug {
		return cli.Exit(fmt.Sprintf("%s: %+v", name, err), ExitUsage)
	}
	return cli.Exit(fmt.Sprintf("%s: %v", name, err), ExitUsage)
}

func run(ctx context.Context, name, file string, cfg Settings, start func(ctx context.Context, p *Process) error) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	var out io.Writer = os.Stderr
	var logWriter *LogWriter
	if cfg.Base().Log.Output == "stdout" {
		logWriter = NewLogWriter(os.Stdout)
		defer logWriter.Close()
		out = logWriter
	}
	p := NewProcess(name, cfg.Base(), out)
	p.settingsFile, p.logWriter = file, logWriter
	ctx, stopOnFailure := p.stopOnFailure(ctx)
	defer stopOnFailure()
	if addr := cfg.Base().Admin; addr != "" {
		srv, err := p.serveAdmin(addr)
		if err != nil {
			return merry.Errorf("start admin server: %w", err)
		}
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
			defer cancel()
			_ = srv.Shutdown(ctx)
		}()
	}
	err := start(ctx, p)
	if failure := (*cicadatask.Failure)(nil); errors.As(context.Cause(ctx), &failure) {
		err = merry.Errorf("background goroutine failed: %s", failure.Reason())
	}
	if closeErr := p.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return merry.Errorf("run %s: %w", name, err)
	}
	return nil
}

// Main runs cmd with the process's arguments and exits with ExitUsage if it fails.
func Main(cmd *cli.Command) {
	err := cmd.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.Name, err)
	os.Exit(ExitUsage)
}
