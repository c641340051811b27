package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadakernel/cicadaretry"
)

// Ports of each process, at an address of its own.
const (
	callerPort = 8144
	readyPort  = 8140
	peerPort   = 7660
)

const (
	startTimeout = 20 * time.Second
	// settleTime is the time after the start in which processes learn of each other.
	settleTime = 3 * time.Second
	grace      = 8 * time.Second
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
)

// A process is a process of the gateway and what the platform knows of it.
type process struct {
	name, ip string
	entry    bool
	front    *storeFront
	storeAt  string
	// link is the way of other processes to this one, and storeLink its way to the store, if
	// connections between processes are disturbed.
	link      *peerLink
	storeLink *proxy
	// downtime is how long the process stays down after its next end, in nanoseconds, if not restartDelay.
	downtime atomic.Int64

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed when cmd has ended
	lifetime int           // number of starts
	stopped  bool          // by the deployment
}

func (p *process) callers() string { return fmt.Sprintf("%s:%d", p.ip, callerPort) }

// started returns the number of starts of the process.
func (p *process) started() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lifetime
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// terminate stops the process as the platform does.
func (p *process) terminate() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
	}
}

type deploymentConfig struct {
	gateway, template, logs    string
	entries, owners, endpoints int
	statesStart                bool      // of the endpoints
	proxied                    bool      // endpoints are reached through proxies
	linked                     bool      // processes and the store are
	customers                  *recorder // nil without customers
	customerSettings           bool      // to be added to the template
}

// A deployment is the processes of the gateway and what surrounds them.
type deployment struct {
	cfg       deploymentConfig
	log       hclog.Logger
	dir       string
	network   network
	template  string
	store     *store
	entries   []*process
	owners    []*process
	mu        sync.Mutex // guards endpoints and servers
	endpoints []*endpoint
	servers   []*http.Server
	// heartbeats end with the incarnations that send them.
	heartbeats sync.WaitGroup
}

// startDeployment starts a store, endpoints and processes, and waits until the entries are
// ready. Each process has an address and a front of the store of its own.
func startDeployment(ctx context.Context, cfg deploymentConfig, log hclog.Logger) (*deployment, error) {
	template, err := os.ReadFile(cfg.template)
	if err != nil {
		return nil, merry.Errorf("read template: %w", err)
	}
	dir, err := os.MkdirTemp("", "cicadasoak-")
	if err != nil {
		return nil, merry.Errorf("make directory: %w", err)
	}
	d := &deployment{cfg: cfg, log: log, dir: dir, template: string(template), store: newStore()}
	if err := d.startAll(ctx); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) startAll(ctx context.Context) error {
	d.setConfig(1)
	if err := d.release("v1", d.cfg.endpoints); err != nil {
		return err
	}
	var err error
	if d.network, err = claimNetwork(os.Getpid(), d.cfg.entries+d.cfg.owners, listenTCP); err != nil {
		return err
	}
	for i := range d.cfg.entries + d.cfg.owners {
		p := &process{name: fmt.Sprintf("entry-%d", i+1), ip: d.network.ip(i + 1), entry: i < d.cfg.entries, front: &storeFront{store: d.store}}
		if p.entry {
			d.entries = append(d.entries, p)
		} else {
			p.name = fmt.Sprintf("owner-%d", i+1-d.cfg.entries)
			d.owners = append(d.owners, p)
		}
		if err := d.serveStore(p); err != nil {
			return err
		}
		if err := d.linkProcess(p, i+1); err != nil {
			return err
		}
		if err := d.start(p); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

func (d *deployment) processes() []*process {
	return append(append([]*process(nil), d.entries...), d.owners...)
}

func (d *deployment) serveStore(p *process) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return merry.Errorf("listen for store: %w", err)
	}
	p.storeAt = ln.Addr().String()
	server := &http.Server{Handler: p.front}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(ln) }() // ends with stop
	return nil
}

