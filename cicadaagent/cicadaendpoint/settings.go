package cicadaendpoint

import (
	"time"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// Default values of the settings.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultDrainLimit        = 10 * time.Minute
)

// Settings holds the settings of an agent.
type Settings struct {
	cicadakernel.CommonSettings `yaml:",inline"`
	// Name is the endpoint's name, as in the VM list.
	Name string `yaml:"name"`
	// DataCentre is the name of the data centre of the agent's VM.
	DataCentre string `yaml:"data-centre"`
	// Group is the name of the endpoint group, as in the configuration.
	Group string `yaml:"group"`
	// Listen is the listen address for entries.
	Listen string `yaml:"listen"`
	// Engine specifies the engine of the endpoint.
	Engine EngineSettings `yaml:"engine"`
	// Platform is the URL of the platform. If it is not set, the agent rejects all
	// engine orders.
	Platform string `yaml:"platform"`
	// Heartbeat is the interval of the load reports to entries.
	Heartbeat cicadasettings.Duration `yaml:"heartbeat"`
	// DrainLimit is how long a graceful shutdown waits for running calls. After that,
	// running calls that can be retried at another endpoint are cancelled;
	// non-idempotent calls are not.
	DrainLimit cicadasettings.Duration `yaml:"drain-limit"`
	// TLS applies to the listener for entries.
	TLS cicadasettings.TLS `yaml:"tls"`
}

// EngineSettings specifies the engine of an endpoint.
type EngineSettings struct {
	// Adapter is the name of the engine adapter, inference or plain.
	Adapter string `yaml:"adapter"`
	// Address is the engine's base URL.
	Address string `yaml:"address"`
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if err := s.CommonSettings.Validate(); err != nil {
		return err
	}
	err := cicadasettings.Require(
		cicadasettings.Requirement{Key: "name", Value: s.Name, Expect: "the endpoint's name, as in the VM list"},
		cicadasettings.Requirement{Key: "data-centre", Value: s.DataCentre, Expect: "the data centre's name"},
		cicadasettings.Requirement{Key: "group", Value: s.Group, Expect: "the name of an endpoint group"},
		cicadasettings.Requirement{Key: "listen", Value: s.Listen, Expect: "an address such as 127.0.0.1:7100"},
		cicadasettings.Requirement{Key: "engine.adapter", Value: s.Engine.Adapter, Expect: "inference or plain"},
		cicadasettings.Requirement{Key: "engine.address", Value: s.Engine.Address, Expect: "a URL such as http://127.0.0.1:9000"},
	)
	if err != nil {
		return err
	}
	return s.TLS.Validate()
}
