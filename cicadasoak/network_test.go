package main

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// closeFunc is a listener that only records that it was closed.
type closeFunc struct {
	net.Listener
	closed func()
}

func (c closeFunc) Close() error {
	c.closed()
	return nil
}

// loopback returns a function that listens at each address once.
func loopback(taken map[string]bool) func(string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		if taken[address] {
			return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
		}
		taken[address] = true
		return closeFunc{closed: func() { delete(taken, address) }}, nil
	}
}

// TestDeploymentsShareNoNetwork guards against two runs, or a run and processes that an earlier one left
// over, at the same addresses, where the callers of one get answers of the other.
func TestDeploymentsShareNoNetwork(t *testing.T) {
	taken := make(map[string]bool)
	listen := loopback(taken)
	first, err := claimNetwork(7, 8, listen)
	assert.NilError(t, err)
	assert.Equal(t, first.ip(3), "127.1.8.3")
	assert.Equal(t, len(taken), 1)
	taken["127.1.9.8:7660"] = true // left over
	second, err := claimNetwork(7, 8, listen)
	assert.NilError(t, err)
	assert.Equal(t, second.number, 10)
	first.release()
	third, err := claimNetwork(7, 8, listen)
	assert.NilError(t, err)
	assert.Equal(t, third.number, 8)
}

// TestDeploymentWithoutFreeNetworkIsRefused guards against a run at the addresses of another.
func TestDeploymentWithoutFreeNetworkIsRefused(t *testing.T) {
	listen := loopback(make(map[string]bool))
	seen := make(map[int]bool)
	for range networks {
		n, err := claimNetwork(networks-1, 1, listen)
		assert.NilError(t, err)
		assert.Assert(t, n.number >= 1 && n.number <= networks && !seen[n.number])
		seen[n.number] = true
	}
	_, err := claimNetwork(0, 1, listen)
	assert.ErrorIs(t, err, errNoNetwork)
	denied := func(string) (net.Listener, error) { return nil, syscall.EACCES }
	_, err = claimNetwork(0, 1, denied)
	assert.ErrorIs(t, err, syscall.EACCES)
}

func TestClaimIsSeenByOtherListeners(t *testing.T) {
	first, err := claimNetwork(0, 1, listenTCP)
	assert.NilError(t, err)
	defer first.release()
	second, err := claimNetwork(first.number-1, 1, listenTCP)
	assert.NilError(t, err)
	defer second.release()
	assert.Assert(t, first.number != second.number)
}
