package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of each gateway process, at a loopback address of its own.
const (
	callerPort = 8144
	readyPort  = 8140
	peerPort   = 7660
	adminPort  = 9464
)

// Bounds of the deployment: those of the sheets in SYSTEM.md.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	graceTime   = 8 * time.Second
)

// A process is a gateway process.
type process struct {
	name, ip string
	entry    bool
	storeAt  string
	cmd      *exec.Cmd
	done     chan struct{}
	out      *os.File
}

func (p *process) callers() string { return fmt.Sprintf("%s:%d", p.ip, callerPort) }

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([.\w]+)\}\}(.*?)\{\{/[.\w]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{[.\w]+\}\}`)
)

// settings fills in deploy/settings.yaml as the platform does.
func (p *process) settings(template, dir string) string {
	fields := map[string]string{
		"Node": p.name, "Ip": p.ip, "Zone": "z-a", "PortRange.0": fmt.Sprint(peerPort), "Platform.Addr": p.storeAt,
		"Platform.WritesPerS": "400", "Platform.ReadsPerS": "2000", "Limits.MemoryMb": "284", "Bounds.StatusS": "120",
		"Bounds.GraceS": fmt.Sprint(graceTime.Seconds()),
	}
	if p.entry {
		fields["Listen.Front"], fields["Listen.Ready"] = p.callers(), fmt.Sprintf("%s:%d", p.ip, readyPort)
	} else {
		fields["DataDir"] = filepath.Join(dir, p.name+".data")
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

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork(n int) (string, error) {
	for try := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+try)%128, 1+(os.Getpid()/128+try)%250)
		if networkIsFree(prefix, n) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func networkIsFree(prefix string, n int) bool {
	for i := 1; i <= n; i++ {
		for _, port := range []int{callerPort, readyPort, peerPort, adminPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, i, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// A deployment is the gateway's processes with the stand-ins around them.
type deployment struct {
	rec     *recorder
	store   *store
	fleet   *fleet
	dir     string
	entries []*process
	owners  []*process
}

// startDeployment starts the store, and the processes once prepare has written the configuration and
// started the workers.
func startDeployment(rec *recorder, entries, owners int, prepare func(d *deployment) error) (*deployment, error) {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir}
	if d.store, err = startStore(); err != nil {
		return d, err
	}
	d.fleet = &fleet{store: d.store, rec: rec}
	if err := prepare(d); err != nil {
		return d, err
	}
	prefix, err := freeNetwork(entries + owners)
	if err != nil {
		return d, err
	}
	for i := range entries + owners {
		p := &process{name: fmt.Sprintf("front-z-a-%d", i+1), ip: fmt.Sprintf("%s.%d", prefix, i+1), entry: i < entries, storeAt: d.store.address()}
		if p.entry {
			d.entries = append(d.entries, p)
		} else {
			p.name = fmt.Sprintf("store-z-a-%d", i+1-entries)
			d.owners = append(d.owners, p)
		}
		if err := d.startProcess(p, string(template)); err != nil {
			return d, err
		}
	}
	return d, d.waitReady()
}

func (d *deployment) startProcess(p *process, template string) error {
	file := filepath.Join(d.dir, p.name+".yaml")
	if err := os.WriteFile(file, []byte(p.settings(template, d.dir)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(d.dir, p.name+".data"), 0o700); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cicadagateway", "--config", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p.cmd, p.out, p.done = cmd, out, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	d.rec.note("process %s starts at %s", p.name, p.ip)
	return nil
}

// waitReady waits until all entries are ready, and until all processes have been in touch.
func (d *deployment) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(15 * time.Second)
	for _, p := range d.entries {
		for {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			res, err := client.Get(fmt.Sprintf("http://%s:%d/cicadalink/ready", p.ip, readyPort))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime + time.Second)
	return nil
}

// stop ends all that was started.
func (d *deployment) stop() {
	for _, p := range append(append([]*process(nil), d.entries...), d.owners...) {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.out.Close()
	}
	if d.fleet != nil {
		d.fleet.stopAll()
	}
	if d.store != nil {
		_ = d.store.srv.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.dir))
	}
	_ = os.RemoveAll(d.dir)
}

// config writes a configuration with the given routes and the services that they use.
func (d *deployment) config(version int, routes ...map[string]any) time.Time {
	seen := make(map[string]bool)
	var services []any
	for _, r := range routes {
		name, _ := r["Service"].(string)
		if !seen[name] {
			seen[name] = true
			services = append(services, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 180, "Protocol": "h1", "Tls": false})
		}
	}
	at := d.store.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	d.rec.note("configuration %d is acknowledged", version)
	return at
}

const host = "desk.example"

func route(name, prefix, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": 5000, "GoalMs": 300, "Priority": 0, "Service": service, "Attempts": 1}
	for k, v := range extra {
		r[k] = v
	}
	return r
}
