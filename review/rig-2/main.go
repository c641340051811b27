// Command rig plays the cases of the second review: it starts the gateway's programs as separate
// processes, with stand-ins of the platform's store, the workers and the clients around them.
//
// # Usage
//
//	rig CASE RECORD
//
// It runs in the repository's root. It writes what was sent, answered and run to the file RECORD,
// and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// A scenario plays a case. trouble is false if the disruption is left out.
type scenario func(rec *recorder, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"zone-reclaimed": playZoneReclaimed,
	"last-retired":   playLastRetired,
	"deadly-again":   playDeadlyAgain,
	"deadly-part":    playDeadlyPart,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return 2
	}
	rec, err := openRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %t", os.Args[1], trouble)
	v, err := scenarios[os.Args[1]](rec, trouble)
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	word, code := "held", 0
	if v.broken {
		word, code = "BROKEN", 1
	}
	rec.note("rule %s: %s", word, v.text)
	fmt.Printf("rule %s: %s\n", word, v.text)
	return code
}

// A recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func openRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// note writes a line with the seconds since the start.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }

func (r *recorder) close() { _ = r.file.Close() }
