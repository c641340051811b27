package cicadaprocess

import (
	"cmp"
	"net"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleOwner = "owner"
)

// Settings are the settings of a process.
type Settings struct {
	cicadakernel.CommonSettings `yaml:",inline"`
	// Name identifies the process among its peers.
	Name string `yaml:"name"`
	// Role is RoleEntry or RoleOwner.
	Role string `yaml:"role"`
	// VM is the name of the VM that the process runs on, as used in retirements.
	VM string `yaml:"vm"`
	// IP is the VM's IP address.
	IP string `yaml:"ip"`
	// AdvertiseIP is the IPv4 address at which other processes reach this one, if it is not IP:
	// that of a VM behind address translation.
	AdvertiseIP string `yaml:"advertise-ip"`
	// DataCentre is the data centre that the VM is in.
	DataCentre string `yaml:"data-centre"`
	// Listen is the address that serves callers, and Ready the address that serves the
	// balancer's probes.
	Listen string `yaml:"listen"`
	Ready  string `yaml:"ready"`
	// PeerPort is the TCP and UDP port that serves other processes.
	PeerPort int `yaml:"peer-port"`
	// Platform is the URL of the platform's store.
	Platform string `yaml:"platform"`
	// StoreWrites and StoreReads limit the store calls per second of all processes
	// together.
	StoreWrites float64 `yaml:"store-writes"`
	StoreReads  float64 `yaml:"store-reads"`
	// DataDir is a directory on the VM's disk for the checkpoints of batch items.
	// Without it, an owner keeps no checkpoints.
	DataDir string `yaml:"data-dir"`
	// Memory is the amount of memory that the process may use.
	Memory cicadasettings.Size `yaml:"memory"`
	// KeepJobs is how long after its acceptance a job can be read.
	KeepJobs cicadasettings.Duration `yaml:"keep-jobs"`
	// DrainLimit is the longest time of a graceful shutdown.
	DrainLimit cicadasettings.Duration `yaml:"drain-limit"`
	// EndpointRemovalLimit is the longest time for which requests may still reach an endpoint after the
	// store has acknowledged that it is draining or removed.
	EndpointRemovalLimit cicadasettings.Duration `yaml:"endpoint-removal-limit"`
	// JobEndLimit is the longest time for which items of a job may still reach endpoints after its end was
	// acknowledged.
	JobEndLimit cicadasettings.Duration `yaml:"job-end-limit"`
	// RevocationLimit is the longest time for which a revoked key may still be accepted. Without
	// it, the configuration in force is trusted however old it is.
	RevocationLimit cicadasettings.Duration `yaml:"revocation-limit"`
	// QuotaSlack is how many requests a customer may have above its rate limit in a window of
	// some seconds.
	QuotaSlack float64 `yaml:"quota-slack"`
	// LearnEndpointSpeed makes the process learn how fast endpoints are, and prefer fast ones.
	LearnEndpointSpeed bool `yaml:"learn-endpoint-speed"`
}

const (
	defaultDrainLimit   = 8 * time.Second
	defaultKeepJobs     = 10 * time.Minute
	defaultStoreWrites  = 100
	defaultStoreReads   = 500
	defaultRemovalLimit = 2 * time.Second
	defaultJobEndLimit  = 3 * time.Second
	// minJobEndLimit leaves time for a call to the store and for one more after that.
	minJobEndLimit = time.Second
	// minRemovalLimit leaves time to learn of the removal, see pollInterval.
	minRemovalLimit = time.Second
	// minRevocationLimit leaves time to confirm the configuration several times.
	minRevocationLimit = 2 * time.Second
)

// peerListen returns the local address that serves other processes.
func (s *Settings) peerListen() string { return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)) }

// peerAddress returns the address at which other processes reach this one.
func (s *Settings) peerAddress() string {
	return net.JoinHostPort(cmp.Or(s.AdvertiseIP, s.IP), strconv.Itoa(s.PeerPort))
}

func (s *Settings) storeWriteRate() float64 { return rateOrDefault(s.StoreWrites, defaultStoreWrites) }

