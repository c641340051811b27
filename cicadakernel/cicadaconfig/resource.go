// Package cicadaconfig holds the configuration of a fleet: templates,
// customers, endpoint groups, services and limits. Operators write resources as
// YAML documents; a change set of several resources is validated against the
// whole and takes effect at once, as one revision.
//
// The revisions are a log in the platform's Object API. The record of a
// revision says who changed what, when, from, to and why, so no change exists
// without its audit entry. A process holds an immutable Snapshot and applies a
// revision only if it is higher than its own.
//
// # Usage
//
//	resources, err := cicadaconfig.ParseResources("shop.yaml", data)
//	snapshot, err := store.Load(ctx)
//	set, err := store.Apply(ctx, cicadaconfig.Request{Operator: "mari", Resources: resources})
//	customer, ok := snapshot.Customer("mallet-shop")
//
// Names of resources, keys and values are in kebab case.
package cicadaconfig

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"

	"cicadalink.example/cicadakernel/cicadasettings"
)

// A Kind is a kind of resource.
type Kind string

// Kinds of resources.
const (
	KindTemplate Kind = "template"
	KindCustomer Kind = "customer"
	KindGroup    Kind = "group"
	KindService  Kind = "service"
	KindLimits   Kind = "limits"
)

// Kinds lists every kind in the order in which resources are shown.
var Kinds = []Kind{KindTemplate, KindCustomer, KindGroup, KindService, KindLimits}

// An Urgency orders online traffic under overload.
type Urgency string

// Urgencies, the least urgent first.
const (
	UrgencyLow      Urgency = "low"
	UrgencyNormal   Urgency = "normal"
	UrgencyHigh     Urgency = "high"
	UrgencyCritical Urgency = "critical"
)

var urgencies = []Urgency{UrgencyLow, UrgencyNormal, UrgencyHigh, UrgencyCritical}

// Level returns the urgency as a number; higher is more urgent.
func (u Urgency) Level() int32 { return int32(slices.Index(urgencies, u)) }

// Parameters say what a customer may use and how urgent its traffic is. Fields
// that are left out of a customer come from its template.
type Parameters struct {
	Models            []string  `yaml:"models,omitempty"`
	Adapters          []string  `yaml:"adapters,omitempty"`
	Services          []string  `yaml:"services,omitempty"`
	Urgency           Urgency   `yaml:"urgency,omitempty"`
	OnlineRate        []Tier    `yaml:"online-rate,omitempty"`
	OnlineConcurrency int       `yaml:"online-concurrency,omitempty"`
	BatchConcurrency  int       `yaml:"batch-concurrency,omitempty"`
	BatchItemsPerDay  int64     `yaml:"batch-items-per-day,omitempty"`
	Retention         *Duration `yaml:"batch-retention,omitempty"`
}

// Duration is a duration with its unit.
type Duration = cicadasettings.Duration

// A Tier allows a number of requests in each window.
type Tier struct {
	Requests int64    `yaml:"requests"`
	Per      Duration `yaml:"per"`
}

// A Template is a set of parameters that customers share.
type Template struct {
	Description string     `yaml:"description,omitempty"`
	Parameters  Parameters `yaml:"parameters"`
	Fixed       []string   `yaml:"fixed,omitempty"`
}

// A Customer is made from a template; its parameters replace the template's.
type Customer struct {
	Template   string     `yaml:"template"`
	Keys       []string   `yaml:"keys,omitempty"`
	Suspended  bool       `yaml:"suspended,omitempty"`
	Parameters Parameters `yaml:"parameters,omitempty"`
}

// A Group is a set of like endpoints.
type Group struct {
	Models        []string `yaml:"models,omitempty"`
	Adapters      []string `yaml:"adapters,omitempty"`
	Version       string   `yaml:"version,omitempty"`
	Slots         int      `yaml:"slots"`
	BatchReserve  int      `yaml:"batch-reserve,omitempty"`
	LongSlots     int      `yaml:"long-slots,omitempty"`
	ChecksFencing bool     `yaml:"checks-fencing,omitempty"`
	Subset        int      `yaml:"subset,omitempty"`
}

// A Service is a plain service that a group of endpoints runs.
type Service struct {
	Group      string  `yaml:"group"`
	Routes     []Route `yaml:"routes"`
	ChecksKeys bool    `yaml:"checks-keys,omitempty"`
	LookUp     string  `yaml:"look-up,omitempty"`
}

// A Route says whether calls of a method to a path prefix are idempotent.
type Route struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Idempotent bool   `yaml:"idempotent"`
}

// Limits hold for the whole fleet. The resource is named default.
type Limits struct {
	MaxBody          cicadasettings.Size `yaml:"max-body,omitempty"`
	Deadline         Duration            `yaml:"deadline,omitempty"`
	RetryShare       float64             `yaml:"retry-share,omitempty"`
	HedgeShare       float64             `yaml:"hedge-share,omitempty"`
	OnlineWeight     float64             `yaml:"online-weight,omitempty"`
	QuarantinePeriod Duration            `yaml:"quarantine-period,omitempty"`
}

// A Resource is one document of configuration: a kind, a name and the fields
// of that kind.
type Resource struct {
	kind     Kind
	name     string
	spec     any
	body     []byte
	revision int64
}

// Kind returns the resource's kind.
func (r Resource) Kind() Kind { return r.kind }

// Name returns the resource's name.
func (r Resource) Name() string { return r.name }

// Body returns the resource as canonical YAML, with kind and name.
func (r Resource) Body() []byte { return r.body }

// Revision returns the revision that last changed the resource.
func (r Resource) Revision() int64 { return r.revision }

// Spec returns a pointer to the Template, Customer, Group, Service or Limits,
// which must not be changed.
func (r Resource) Spec() any { return r.spec }

func (r Resource) id() resourceID { return resourceID{r.kind, r.name} }

type resourceID struct {
	kind Kind
	name string
}

func (id resourceID) String() string { return string(id.kind) + "/" + id.name }

// ErrInvalid reports a resource that is not valid.
var ErrInvalid = merry.Sentinel("cicadaconfig: invalid resource")

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	keyPattern  = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

type header struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
}

// document is one YAML document: the header and the fields of its kind.
type document[T any] struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
	Spec T      `yaml:",inline"`
}

// ParseResources reads YAML documents separated by lines of three dashes. File
// is used in errors only.
func ParseResources(file string, data []byte) ([]Resource, error) {
	var resources []Resource
	seen := make(map[resourceID]bool)
	for _, doc := range splitDocuments(data) {
		r, err := parseResource(file, doc)
		if err != nil {
			return nil, err
		}
		if seen[r.id()] {
			return nil, merry.Errorf("%s:%d: %s is given twice: %w", file, doc.line, r.id(), ErrInvalid)
		}
		seen[r.id()] = true
		resources = append(resources, r)
	}
	if len(resources) == 0 {
		return nil, merry.Errorf("%s: no resources: %w", file, ErrInvalid)
	}
	return resources, nil
}

type rawDocument struct {
	line int
	text []byte
}

// splitDocuments keeps each document's line numbers by padding it with empty
// lines, so that errors name lines of the file.
func splitDocuments(data []byte) []rawDocument {
	var docs []rawDocument
	start, line := 0, 0
	lines := bytes.SplitAfter(data, []byte("\n"))
	var current []byte
	flush := func() {
		if len(bytes.TrimSpace(stripComments(current))) > 0 {
			padded := append(bytes.Repeat([]byte("\n"), start), current...)
			docs = append(docs, rawDocument{line: start + 1, text: padded})
		}
		current = nil
	}
	for _, l := range lines {
		line++
		if strings.TrimRight(string(l), " \r\n") == "---" {
			flush()
			start = line
			continue
		}
		current = append(current, l...)
	}
	flush()
	return docs
}

func stripComments(text []byte) []byte {
	var kept [][]byte
	for l := range bytes.Lines(text) {
		if !bytes.HasPrefix(bytes.TrimSpace(l), []byte("#")) {
			kept = append(kept, l)
		}
	}
	return bytes.Join(kept, nil)
}

func parseResource(file string, doc rawDocument) (Resource, error) {
	var head header
	if err := yaml.Unmarshal(doc.text, &head); err != nil {
		return Resource{}, cicadasettings.Parse(file, doc.text, &head)
	}
	if !namePattern.MatchString(head.Name) {
		return Resource{}, merry.Errorf("%s:%d: key name: expected a name in kebab case, have %q: %w", file, doc.line, head.Name, ErrInvalid)
	}
	switch head.Kind {
	case KindTemplate:
		return decode[Template](file, doc)
	case KindCustomer:
		return decode[Customer](file, doc)
	case KindGroup:
		return decode[Group](file, doc)
	case KindService:
		return decode[Service](file, doc)
	case KindLimits:
		return decode[Limits](file, doc)
	}
	return Resource{}, merry.Errorf("%s:%d: key kind: expected one of %v, have %q: %w", file, doc.line, Kinds, head.Kind, ErrInvalid)
}

