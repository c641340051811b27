// Package cicadacheck examines a configuration of the gateway before it is in force: it finds entries
// that cannot have their intended effect, and lists what a change means for callers. Its results
// depend only on its arguments, so that a running process and a command get the same findings.
//
// # Usage
//
//	findings := cicadacheck.Check(config, cicadacheck.WithLargestJob(200))
//	for _, f := range findings {
//		fmt.Printf("%s: %s: %s (%s)\n", f.Severity(), f.Field(), f.Message(), f.Code())
//	}
//	changes := cicadacheck.Compare(inForce, config)
//
// A finding is an error if an entry cannot have the effect that it states, such as a route that never
// matches, and a warning if it has the effect but is probably a mistake. Decoders add findings about
// the file itself with NewFinding.
//
// No finding or change contains a key: keys are identified by the beginning of their digest.
package cicadacheck

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"cicadalink.example/cicadakernel/cicadaview"
)

// A Severity says whether a finding makes a check fail (Error) or not (Warning).
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// A Code identifies a kind of finding.
type Code string

// A Finding is something wrong with one field of a configuration.
type Finding struct {
	severity Severity
	field    string
	code     Code
	message  string
}

// NewFinding returns a finding of a decoder about the field with the given path.
func NewFinding(severity Severity, field string, code Code, format string, args ...any) Finding {
	return Finding{severity, field, code, fmt.Sprintf(format, args...)}
}

// Severity returns the severity of the finding.
func (f Finding) Severity() Severity { return f.severity }

// Field returns the path of the field.
func (f Finding) Field() string { return f.field }

// Code returns the kind of the finding.
func (f Finding) Code() Code { return f.code }

// Message returns an explanation for operators.
func (f Finding) Message() string { return f.message }

// MarshalJSON implements json.Marshaler.
func (f Finding) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Severity Severity `json:"severity"`
		Field    string   `json:"field"`
		Code     Code     `json:"code"`
		Message  string   `json:"message"`
	}{f.severity, f.field, f.code, f.message})
}

// HasErrors reports whether at least one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.severity == Error })
}

// An Option configures Check or Compare.
type Option func(*options)

type options struct {
	path       func(Place) string
	oldPath    func(Place) string // of the old configuration, or nil if it is path
	largestJob int
}

// WithPaths sets how places are written in findings and changes. The default is Place.String.
func WithPaths(path func(Place) string) Option { return func(o *options) { o.path = path } }

// WithLargestJob sets the largest number of items of a job, against which the limits of batch routes
// are checked. Without it they are not checked.
func WithLargestJob(items int) Option { return func(o *options) { o.largestJob = items } }

func newOptions(opts []Option) options {
	o := options{path: Place.String}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// A checker collects the findings about one configuration.
type checker struct {
	options
	config   *cicadaview.Config
	services map[string]bool // by name, those that are configured
	findings []Finding
}

// Check returns the findings about a configuration, in the order of its routes, services and
// customers.
func Check(config *cicadaview.Config, opts ...Option) []Finding {
	c := &checker{options: newOptions(opts), config: config, services: make(map[string]bool)}
	for _, s := range config.Services() {
		c.services[s.Name] = true
	}
	c.checkRoutes()
	c.checkServices()
	c.checkCustomers()
	return c.findings
}

func (c *checker) add(severity Severity, at Place, code Code, format string, args ...any) {
	c.findings = append(c.findings, NewFinding(severity, c.path(at), code, format, args...))
}

// checkNames reports entries of a list that have no name or the name of an earlier entry. consequence
// states in the finding what follows from several entries with one name.
func (c *checker) checkNames(list Field, names []string, consequence string) {
	first := make(map[string]int, len(names))
	for i, name := range names {
		at := Place{}.element(list, i)
		switch earlier, exists := first[name]; {
		case name == "":
			c.add(Error, at.field(Name), "missing-name", "has no name")
		case exists:
			c.add(Error, at.field(Name), "duplicate-name", "%q is also the name of %s; %s", name, c.path(Place{}.element(list, earlier)), consequence)
		default:
			first[name] = i
		}
	}
}

// keyNameBytes is the number of bytes of a key's digest that identify it in findings.
const keyNameBytes = 4

// KeyName returns the name of a key in findings and changes: the first 8 hexadecimal digits of its
// SHA-256 digest.
func KeyName(digest cicadaview.KeyDigest) string { return hex.EncodeToString(digest[:keyNameBytes]) }