// linkProcess puts proxies between a process and the others, and between it and the store.
func (d *deployment) linkProcess(p *process, host int) (err error) {
	if !d.cfg.linked {
		return nil
	}
	if p.link, err = startPeerLink(d.network.address(linkHosts+host, peerPort), d.network.address(host, peerPort)); err != nil {
		return err
	}
	if p.storeLink, err = startProxy(p.storeAt); err != nil {
		return err
	}
	p.storeAt = p.storeLink.address()
	return nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([.\w]+)\}\}(.*?)\{\{/[.\w]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{[.\w]+\}\}`)
)

// customerFields are the fields of the template that a deployment with customers has.
var customerFields = map[string]string{
	"Bounds.StrictRevoke": "true", "Bounds.RevokeMs": fmt.Sprint(revocationLimit.Milliseconds()),
	"Bounds.QuotaWindowS": fmt.Sprint(quotaWindow.Seconds()), "Bounds.QuotaOverage": fmt.Sprint(quotaOverage), "Bounds.QuotaSlack": fmt.Sprint(quotaSlack),
}

// customerSettings are appended to a template without the settings of customers.
const customerSettings = `
revocation-limit: {{Bounds.RevokeMs}}ms
quota-slack: {{Bounds.QuotaSlack}}
`

// settings fills in the template of the settings, as the platform does.
func (d *deployment) settings(p *process) string {
	fields := map[string]string{
		"Node": p.name, "Ip": p.ip, "Zone": "z-a", "PortRange.0": fmt.Sprint(peerPort), "Platform.Addr": p.storeAt, "Platform.WritesPerS": "400",
		"Platform.ReadsPerS": "2000", "Limits.MemoryMb": "284", "Bounds.StatusS": "120", "Bounds.GraceS": fmt.Sprint(grace.Seconds()),
	}
	if p.entry {
		fields["Listen.Front"], fields["Listen.Ready"] = p.callers(), fmt.Sprintf("%s:%d", p.ip, readyPort)
	} else {
		fields["DataDir"] = filepath.Join(d.dir, p.name+".data")
	}
	template := d.template
	if p.link != nil {
		template += "advertise-ip: " + p.link.ip() + "\n"
	}
	if d.cfg.customers != nil {
		maps.Copy(fields, customerFields)
		if d.cfg.customerSettings {
			template += customerSettings
		}
	}
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, present := fields[m[2]]; present == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return fields[strings.Trim(s, "{}")] })
}

// start starts a process, and starts it again whenever it has ended.
func (d *deployment) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	settings := filepath.Join(d.dir, p.name+".yaml")
	if err := os.WriteFile(settings, []byte(d.settings(p)), 0o600); err != nil {
		return merry.Errorf("write settings: %w", err)
	}
	if err := os.MkdirAll(filepath.Join(d.dir, p.name+".data"), 0o700); err != nil {
		return merry.Errorf("make data directory: %w", err)
	}
	output, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return merry.Errorf("open log: %w", err)
	}
	defer output.Close()
	cmd := exec.Command(d.cfg.gateway, "--config", settings)
	cmd.Stdout, cmd.Stderr = output, output
	done := make(chan struct{})
	if err := cmd.Start(); err != nil {
		return merry.Errorf("start process: %w", err)
	}
	p.cmd, p.done = cmd, done
	p.lifetime++
	go func() {
		_ = cmd.Wait()
		close(done)
		time.Sleep(cmp.Or(time.Duration(p.downtime.Swap(0)), restartDelay))
		if err := d.start(p); err != nil {
			d.log.Error("failed to start process again", "process", p.name, "error", err)
		}
	}()
	return nil
}

func (d *deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.waitEntries(ctx); err != nil {
		return err
	}
	cicadaretry.Sleep(ctx, settleTime)
	return nil
}

// waitEntries waits until all entries are ready.
func (d *deployment) waitEntries(ctx context.Context) error {
	for _, p := range d.entries {
		for !p.ready(ctx) {
			if !cicadaretry.Sleep(ctx, 50*time.Millisecond) {
				return merry.Errorf("%s is not ready after %s", p.name, startTimeout)
			}
		}
	}
	return nil
}

// ready asks the process as the balancer does.
func (p *process) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/cicadalink/ready", p.ip, readyPort), nil)
	if err != nil {
		return false
	}
	res, err := (&http.Client{Timeout: time.Second}).Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// observers returns the functions that are called with each request that endpoints run.
func (d *deployment) observers() []observer {
	if d.cfg.customers == nil {
		return nil
	}
	return []observer{d.cfg.customers.recordArrival}
}

// release starts n endpoints of a version and registers them.
func (d *deployment) release(version string, n int) error {
	for i := range n {
		e, err := startEndpoint(fmt.Sprintf("%s-%d", version, i), version, d.cfg.statesStart, d.observers()...)
		if err != nil {
			return merry.Errorf("start endpoint: %w", err)
		}
		if d.cfg.proxied {
			p, err := startProxy(e.address)
			if err != nil {
				return merry.Errorf("start proxy: %w", err)
			}
			e.putBehind(p)
		}
		d.mu.Lock()
		d.endpoints = append(d.endpoints, e)
		d.mu.Unlock()
		d.register(e.incarnation(), "ready")
	}
	return nil
}

// register writes what an incarnation of an endpoint reports to the store.
func (d *deployment) register(i *incarnation, state string) {
	d.store.put("servers", i.id, i.registration(state))
}

// stop ends all processes that the deployment has started, and keeps their logs if wanted.
func (d *deployment) stop() {
	for _, p := range d.processes() {
		p.mu.Lock()
		p.stopped = true
		cmd, done := p.cmd, p.done
		p.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-done
		}
		p.closeLinks()
	}
	d.network.release()
	for _, server := range d.servers {
		_ = server.Close()
	}
	for _, e := range d.endpoints {
		e.crash()
	}
	d.heartbeats.Wait()
	if d.cfg.logs != "" {
		if err := os.CopyFS(filepath.Join(d.cfg.logs, filepath.Base(d.dir)), os.DirFS(d.dir)); err != nil {
			d.log.Error("failed to keep logs", "error", err)
		}
	}
	_ = os.RemoveAll(d.dir)
}
