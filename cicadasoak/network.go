package main

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/ansel1/merry/v2"
)

const (
	// networks is the number of loopback networks from which a deployment takes one.
	networks = 250
	// claimHost and claimPort are where a deployment listens in its network so that others leave it alone.
	claimHost = 250
	claimPort = 7661
	// linkHosts is added to the host of a process for the address at which others reach it.
	linkHosts = 100
)

var errNoNetwork = merry.Sentinel("cicadasoak: no loopback network is free")

// A network is a range of loopback addresses that one deployment has to itself.
type network struct {
	number int
	claim  net.Listener
}

// ip returns the address of a host of the network.
func (n network) ip(host int) string { return fmt.Sprintf("127.1.%d.%d", n.number, host) }

func (n network) address(host, port int) string { return fmt.Sprintf("%s:%d", n.ip(host), port) }

// release ends the claim.
func (n network) release() {
	if n.claim != nil {
		_ = n.claim.Close()
	}
}

// claimNetwork claims a network for a number of processes, the first one that is free from a
// preferred one on. It fails with errNoNetwork if each is claimed or has a process left over.
func claimNetwork(preferred, processes int, listen func(address string) (net.Listener, error)) (network, error) {
	for i := range networks {
		n := network{number: (preferred+i)%networks + 1}
		err := n.take(processes, listen)
		if err == nil {
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return network{}, merry.Errorf("claim network: %w", err)
		}
	}
	return network{}, errNoNetwork
}

// take claims the network if nobody listens where the processes will.
func (n *network) take(processes int, listen func(address string) (net.Listener, error)) error {
	claim, err := listen(n.address(claimHost, claimPort))
	if err != nil {
		return err
	}
	for i := range processes {
		for _, port := range []int{callerPort, readyPort, peerPort} {
			ln, err := listen(n.address(i+1, port))
			if err != nil {
				_ = claim.Close()
				return err
			}
			_ = ln.Close()
		}
	}
	n.claim = claim
	return nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }
