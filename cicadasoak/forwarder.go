package main

import (
	"errors"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
)

const maxDatagramSize = 64 << 10

// A forwarder forwards datagrams to a process, and drops some. The sender of one that is forwarded is
// the forwarder; processes name themselves within their messages.
type forwarder struct {
	conn   *net.UDPConn
	target *net.UDPAddr

	mu      sync.Mutex
	all     int            // faults that drop all
	senders map[string]int // by IP address, faults that drop what it sends
}

// startForwarder starts a forwarder at one address in front of another.
func startForwarder(address, target string) (*forwarder, error) {
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, merry.Errorf("resolve target: %w", err)
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, merry.Errorf("resolve address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, merry.Errorf("listen: %w", err)
	}
	f := &forwarder{conn: conn, target: to, senders: make(map[string]int)}
	go f.forward() // ends with close
	return f, nil
}

func (f *forwarder) forward() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, from, err := f.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil && f.passes(from.IP.String()) {
			_, _ = f.conn.WriteToUDP(buf[:n], f.target) // the process may be down
		}
	}
}

// passes reports whether a datagram from an IP address is forwarded.
func (f *forwarder) passes(from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all == 0 && f.senders[from] == 0
}

// dropAll drops all datagrams until undo is called.
func (f *forwarder) dropAll() (undo func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.all--
	}
}

// dropFrom drops the datagrams of an IP address until undo is called.
func (f *forwarder) dropFrom(ip string) (undo func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders[ip]++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.senders[ip]--
	}
}

func (f *forwarder) close() { _ = f.conn.Close() }

// A peerLink is the way of other processes to one process, at the address that it advertises.
type peerLink struct {
	tcp *proxy
	udp *forwarder
}

// startPeerLink starts a proxy and a forwarder at one address in front of another.
func startPeerLink(address, target string) (*peerLink, error) {
	tcp, err := startProxyAt(address, target)
	if err != nil {
		return nil, err
	}
	udp, err := startForwarder(tcp.address(), target)
	if err != nil {
		tcp.close()
		return nil, err
	}
	return &peerLink{tcp: tcp, udp: udp}, nil
}

// ip returns the IP address that the process advertises.
func (l *peerLink) ip() string { return l.tcp.ln.Addr().(*net.TCPAddr).IP.String() }

func (l *peerLink) close() {
	l.tcp.close()
	l.udp.close()
}

// closeLinks closes what stands between the process, the others and the store.
func (p *process) closeLinks() {
	if p.link != nil {
		p.link.close()
	}
	if p.storeLink != nil {
		p.storeLink.close()
	}
}
