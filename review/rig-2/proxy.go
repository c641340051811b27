package main

import (
	"net"
	"sync"
)

// A proxy forwards connections, and can let the open ones fall silent.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	links map[*link]bool
}

// A link is a connection through a proxy.
type link struct {
	caller, target net.Conn
	silent         chan struct{} // closed when nothing passes any more
	once           sync.Once
}

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &proxy{ln: ln, target: target, links: make(map[*link]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go x.forward(c)
		}
	}()
	return x, nil
}

func (x *proxy) address() string { return x.ln.Addr().String() }

func (x *proxy) forward(caller net.Conn) {
	target, err := net.Dial("tcp", x.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	l := &link{caller: caller, target: target, silent: make(chan struct{})}
	x.mu.Lock()
	x.links[l] = true
	x.mu.Unlock()
	go l.pump(caller, target)
	l.pump(target, caller)
	x.mu.Lock()
	delete(x.links, l)
	x.mu.Unlock()
}

// pump passes on bytes until an end closes. A silent link stays open at both ends and passes nothing.
func (l *link) pump(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-l.silent:
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

// silence lets all open links fall silent for good. New ones work.
func (x *proxy) silence() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for l := range x.links {
		l.once.Do(func() { close(l.silent) })
	}
}

func (x *proxy) close() {
	_ = x.ln.Close()
	x.mu.Lock()
	defer x.mu.Unlock()
	for l := range x.links {
		_ = l.caller.Close()
		_ = l.target.Close()
	}
}
