package cicadaprocess

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadagateway/cicadabatch"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

const (
	// unreadyDelay is how long a stopping entry keeps serving as before after it has
	// reported not ready. The balancer probes once a second and removes an entry after
	// two failed probes.
	unreadyDelay = 2500 * time.Millisecond
	exitMargin   = 400 * time.Millisecond // time left before the platform kills the process
	// lastAcceptMargin is the time reserved for requests on the last connection that a
	// stopping entry accepts. Requests that may take longer are refused.
	lastAcceptMargin  = 2 * time.Second
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 75 * time.Second
	maxHeaderBytes    = 64 << 10
)

func (n *Node) serveCallers(ctx, workCtx context.Context) error {
	client := cicadabatch.NewClient(n.newPeerPool(), n.ownerPeers)
	if err := n.servePeers(workCtx, client.Register); err != nil {
		return err
	}
	relay := cicadarelay.New(n.config.Load, n.table, n.client, n.log, n.relayOptions(client)...)
	var tracker connTracker
	srv := &http.Server{
		ConnState: tracker.setState,
		Handler:   relay, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return merry.Errorf("listen for callers: %w", err)
	}
	readyListener, err := net.Listen("tcp", n.cfg.Ready)
	if err != nil {
		return merry.Errorf("listen for readiness probes: %w", err)
	}
	readySrv := n.newReadyServer()
	serveErrs := make(chan error, 2)
	n.wg.Go(func() { serveErrs <- srv.Serve(callerListener{ln}) })
	n.wg.Go(func() { serveErrs <- readySrv.Serve(readyListener) })
	select {
	case err := <-serveErrs:
		return merry.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	err = n.shutDown(ctx, &tracker, ln)
	_ = srv.Close() // closes the connections that are still open after the drain, which shutDown has logged
	return err
}

// relayOptions returns the options of the relay of an entry.
func (n *Node) relayOptions(client *cicadabatch.Client) []cicadarelay.Option {
	opts := []cicadarelay.Option{
		cicadarelay.WithScope(n.process.Scope()), cicadarelay.WithShuttingDown(n.leaving.Load), cicadarelay.WithShutdownEnd(n.connectionsEnd),
		cicadarelay.WithJobHandlers(n.jobHandlers(client)), cicadarelay.WithMonitor(n.crashes.monitor), cicadarelay.WithOrigins(n.origins),
		cicadarelay.WithBodyMemory(n.requestMemory), cicadarelay.WithCustomers(n.customerPolicy()),
	}
	if n.cfg.LearnEndpointSpeed {
		opts = append(opts, cicadarelay.WithPromptFailover())
	}
	return opts
}

// shutDown keeps serving until the balancer has detected that the entry is not ready,
// and then waits for the requests in progress.
func (n *Node) shutDown(stopped context.Context, tracker *connTracker, ln net.Listener) error {
	end := time.Now().Add(time.Duration(n.drainLimit.Load()) - exitMargin)
	n.announceShutdown(stopped)
	cicadaretry.Sleep(context.Background(), unreadyDelay)
	n.shutdownEnd.Store(&end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := tracker.drain(ctx, ln, end.Add(-lastAcceptMargin)); err != nil {
		n.log.Warn("graceful shutdown incomplete", "error", err)
	}
	n.log.Info("shutdown complete")
	return nil
}

// connectionsEnd returns when a stopping entry closes its connections, or the zero time while
// the balancer may not have detected yet that the entry is not ready.
func (n *Node) connectionsEnd() time.Time {
	if end := n.shutdownEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// newReadyServer returns the server of the balancer's readiness probes.
func (n *Node) newReadyServer() *http.Server {
	return &http.Server{Handler: http.HandlerFunc(n.handleReady), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

func (n *Node) handleReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != adapter.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if n.leaving.Load() || n.config.Load() == nil || !n.customersServed() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutdownReason returns why a process shuts down: a signal, or the failure of a background
// goroutine.
func shutdownReason(ctx context.Context) string {
	var failure *cicadatask.Failure
	if errors.As(context.Cause(ctx), &failure) {
		return failure.Reason()
	}
	return "signal"
}

// announceShutdown informs peers, and makes an entry report not ready.
func (n *Node) announceShutdown(ctx context.Context) {
	n.log.Info("shutting down", "reason", shutdownReason(ctx))
	n.leaving.Store(true)
	n.notifyPeers()
}
