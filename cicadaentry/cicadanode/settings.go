package cicadanode

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// Default values of the settings.
const (
	DefaultWriteRate      = 100.0
	DefaultDrainLimit     = 2 * time.Minute
	DefaultMaxBody        = 8 << 20
	DefaultMaxUpload      = 1 << 30
	DefaultResponseMemory = 128 << 20 // bytes
	DefaultMaxConnections = 10000
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultReadyDelay     = 2 * time.Second
)

// Settings holds the settings of an entry.
type Settings struct {
	cicadakernel.CommonSettings `yaml:",inline"`
	// Name is the entry's name, as in the VM list.
	Name string `yaml:"name"`
	// DataCentre is the name of the data centre of the entry's VM.
	DataCentre string `yaml:"data-centre"`
	// Listen is the listen address for callers and operators.
	Listen string `yaml:"listen"`
	// PeerListen is the listen address for other entries, as in the VM list.
	PeerListen string `yaml:"peer-listen"`
	// Platform is the URL of the platform.
	Platform string `yaml:"platform"`
	// Peers lists addresses of entries from which the configuration and the VM list
	// are fetched at the start if the platform is unavailable.
	Peers []string `yaml:"peers"`
	// Shards is the number of shards, the same at every entry.
	Shards int `yaml:"shards"`
	// WriteRate is this entry's share of the platform's write budget, in writes
	// per second.
	WriteRate float64 `yaml:"write-rate"`
	// FlushInterval is how long batch results are collected before they are
	// written together.
	FlushInterval cicadasettings.Duration `yaml:"flush-interval"`
	// ClaimInterval is how long claims of keyed calls are collected before they
	// are written together.
	ClaimInterval cicadasettings.Duration `yaml:"claim-interval"`
	// DrainLimit is how long a graceful shutdown waits for running requests,
	// including ReadyDelay. Requests that are still running after that are aborted.
	DrainLimit cicadasettings.Duration `yaml:"drain-limit"`
	// ReadyDelay is how long the entry accepts requests after /readyz has changed to
	// not ready, so that the balancer can stop sending requests to it first.
	ReadyDelay cicadasettings.Duration `yaml:"ready-delay"`
	// MaxUpload is the largest size of an uploaded file.
	MaxUpload cicadasettings.Size `yaml:"max-upload"`
	// ResponseMemory limits the memory for responses that are collected before they are passed
	// on, and for messages of other entries.
	ResponseMemory cicadasettings.Size `yaml:"response-memory"`
	// MaxConnections limits the open connections of callers and operators.
	MaxConnections int `yaml:"max-connections"`
	// Operators lists who may change the configuration.
	Operators []Operator `yaml:"operators"`
	// TLS applies to the listener for callers and operators, and PeerTLS to all
	// connections between the deployment's own processes.
	TLS     cicadasettings.TLS `yaml:"tls"`
	PeerTLS cicadasettings.TLS `yaml:"peer-tls"`
}

// An Operator is a person or program that may change the configuration.
type Operator struct {
	Name string `yaml:"name"`
	// Key is the hash of the operator's key, in the form that cicadactl key hash
	// prints.
	Key string `yaml:"key"`
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if err := s.CommonSettings.Validate(); err != nil {
		return err
	}
	err := cicadasettings.Require(
		cicadasettings.Requirement{Key: "name", Value: s.Name, Expect: "the entry's name, as in the VM list"},
		cicadasettings.Requirement{Key: "data-centre", Value: s.DataCentre, Expect: "the data centre's name"},
		cicadasettings.Requirement{Key: "listen", Value: s.Listen, Expect: "an address such as 127.0.0.1:8080"},
		cicadasettings.Requirement{Key: "peer-listen", Value: s.PeerListen, Expect: "an address such as 127.0.0.1:7001"},
		cicadasettings.Requirement{Key: "platform", Value: s.Platform, Expect: "a URL such as http://127.0.0.1:7000"},
	)
	if err != nil {
		return err
	}
	if s.Shards < 0 {
		return cicadasettings.Expected("shards", "a positive number, the same at every entry")
	}
	if s.WriteRate < 0 {
		return cicadasettings.Expected("write-rate", "a positive number of writes per second")
	}
	if err := s.validateOperators(); err != nil {
		return err
	}
	if err := s.TLS.Validate(); err != nil {
		return err
	}
	return s.PeerTLS.Validate()
}

func (s *Settings) validateOperators() error {
	seen := make(map[string]bool)
	for i, operator := range s.Operators {
		if operator.Name == "" || seen[operator.Name] {
			return cicadasettings.Expected(fmt.Sprintf("operators[%d].name", i), "a name that is unique among the operators")
		}
		seen[operator.Name] = true
		if _, err := hex.DecodeString(trimHashPrefix(operator.Key)); err != nil || len(trimHashPrefix(operator.Key)) != 2*sha256.Size {
			return cicadasettings.Expected(fmt.Sprintf("operators[%d].key", i), "a hash such as sha256:…, 64 hex digits (cicadactl key hash)")
		}
	}
	return nil
}

const hashPrefix = "sha256:"

func trimHashPrefix(hash string) string {
	if len(hash) > len(hashPrefix) && hash[:len(hashPrefix)] == hashPrefix {
		return hash[len(hashPrefix):]
	}
	return ""
}

// operatorByHash returns the name of the operator whose key has a hash. It compares
// all hashes in constant time, so that its duration reveals nothing about them.
func (s *Settings) operatorByHash(hash string) (string, bool) {
	name := ""
	for _, operator := range s.Operators {
		if subtle.ConstantTimeCompare([]byte(operator.Key), []byte(hash)) == 1 {
			name = operator.Name
		}
	}
	return name, name != ""
}
