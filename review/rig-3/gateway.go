package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A process is a process of the gateway, started with the command of the deploy file.
type process struct {
	name, ip, zone, storeAt, dir, binary string
	entry                                bool
	front                                *front
	log                                  *record
	extra                                string // lines of the settings
	mu                                   sync.Mutex
	cmd                                  *exec.Cmd
	done                                 chan struct{}
	starts                               int
}

// settings are those of deploy/settings.yaml, filled in for a small deployment.
func (p *process) settings() string {
	role, listen, memory := "owner", "", "314MiB"
	if p.entry {
		role, memory = "entry", "284MiB"
		listen = fmt.Sprintf("listen: %s:8144\nready: %s:8140\n", p.ip, p.ip)
	} else {
		listen = fmt.Sprintf("data-dir: %s\n", filepath.Join(p.dir, p.name+"-data"))
	}
	return fmt.Sprintf("name: %s\nvm: %s\nrole: %s\nip: %s\ndata-centre: %s\n%speer-port: 7660\nplatform: objects://%s\nstore-writes: 400\nstore-reads: 2000\n"+
		"memory: %s\nkeep-jobs: 120s\ndrain-limit: 8s\nendpoint-removal-limit: 2000ms\n%slearn-endpoint-speed: true\nlog:\n  level: info\n  format: json\n  output: stdout\nadmin: %s:9464\n",
		p.name, p.name, role, p.ip, p.zone, listen, p.storeAt, memory, p.extra, p.ip)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.dir, p.name+".yaml")
	if err := os.WriteFile(file, []byte(p.settings()), 0o600); err != nil {
		return err
	}
	if !p.entry {
		if err := os.MkdirAll(filepath.Join(p.dir, p.name+"-data"), 0o700); err != nil {
			return err
		}
	}
	p.starts++
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "--config", file)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "CICADALINK_BOOT=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.log.add("process %s ended: %v", p.name, err)
		close(done)
	}()
	p.log.add("process %s started", p.name)
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log.add("process %s gets %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// wait waits until the process has ended, or for d.
func (p *process) wait(d time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (p *process) terminate(grace time.Duration) {
	p.signal(syscall.SIGTERM)
	if !p.wait(grace) {
		p.signal(syscall.SIGKILL)
		p.wait(time.Second)
	}
}

func (p *process) callers() string { return p.ip + ":8144" }

// ready reports whether the entry answers the balancer's probe with 200.
func (p *process) ready() bool {
	conn, err := net.DialTimeout("tcp", p.ip+":8140", 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	_, _ = fmt.Fprintf(conn, "GET /cicadalink/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	b := make([]byte, 32)
	n, _ := conn.Read(b)
	return strings.Contains(string(b[:n]), " 200 ")
}

// freeAddresses returns loopback addresses, one for each process, whose ports are free.
func freeAddresses(n int) ([]string, error) {
	for a := 1 + os.Getpid()%200; a < 250; a++ {
		var ips []string
		for i := range n {
			ip := fmt.Sprintf("127.%d.%d.%d", 90+i%20, a, 10+i)
			free := true
			for _, port := range []string{"8144", "8140", "7660", "9464"} {
				ln, err := net.Listen("tcp", net.JoinHostPort(ip, port))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
			if !free {
				break
			}
			ips = append(ips, ip)
		}
		if len(ips) == n {
			return ips, nil
		}
	}
	return nil, fmt.Errorf("no free addresses")
}
