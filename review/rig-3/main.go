// Rig-3 starts processes of the gateway, surrounds them with stand-ins of the platform's store, the model
// workers and the clients, and plays one case of the review. It exits with 1 if a rule was broken, with 0 if
// all held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// A rig is what a case is played on.
type rig struct {
	log     *record
	store   *store
	dir     string
	binary  string
	trouble bool
	entries []*process
	owners  []*process
	client  *client
}

const (
	longestRun = 110 * time.Second
	exitNotRun = 2
)

var cases = map[string]func(*rig) error{
	"shorter-output": (*rig).shorterOutput,
	"missed-end":     (*rig).missedEnd,
}

func main() {
	name := flag.String("case", "", "case to play")
	binary := flag.String("gateway", "", "program of the gateway")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	os.Exit(run(*name, *binary, *recordFile, *keep))
}

func run(name, binary, recordFile string, keep bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return 2
	}
	log, err := newRecord(recordFile)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer log.close()
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if keep {
		fmt.Println("folder:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	binary, err = filepath.Abs(binary)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	r := &rig{log: log, store: newStore(), dir: dir, binary: binary, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.stop()
	watchdog := time.AfterFunc(longestRun, func() {
		log.add("the case takes too long")
		r.stop()
		log.close()
		_ = os.RemoveAll(dir)
		fmt.Println("the case takes too long")
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	if err := play(r); err != nil {
		fmt.Println("the case could not run:", err)
		log.add("the case could not run: %v", err)
		return 2
	}
	if n := log.brokenRules(); n > 0 {
		fmt.Println("broken:", n)
		return 1
	}
	fmt.Println("held")
	return 0
}

// start starts owners and entries and waits until the entries are ready.
func (r *rig) start(entries, owners int, extra string) error {
	ips, err := freeAddresses(entries + owners)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		front, at, err := r.store.listen("127.0.0.1")
		if err != nil {
			return err
		}
		p := &process{ip: ip, zone: "zone-a", front: front, storeAt: at, dir: r.dir, binary: r.binary, log: r.log, extra: extra}
		if i < owners {
			p.name = fmt.Sprintf("store-a-%d", i+1)
			r.owners = append(r.owners, p)
		} else {
			p.name, p.entry = fmt.Sprintf("front-a-%d", i-owners+1), true
			r.entries = append(r.entries, p)
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	r.client = newClient(r.entries, r.log)
	for deadline := time.Now().Add(15 * time.Second); ; {
		ready := 0
		for _, p := range r.entries {
			if p.ready() {
				ready++
			}
		}
		if ready == len(r.entries) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the entries are not ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second) // until the processes know each other
	return nil
}

func (r *rig) stop() {
	for _, p := range append(r.entries, r.owners...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
			p.wait(2 * time.Second)
		}
	}
}

// configure writes the operator's configuration.
func (r *rig) configure(version int) {
	r.store.set("config", "main", map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{"Name": "r-draft", "Host": host, "Prefix": "/draft/", "Kind": "stream", "TimeoutMs": 5000, "GoalMs": 300, "Priority": 0, "Service": "assistant", "Attempts": 1, "Sticky": true, "CanResume": false, "GapAimMs": 400},
			map[string]any{"Name": "r-note", "Host": host, "Prefix": "/note/", "Kind": "stream", "TimeoutMs": 5000, "GoalMs": 300, "Priority": 0, "Service": "assistant", "Attempts": 2, "Sticky": true, "CanResume": true, "GapAimMs": 400},
			map[string]any{"Name": "r-cards", "Host": host, "Prefix": "/cards/", "Kind": "batch", "TimeoutMs": 15000, "GoalMs": 400, "DueMs": 18000, "MaxWaitS": 60, "Priority": 2, "Service": "assistant", "Attempts": 3, "Sticky": true, "CanResume": true, "GapAimMs": 400},
			map[string]any{"Name": "r-record", "Host": host, "Prefix": "/record/", "Kind": "safe", "TimeoutMs": 3000, "GoalMs": 300, "Priority": 2, "Service": "ledger", "Attempts": 2},
			map[string]any{"Name": "r-order", "Host": host, "Prefix": "/order/", "Kind": "unsafe", "TimeoutMs": 3000, "GoalMs": 300, "Priority": 2, "Service": "ledger", "Attempts": 2},
		},
		"Services": []any{
			map[string]any{"Name": "assistant", "HealthPath": "/health", "MaxConns": 180, "Protocol": "h1", "Tls": false, "Engine": map[string]any{"Slots": 8, "KvCapTokens": 147261}},
			map[string]any{"Name": "ledger", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	r.log.add("configuration version %d written", version)
}
