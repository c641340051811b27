package main

import (
	"io"
	"net"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// greeting is what an echo server sends first.
const greeting = "hello"

// echoServer accepts connections, greets, and sends back what it receives. What it receives is sent to
// the returned channel too.
func echoServer(t *testing.T) (address string, received chan string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	received = make(chan string, 100)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go echo(conn, received)
		}
	}()
	return ln.Addr().String(), received
}

func echo(conn net.Conn, received chan<- string) {
	defer conn.Close()
	_, _ = io.WriteString(conn, greeting)
	buf := make([]byte, 100)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		received <- string(buf[:n])
		_, _ = conn.Write(buf[:n])
	}
}

// echoProxy returns a proxy in front of an echo server.
func echoProxy(t *testing.T) (p *proxy, received chan string) {
	address, received := echoServer(t)
	p, err := startProxy(address)
	assert.NilError(t, err)
	t.Cleanup(p.close)
	return p, received
}

func (p *proxy) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func write(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

func expect(t *testing.T, conn net.Conn, text string) {
	buf := make([]byte, len(text))
	_, err := io.ReadFull(conn, buf)
	assert.NilError(t, err)
	assert.Equal(t, string(buf), text)
}

// links returns the number of open links, and of those that are stuck.
func (p *proxy) countLinks() (open, stuck int) {
	p.each(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		open++
		if l.stuck {
			stuck++
		}
	})
	return open, stuck
}

// TestConnectionsOfACutStaySilent shows that connections which are open during a cut pass nothing after it, not
// even their end, while new ones are sound.
func TestConnectionsOfACutStaySilent(t *testing.T) {
	p, received := echoProxy(t)
	before := p.dial(t)
	expect(t, before, greeting)
	p.disturb(silent)
	during := p.dial(t)
	for open := 0; open < 2; open, _ = p.countLinks() {
		runtime.Gosched()
	}
	p.disturbNew()
	write(t, before, "lost")
	write(t, during, "lost")
	for range 10 {
		after := p.dial(t)
		expect(t, after, greeting)
		write(t, after, "sound")
		expect(t, after, "sound")
		assert.Equal(t, <-received, "sound")
		assert.NilError(t, after.Close())
	}
	_, stuck := p.countLinks()
	assert.Equal(t, stuck, 2)
	p.close()
	for _, conn := range []net.Conn{before, during} {
		n, err := conn.Read(make([]byte, 1))
		assert.Assert(t, n == 0 && err != nil)
	}
	assert.Equal(t, len(received), 0)
}

// TestLinkCutOneWay shows that requests that are held do not hold answers, and the reverse.
func TestLinkCutOneWay(t *testing.T) {
	p, received := echoProxy(t)
	p.disturb(requestsHeld)
	conn := p.dial(t)
	write(t, conn, "held")
	expect(t, conn, greeting)
	assert.Equal(t, len(received), 0)
	p.disturb(answersHeld)
	assert.Equal(t, <-received, "held")
	p.disturb(undisturbed)
	expect(t, conn, "held")
}

// TestForwarderDropsByWay shows that a forwarder drops what one process sends and passes on the rest.
func TestForwarderDropsByWay(t *testing.T) {
	target, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer target.Close()
	f, err := startForwarder("127.0.0.1:0", target.LocalAddr().String())
	assert.NilError(t, err)
	defer f.close()
	send := func(ip, text string) {
		conn, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)}, f.conn.LocalAddr().(*net.UDPAddr))
		assert.NilError(t, err)
		defer conn.Close()
		write(t, conn, text)
	}
	next := func() string {
		buf := make([]byte, 100)
		n, _, err := target.ReadFrom(buf)
		assert.NilError(t, err)
		return string(buf[:n])
	}
	undo := f.dropFrom("127.0.0.2")
	send("127.0.0.2", "dropped")
	send("127.0.0.1", "first")
	assert.Equal(t, next(), "first")
	undo()
	send("127.0.0.2", "second")
	assert.Equal(t, next(), "second")
	undoFirst, undoSecond := f.dropAll(), f.dropAll()
	undoFirst()
	assert.Assert(t, !f.passes("127.0.0.1"))
	undoSecond()
	assert.Assert(t, f.passes("127.0.0.1"))
}

// TestProcessIsReachedThroughItsLink guards against a deployment whose processes name the address that
// they listen at, so that nothing disturbs their connections.
func TestProcessIsReachedThroughItsLink(t *testing.T) {
	address, _ := echoServer(t)
	l, err := startPeerLink("127.0.0.3:0", address)
	assert.NilError(t, err)
	defer l.close()
	conn := l.tcp.dial(t)
	expect(t, conn, greeting)
	assert.Equal(t, l.udp.conn.LocalAddr().String(), l.tcp.address())
	d := &deployment{template: "ip: {{Ip}}\n"}
	assert.Equal(t, d.settings(&process{ip: "127.0.0.1", link: l}), "ip: 127.0.0.1\nadvertise-ip: 127.0.0.3\n")
	assert.Equal(t, d.settings(&process{ip: "127.0.0.1"}), "ip: 127.0.0.1\n")
}

// TestSilentLinksPlayEachFault guards against faults that a seed leaves out although there is time.
func TestSilentLinksPlayEachFault(t *testing.T) {
	s := &soak{random: newRandom(7)}
	kinds := func(faults []fault) (kinds []string) {
		for _, f := range faults {
			kinds = append(kinds, f.kind)
		}
		return kinds
	}
	first, second := kinds(s.shuffledLinkFaults()), kinds(s.shuffledLinkFaults())
	assert.Assert(t, !slices.Equal(first, second))
	slices.Sort(first)
	slices.Sort(second)
	assert.DeepEqual(t, first, second)
	assert.Equal(t, len(first), len(linkFaults))
	s.onlyFault = "all owners"
	assert.DeepEqual(t, kinds(s.shuffledLinkFaults()), []string{"connections to all owners fall silent"})
}
