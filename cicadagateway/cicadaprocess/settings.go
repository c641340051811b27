package cicadaprocess

import (
	"time"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// Roles of a process.
const (
	RoleEntry = "entry"
	RoleOwner = "owner"
)

// Settings are the settings of a process.
type Settings struct {
	cicadakernel.Common `yaml:",inline"`
	// Name is the process's name among its peers.
	Name string `yaml:"name"`
	// Role is entry or owner.
	Role string `yaml:"role"`
	// VM is the name of the machine, as operators retire it.
	VM string `yaml:"vm"`
	// IP is the VM's address.
	IP string `yaml:"ip"`
	// DataCentre is where the VM stands.
	DataCentre string `yaml:"data-centre"`
	// Listen is the address for callers, and Ready that for the balancer.
	Listen string `yaml:"listen"`
	Ready  string `yaml:"ready"`
	// PeerPort is the port for other processes, by TCP and UDP.
	PeerPort int `yaml:"peer-port"`
	// Platform is the URL of the platform's store.
	Platform string `yaml:"platform"`
	// StoreWrites and StoreReads are what all processes may call, a second.
	StoreWrites float64 `yaml:"store-writes"`
	StoreReads  float64 `yaml:"store-reads"`
	// DataDir is a folder on the VM's disk, for checkpoints of batch items. An owner
	// without one has none.
	DataDir string `yaml:"data-dir"`
	// Memory is what the process may use.
	Memory cicadasettings.Size `yaml:"memory"`
	// KeepJobs is how long after its acceptance a job stays readable.
	KeepJobs cicadasettings.Duration `yaml:"keep-jobs"`
	// DrainLimit is how long a graceful shutdown may take.
	DrainLimit cicadasettings.Duration `yaml:"drain-limit"`
}

const (
	defaultDrainLimit  = 8 * time.Second
	defaultKeepJobs    = 10 * time.Minute
	defaultStoreWrites = 100
	defaultStoreReads  = 500
)

func (s *Settings) storeWrites() float64 { return orDefault(s.StoreWrites, defaultStoreWrites) }

func (s *Settings) storeReads() float64 { return orDefault(s.StoreReads, defaultStoreReads) }

func orDefault(rate, standard float64) float64 {
	if rate <= 0 {
		return standard
	}
	return rate
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if err := s.Common.Validate(); err != nil {
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
	if s.Role == RoleEntry && (s.Listen == "" || s.Ready == "") {
		return cicadasettings.Expected("listen", "an address such as 10.1.0.35:8144, and another at ready")
	}
	if s.PeerPort <= 0 || s.PeerPort > 65535 {
		return cicadasettings.Expected("peer-port", "a port from 1 to 65535")
	}
	return nil
}