type checkable[T any] interface {
	*T
	check() error
}

func decode[T any, P checkable[T]](file string, doc rawDocument) (Resource, error) {
	var d document[T]
	if err := cicadasettings.Parse(file, doc.text, &d); err != nil {
		return Resource{}, merry.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := P(&d.Spec).check(); err != nil {
		return Resource{}, merry.Errorf("%s:%d: %s/%s: %w: %w", file, doc.line, d.Kind, d.Name, ErrInvalid, err)
	}
	body, err := yaml.Marshal(d)
	if err != nil {
		return Resource{}, merry.Errorf("encode %s/%s: %w", d.Kind, d.Name, err)
	}
	return Resource{kind: d.Kind, name: d.Name, spec: &d.Spec, body: body}, nil
}

// ReadResources is ParseResources for a reader.
func ReadResources(file string, r io.Reader) ([]Resource, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, merry.Errorf("read %s: %w", file, err)
	}
	return ParseResources(file, data)
}

func (p *Parameters) check() error {
	if p.Urgency != "" && !slices.Contains(urgencies, p.Urgency) {
		return cicadasettings.Expected("parameters.urgency", fmt.Sprintf("one of %v", urgencies))
	}
	for i, tier := range p.OnlineRate {
		if tier.Requests <= 0 || tier.Per <= 0 {
			return cicadasettings.Expected(fmt.Sprintf("parameters.online-rate[%d]", i), "requests and per above 0")
		}
	}
	if p.OnlineConcurrency < 0 || p.BatchConcurrency < 0 || p.BatchItemsPerDay < 0 {
		return cicadasettings.Expected("parameters", "limits of 0 or more")
	}
	return nil
}

func (t *Template) check() error {
	for _, key := range t.Fixed {
		if !slices.Contains(parameterKeys, key) {
			return cicadasettings.Expected("fixed", fmt.Sprintf("keys of %v", parameterKeys))
		}
	}
	return t.Parameters.check()
}

func (c *Customer) check() error {
	if c.Template == "" {
		return cicadasettings.Expected("template", "the name of a template")
	}
	for _, key := range c.Keys {
		if !keyPattern.MatchString(key) {
			return cicadasettings.Expected("keys", "hashes such as sha256:…, 64 hex digits (cicadactl key hash)")
		}
	}
	return c.Parameters.check()
}

func (g *Group) check() error {
	if g.Slots <= 0 {
		return cicadasettings.Expected("slots", "the number of requests that an endpoint runs at once, above 0")
	}
	if g.BatchReserve < 0 || g.BatchReserve >= g.Slots {
		return cicadasettings.Expected("batch-reserve", "slots kept free of batch, 0 to slots-1")
	}
	if g.LongSlots < 0 || g.LongSlots > g.Slots {
		return cicadasettings.Expected("long-slots", "slots open to long requests, 0 to slots")
	}
	if g.Subset < 0 {
		return cicadasettings.Expected("subset", "endpoints of the group that one entry uses, 0 for the default")
	}
	return nil
}

func (s *Service) check() error {
	if s.Group == "" {
		return cicadasettings.Expected("group", "the name of a group")
	}
	if len(s.Routes) == 0 {
		return cicadasettings.Expected("routes", "at least one route")
	}
	for i, route := range s.Routes {
		if route.Method == "" || !strings.HasPrefix(route.Path, "/") {
			return cicadasettings.Expected(fmt.Sprintf("routes[%d]", i), "a method and a path that begins with /")
		}
	}
	return nil
}

func (l *Limits) check() error {
	if l.RetryShare < 0 || l.RetryShare > 1 || l.HedgeShare < 0 || l.HedgeShare > 1 {
		return cicadasettings.Expected("retry-share, hedge-share", "a share from 0 to 1")
	}
	if l.OnlineWeight < 0 || l.OnlineWeight > 1 {
		return cicadasettings.Expected("online-weight", "a weight from 0 to 1")
	}
	return nil
}

// IsInvalid reports whether err is about the content of a resource.
func IsInvalid(err error) bool {
	var key *cicadasettings.KeyError
	return errors.Is(err, ErrInvalid) || errors.As(err, &key)
}
