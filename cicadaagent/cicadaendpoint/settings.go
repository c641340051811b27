package cicadaendpoint

import (
	"time"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// Defaults of the settings.
const (
	DefaultHeartbeat  = time.Second
	DefaultDrainLimit = 10 * time.Minute
)

// Settings are the settings of an agent.
type Settings struct {
	cicadakernel.Common `yaml:",inline"`
	// Name is the endpoint's name, as in the VM list.
	Name string `yaml:"name"`
	// DataCentre is where the VM stands.
	DataCentre string `yaml:"data-centre"`
	// Group is the endpoint group of the configuration.
	Group string `yaml:"group"`
	// Listen is the address for entries.
	Listen string `yaml:"listen"`
	// Engine says what runs on the endpoint.
	Engine EngineSettings `yaml:"engine"`
	// Platform is the platform's address. Without it engine orders are
	// refused after a restart.
	Platform string `yaml:"platform"`
	// Heartbeat is the interval of heartbeats to entries.
	Heartbeat cicadasettings.Duration `yaml:"heartbeat"`
	// DrainLimit is how long a graceful shutdown waits for running calls.
	DrainLimit cicadasettings.Duration `yaml:"drain-limit"`
	// TLS secures the connections from entries.
	TLS cicadasettings.TLS `yaml:"tls"`
}

// EngineSettings say what runs on the endpoint.
type EngineSettings struct {
	// Adapter is inference or plain.
	Adapter string `yaml:"adapter"`
	// Address is the engine's base URL.
	Address string `yaml:"address"`
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if err := s.Common.Validate(); err != nil {
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