func (s *Settings) storeReadRate() float64 { return rateOrDefault(s.StoreReads, defaultStoreReads) }

// memoryBudget returns a budget of a fraction of the memory setting, or of the default size
// without it.
func (s *Settings) memoryBudget(fraction float64, scope tally.Scope, purpose string) *cicadamemory.Budget {
	return cicadamemory.NewBudget(int64(fraction*float64(s.Memory)), cicadamemory.WithScope(scope, purpose))
}

const (
	// spreadTime is how long it takes at most until the other processes have learned of the removal:
	// the heartbeat of the process that polls, catchUpDelay, and a call to the store.
	spreadTime = 500 * time.Millisecond
	// sendTime is how long it takes at most until a request has been sent to the endpoint that was
	// chosen for it.
	sendTime = 350 * time.Millisecond
)

func (s *Settings) removalLimit() time.Duration {
	return time.Duration(cmp.Or(s.EndpointRemovalLimit, cicadasettings.Duration(defaultRemovalLimit)))
}

func (s *Settings) jobEndLimit() time.Duration {
	return time.Duration(cmp.Or(s.JobEndLimit, cicadasettings.Duration(defaultJobEndLimit)))
}

// pollInterval returns the longest interval between two lists of the endpoints.
func (s *Settings) pollInterval() time.Duration {
	return min(s.removalLimit()-spreadTime-sendTime, cicadafollow.MaxPollInterval)
}

// retention returns how long an endpoint whose registration is missing may be retained, though it may
// have been removed.
func (s *Settings) retention() time.Duration {
	return s.removalLimit() - s.pollInterval() - spreadTime - sendTime
}

func rateOrDefault(rate, fallback float64) float64 {
	if rate <= 0 {
		return fallback
	}
	return rate
}

// Validate reports the first setting that is missing or invalid, and what was expected.
func (s *Settings) Validate() error {
	if err := s.CommonSettings.Validate(); err != nil {
		return err
	}
	if s.Role != RoleEntry && s.Role != RoleOwner {
		return cicadasettings.Expected("role", "entry or owner")
	}
	err := cicadasettings.Require(
		cicadasettings.Requirement{Key: "name", Value: s.Name, Expect: "the process's name"},
		cicadasettings.Requirement{Key: "vm", Value: s.VM, Expect: "the name of the VM"},
		cicadasettings.Requirement{Key: "ip", Value: s.IP, Expect: "the VM's address, such as 10.1.0.35"},
		cicadasettings.Requirement{Key: "data-centre", Value: s.DataCentre, Expect: "the data centre's name"},
		cicadasettings.Requirement{Key: "platform", Value: s.Platform, Expect: "a URL such as objects://10.200.1.7:8142"},
	)
	if err != nil {
		return err
	}
	if s.AdvertiseIP != "" && net.ParseIP(s.AdvertiseIP).To4() == nil {
		return cicadasettings.Expected("advertise-ip", "an IPv4 address such as 10.1.0.35")
	}
	if s.Role == RoleEntry && (s.Listen == "" || s.Ready == "") {
		return cicadasettings.Expected("listen", "an address such as 10.1.0.35:8144, and another at ready")
	}
	if s.removalLimit() < minRemovalLimit {
		return cicadasettings.Expected("endpoint-removal-limit", "a duration of at least "+minRemovalLimit.String())
	}
	if s.jobEndLimit() < minJobEndLimit {
		return cicadasettings.Expected("job-end-limit", "a duration of at least "+minJobEndLimit.String())
	}
	if limit := time.Duration(s.RevocationLimit); limit != 0 && limit < minRevocationLimit {
		return cicadasettings.Expected("revocation-limit", "a duration of at least "+minRevocationLimit.String())
	}
	if s.QuotaSlack < 0 {
		return cicadasettings.Expected("quota-slack", "a number of requests that is not negative")
	}
	if s.PeerPort <= 0 || s.PeerPort > 65535 {
		return cicadasettings.Expected("peer-port", "a port from 1 to 65535")
	}
	return nil
}
