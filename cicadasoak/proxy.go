package main

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// A disturbance is what a proxy does to the bytes that pass it.
type disturbance int

const (
	undisturbed   disturbance = iota
	delayed                   // each piece comes late
	silent                    // nothing passes either way, and comes late afterwards
	answersHeld               // requests pass, answers do not
	requestsHeld              // answers pass, requests do not
	cutInEvent                // the next piece of each answer is cut and its connection reset
	answerDoubled             // an answer comes once more, at once or late
	eventDoubled              // some events come twice
	eventAgain                // some events are followed by an older one
)

const (
	maxPieceDelay  = 150 * time.Millisecond
	maxRepeatDelay = 60 * time.Millisecond
	// defaultRepeatEvery is the number of events of which one is repeated.
	defaultRepeatEvery = 8
)

// A proxy forwards connections to an endpoint, a process or the store, and disturbs them.
type proxy struct {
	ln          net.Listener
	repeatEvery int

	mu      sync.Mutex
	target  string
	now     disturbance
	changed chan struct{} // closed when now changes
	links   map[*link]bool
}

// startProxy starts a proxy in front of an address.
func startProxy(target string) (*proxy, error) { return startProxyAt("127.0.0.1:0", target) }

// startProxyAt starts a proxy at one address in front of another.
func startProxyAt(address, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Errorf("listen: %w", err)
	}
	p := &proxy{ln: ln, repeatEvery: defaultRepeatEvery, target: target, changed: make(chan struct{}), links: make(map[*link]bool)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.ln.Addr().String() }

// disturb sets what is done to all connections from now on.
func (p *proxy) disturb(d disturbance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set(d)
}

// disturbNew ends a disturbance for new connections. Those that are open pass nothing any more, and
// neither end is told.
func (p *proxy) disturbNew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.stick()
	}
	p.set(undisturbed)
}

// set sets the disturbance. The caller holds mu.
func (p *proxy) set(d disturbance) {
	p.now = d
	close(p.changed)
	p.changed = make(chan struct{})
}

// each calls f with all open links.
func (p *proxy) each(f func(*link)) {
	p.mu.Lock()
	var links []*link
	for l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		f(l)
	}
}

// passTo resets all connections and forwards new ones to another address.
func (p *proxy) passTo(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.each((*link).reset)
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.each((*link).reset)
}

// A link is a connection through a proxy.
type link struct {
	caller, endpoint net.Conn
	done             chan struct{}
	closeOnce        sync.Once

	mu      sync.Mutex
	stuck   bool   // nothing passes any more
	answer  []byte // since the last request
	event   []byte // an earlier piece of the answer
	answers int    // pieces so far
}

// forward forwards one connection.
func (p *proxy) forward(caller net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	endpoint, err := net.Dial("tcp", target)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	l := &link{caller: caller, endpoint: endpoint, done: make(chan struct{})}
	p.mu.Lock()
	p.links[l] = true
	p.mu.Unlock()
	go p.pump(l, false)
	p.pump(l, true)
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// pump passes on what arrives in a direction, until either end is closed. An end that is closed is
// noticed at the other one as late as what it has sent.
func (p *proxy) pump(l *link, answer bool) {
	defer l.close()
	from, pass := l.caller, p.passRequest
	if answer {
		from, pass = l.endpoint, p.passAnswer
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !pass(l, buf[:n]) {
			return
		}
		if err == nil {
			continue
		}
		_, _ = p.wait(l, answer)
		if !errors.Is(err, io.EOF) {
			l.reset()
		}
		return
	}
}

// wait waits while nothing may pass in a direction, and returns the disturbance afterwards. It reports
// false if the link is closed meanwhile.
func (p *proxy) wait(l *link, answer bool) (d disturbance, ok bool) {
	for {
		p.mu.Lock()
		d, changed := p.now, p.changed
		p.mu.Unlock()
		l.mu.Lock()
		stuck := l.stuck
		l.mu.Unlock()
		if !stuck && d != silent && !(d == answersHeld && answer) && !(d == requestsHeld && !answer) {
			return d, true
		}
		select {
		case <-changed:
		case <-l.done:
			return d, false
		}
	}
}

func (p *proxy) passRequest(l *link, b []byte) bool {
	if _, ok := p.wait(l, false); !ok {
		return false
	}
	l.mu.Lock()
	l.answer, l.event = nil, nil
	l.mu.Unlock()
	_, err := l.endpoint.Write(b)
	return err == nil
}

func (p *proxy) passAnswer(l *link, b []byte) bool {
	d, ok := p.wait(l, true)
	if !ok {
		return false
	}
	isEvent := bytes.Contains(b, []byte("id: ")) && bytes.HasSuffix(b, []byte("\n\n\r\n")) && !bytes.HasPrefix(b, []byte("HTTP/"))
	switch {
	case d == delayed:
		time.Sleep(rand.N(maxPieceDelay))
	case d == cutInEvent:
		l.write(b[:len(b)/2])
		l.reset()
		return false
	}
	if !l.write(b) {
		return false
	}
	if isEvent && rand.N(p.repeatEvery) == 0 {
		l.repeatEvent(d, b)
	}
	if d == answerDoubled && (bytes.HasSuffix(b, []byte("\r\n0\r\n\r\n")) || bytes.HasSuffix(b, []byte("\r\n\r\nok"))) {
		l.repeatAnswer(rand.N(maxRepeatDelay))
	}
	if isEvent {
		l.event = bytes.Clone(b)
	}
	return true
}

// write sends a piece of an answer.
func (l *link) write(b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answer = append(l.answer, b...)
	l.answers++
	_, err := l.caller.Write(b)
	return err == nil
}

func (l *link) repeatEvent(d disturbance, b []byte) {
	switch d {
	case eventDoubled:
		l.write(b)
	case eventAgain:
		l.write(l.event)
	}
}

// repeatAnswer sends the whole answer once more after a delay, unless another one has begun.
func (l *link) repeatAnswer(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, answers := l.answer, l.answers
	time.AfterFunc(delay, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.answers == answers {
			_, _ = l.caller.Write(answer)
		}
	})
}

// stick lets nothing pass any more, without closing the connection.
func (l *link) stick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stuck = true
}

func (l *link) reset() {
	_ = l.caller.(*net.TCPConn).SetLinger(0)
	_ = l.endpoint.(*net.TCPConn).SetLinger(0)
	l.close()
}

func (l *link) close() {
	l.closeOnce.Do(func() { close(l.done) })
	_ = l.caller.Close()
	_ = l.endpoint.Close()
}
