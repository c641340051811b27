package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// A record is what was sent, answered and run, in the order of time.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	w      *bufio.Writer
	broken int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// breaks records that a rule was broken.
func (r *record) breaks(rule, format string, args ...any) {
	r.add("BROKEN "+rule+": "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	if r.broken <= 10 {
		fmt.Printf("BROKEN "+rule+": "+format+"\n", args...)
	}
}

func (r *record) brokenRules() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
