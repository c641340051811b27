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

// Defaults of the settings.
const (
	DefaultWriteRate      = 100.0
	DefaultDrainLimit     = 2 * time.Minute
	DefaultMaxBody        = 8 << 20
	DefaultMaxUpload      = 1 << 30
	DefaultMaxConnections = 10000
	DefaultHeaderTime     = 10 * time.Second
	DefaultReadyDelay     = 2 * time.Second
)

// Settings are the settings of an entry.
type Settings struct {
	cicadakernel.Common `yaml:",inline"`
	// Name is the entry's name, as in the VM list.
	Name string `yaml:"name"`
	// DataCentre is where the VM stands.
	DataCentre string `yaml:"data-centre"`
	// Listen is the address for callers and operators.
	Listen string `yaml:"listen"`
	// PeerListen is the address for other entries, as in the VM list.
	PeerListen string `yaml:"peer-listen"`
	// Platform is the platform's address.
	Platform string `yaml:"platform"`
	// Peers are addresses of entries to ask at the start while the platform is
	// down.
	Peers []string `yaml:"peers"`
	// Shards is how many shards the deployment has.
	Shards int `yaml:"shards"`
	// WriteRate is this entry's part of the platform's write budget, in writes
	// a second.
	WriteRate float64 `yaml:"write-rate"`
	// FlushInterval is how long batch results wait to be written together.
	FlushInterval cicadasettings.Duration `yaml:"flush-interval"`
	// ClaimInterval is how long claims of keyed calls wait for each other.
	ClaimInterval cicadasettings.Duration `yaml:"claim-interval"`
	// DrainLimit is how long a graceful shutdown waits for requests.
	DrainLimit cicadasettings.Duration `yaml:"drain-limit"`
	// ReadyDelay is how long the entry still takes requests after /readyz has
	// turned, so that the balancer moves on.
	ReadyDelay cicadasettings.Duration `yaml:"ready-delay"`
	// MaxUpload is the largest file.
	MaxUpload cicadasettings.Size `yaml:"max-upload"`
	// MaxConnections is how many caller connections are open at once.
	MaxConnections int `yaml:"max-connections"`
	// Operators may change the configuration.
	Operators []Operator `yaml:"operators"`
	// TLS secures the callers' listener, and PeerTLS everything between our own
	// processes.
	TLS     cicadasettings.TLS `yaml:"tls"`
	PeerTLS cicadasettings.TLS `yaml:"peer-tls"`
}

// An Operator is a person or program that may change the configuration.
type Operator struct {
	Name string `yaml:"name"`
	// Key is the hash of the operator's key, as cicadactl key hash prints it.
	Key string `yaml:"key"`
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if err := s.Common.Validate(); err != nil {
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
		return cicadasettings.Expected("shards", "a number above 0, the same at every entry")
	}
	if s.WriteRate < 0 {
		return cicadasettings.Expected("write-rate", "writes a second, above 0")
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
			return cicadasettings.Expected(fmt.Sprintf("operators[%d].name", i), "a name that no other operator has")
		}
		seen[operator.Name] = true
		if _, err := hex.DecodeString(trimHash(operator.Key)); err != nil || len(trimHash(operator.Key)) != 2*sha256.Size {
			return cicadasettings.Expected(fmt.Sprintf("operators[%d].key", i), "a hash such as sha256:…, 64 hex digits (cicadactl key hash)")
		}
	}
	return nil
}

const hashPrefix = "sha256:"

func trimHash(hash string) string {
	if len(hash) > len(hashPrefix) && hash[:len(hashPrefix)] == hashPrefix {
		return hash[len(hashPrefix):]
	}
	return ""
}

// operatorByHash returns the operator that a key's hash belongs to. It takes
// the same time whichever it is.
func (s *Settings) operatorByHash(hash string) (string, bool) {
	found := ""
	for _, operator := range s.Operators {
		if subtle.ConstantTimeCompare([]byte(operator.Key), []byte(hash)) == 1 {
			found = operator.Name
		}
	}
	return found, found != ""
}
