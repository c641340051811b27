// Package cicadaconfig stores and distributes the configuration of a fleet:
// templates, customers, endpoint groups, services and limits. Operators write
// resources as YAML documents. A change set of several resources is validated
// against the entire configuration and takes effect atomically, as one revision.
//
// The revisions form a log in the platform's Object API. The record of a revision
// contains the operator, the time, the reason, and each resource before and after
// the change, so that every change has its audit entry. Each process uses an
// immutable Snapshot and replaces it only with one of a higher revision.
//
// # Usage
//
//	resources, err := cicadaconfig.ParseResources("shop.yaml", data)
//	snapshot, err := store.Load(ctx)
//	set, err := store.Apply(ctx, cicadaconfig.Request{Operator: "mari", Resources: resources})
//	customer, ok := snapshot.Customer("mallet-shop")
//
// Names of resources, keys and values are written in kebab case.
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

// A Kind is the kind of a resource.
type Kind string

// Resource kinds.
const (
	KindTemplate Kind = "template"
	KindCustomer Kind = "customer"
	KindGroup    Kind = "group"
	KindService  Kind = "service"
	KindLimits   Kind = "limits"
)

// Kinds lists all kinds in the order in which resources are listed.
var Kinds = []Kind{KindTemplate, KindCustomer, KindGroup, KindService, KindLimits}

// An Urgency is the priority of online traffic under overload.
type Urgency string

// Urgencies, the least urgent first.
const (
	UrgencyLow      Urgency = "low"
	UrgencyNormal   Urgency = "normal"
	UrgencyHigh     Urgency = "high"
	UrgencyCritical Urgency = "critical"
)

var urgencies = []Urgency{UrgencyLow, UrgencyNormal, UrgencyHigh, UrgencyCritical}

// Level returns the urgency as a number, where higher is more urgent.
func (u Urgency) Level() int32 { return int32(slices.Index(urgencies, u)) }

// Parameters are a customer's permissions, rate limits and urgency. Fields that a
// customer does not set are taken from its template.
type Parameters struct {
	Models            []string    `yaml:"models,omitempty"`
	Adapters          []string    `yaml:"adapters,omitempty"`
	Services          []string    `yaml:"services,omitempty"`
	Urgency           Urgency     `yaml:"urgency,omitempty"`
	OnlineRate        []RateLimit `yaml:"online-rate,omitempty"`
	OnlineConcurrency int         `yaml:"online-concurrency,omitempty"`
	BatchConcurrency  int         `yaml:"batch-concurrency,omitempty"`
	BatchItemsPerDay  int64       `yaml:"batch-items-per-day,omitempty"`
	Retention         *Duration   `yaml:"batch-retention,omitempty"`
}

// Duration is a duration that is written with its unit.
type Duration = cicadasettings.Duration

// A RateLimit allows a number of requests in each time window.
type RateLimit struct {
	Requests int64    `yaml:"requests"`
	Per      Duration `yaml:"per"`
}

// A Template is a set of parameters that customers share. Customers can't override
// the parameters whose keys are listed in Fixed.
type Template struct {
	Description string     `yaml:"description,omitempty"`
	Parameters  Parameters `yaml:"parameters"`
	Fixed       []string   `yaml:"fixed,omitempty"`
}

// A Customer is based on a template, whose parameters it can override. Keys holds the
// hashes of its API keys.
type Customer struct {
	Template   string     `yaml:"template"`
	Keys       []string   `yaml:"keys,omitempty"`
	Suspended  bool       `yaml:"suspended,omitempty"`
	Parameters Parameters `yaml:"parameters,omitempty"`
}

// A Group is a set of endpoints with the same configuration. For Slots, BatchReserve
// and LongSlots see cicadaadmit.Policy. Subset is the number of the group's endpoints
// that one entry uses, or 0 for the default.
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

// A Service is a plain HTTP service, not an inference model, that a group of
// endpoints runs. LookUp is the path, with the placeholder {key}, of the service's
// route that reports whether a call with an idempotency key has run, or empty if it
// has none. If ChecksKeys is set, calls with an idempotency key count as idempotent,
// because the service itself detects duplicates.
type Service struct {
	Group      string  `yaml:"group"`
	Routes     []Route `yaml:"routes"`
	ChecksKeys bool    `yaml:"checks-keys,omitempty"`
	LookUp     string  `yaml:"look-up,omitempty"`
}

// A Route declares whether calls with a method to a path prefix are idempotent.
type Route struct {
	Method     string `yaml:"method"`
	Path       string `yaml:"path"`
	Idempotent bool   `yaml:"idempotent"`
}

// Limits apply to the entire fleet. The only resource of this kind is named default.
// RetryShare and HedgeShare bound retries and hedged attempts as fractions of the
// requests.
type Limits struct {
	MaxBody          cicadasettings.Size `yaml:"max-body,omitempty"`
	Deadline         Duration            `yaml:"deadline,omitempty"`
	RetryShare       float64             `yaml:"retry-share,omitempty"`
	HedgeShare       float64             `yaml:"hedge-share,omitempty"`
	OnlineWeight     float64             `yaml:"online-weight,omitempty"`
	QuarantinePeriod Duration            `yaml:"quarantine-period,omitempty"`
}

// A Resource is a configuration document with a kind, a name and the fields of that
// kind.
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

// Body returns the resource as canonical YAML, including its kind and name.
func (r Resource) Body() []byte { return r.body }

// Revision returns the revision that last changed the resource, or 0 if it has not
// been applied.
func (r Resource) Revision() int64 { return r.revision }

// Spec returns a pointer to the Template, Customer, Group, Service or Limits,
// which must not be modified.
func (r Resource) Spec() any { return r.spec }

func (r Resource) id() resourceID { return resourceID{r.kind, r.name} }

type resourceID struct {
	kind Kind
	name string
}

func (id resourceID) String() string { return string(id.kind) + "/" + id.name }

// ErrInvalid reports an invalid resource or change set.
var ErrInvalid = merry.Sentinel("cicadaconfig: invalid resource")

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
	keyPattern  = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

type documentHeader struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
}

// document is a YAML document: the header and the fields of its kind.
type document[T any] struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
	Spec T      `yaml:",inline"`
}

// ParseResources parses and validates YAML documents separated by lines of three
// dashes. The file name is only used in errors.
func ParseResources(file string, data []byte) ([]Resource, error) {
	var resources []Resource
	seen := make(map[resourceID]bool)
	for _, doc := range splitDocuments(data) {
		r, err := parseResource(file, doc)
		if err != nil {
			return nil, err
		}
		if seen[r.id()] {
			return nil, merry.Errorf("%s:%d: duplicate resource %s: %w", file, doc.line, r.id(), ErrInvalid)
		}
		seen[r.id()] = true
		resources = append(resources, r)
	}
	if len(resources) == 0 {
		return nil, merry.Errorf("%s: no resources found: %w", file, ErrInvalid)
	}
	return resources, nil
}

type rawDocument struct {
	line int
	text []byte
}

// splitDocuments splits data into its YAML documents and leaves out empty ones. It
// pads each document with leading empty lines, so that line numbers in errors are
// those of the file.
func splitDocuments(data []byte) []rawDocument {
	var docs []rawDocument
	start, line := 0, 0
	lines := bytes.SplitAfter(data, []byte("\n"))
	var current []byte
	endDocument := func() {
		if len(bytes.TrimSpace(stripComments(current))) > 0 {
			padded := append(bytes.Repeat([]byte("\n"), start), current...)
			docs = append(docs, rawDocument{line: start + 1, text: padded})
		}
		current = nil
	}
	for _, l := range lines {
		line++
		if strings.TrimRight(string(l), " \r\n") == "---" {
			endDocument()
			start = line
			continue
		}
		current = append(current, l...)
	}
	endDocument()
	return docs
}

// stripComments removes the lines that hold only a comment.
func stripComments(text []byte) []byte {
	var lines [][]byte
	for l := range bytes.Lines(text) {
		if !bytes.HasPrefix(bytes.TrimSpace(l), []byte("#")) {
			lines = append(lines, l)
		}
	}
	return bytes.Join(lines, nil)
}

func parseResource(file string, doc rawDocument) (Resource, error) {
	var header documentHeader
	if err := yaml.Unmarshal(doc.text, &header); err != nil {
		return Resource{}, cicadasettings.Parse(file, doc.text, &header)
	}
	if !namePattern.MatchString(header.Name) {
		return Resource{}, merry.Errorf("%s:%d: key name: expected a name in kebab case, got %q: %w", file, doc.line, header.Name, ErrInvalid)
	}
	switch header.Kind {
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
	return Resource{}, merry.Errorf("%s:%d: key kind: expected one of %v, got %q: %w", file, doc.line, Kinds, header.Kind, ErrInvalid)
}

type validatable[T any] interface {
	*T
	validate() error
}

func decode[T any, P validatable[T]](file string, doc rawDocument) (Resource, error) {
	var d document[T]
	if err := cicadasettings.Parse(file, doc.text, &d); err != nil {
		return Resource{}, merry.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := P(&d.Spec).validate(); err != nil {
		return Resource{}, merry.Errorf("%s:%d: %s/%s: %w: %w", file, doc.line, d.Kind, d.Name, ErrInvalid, err)
	}
	body, err := yaml.Marshal(d)
	if err != nil {
		return Resource{}, merry.Errorf("encode %s/%s: %w", d.Kind, d.Name, err)
	}
	return Resource{kind: d.Kind, name: d.Name, spec: &d.Spec, body: body}, nil
}

// ReadResources reads r to its end and calls ParseResources.
func ReadResources(file string, r io.Reader) ([]Resource, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, merry.Errorf("read %s: %w", file, err)
	}
	return ParseResources(file, data)
}

func (p *Parameters) validate() error {
	if p.Urgency != "" && !slices.Contains(urgencies, p.Urgency) {
		return cicadasettings.Expected("parameters.urgency", fmt.Sprintf("one of %v", urgencies))
	}
	for i, limit := range p.OnlineRate {
		if limit.Requests <= 0 || limit.Per <= 0 {
			return cicadasettings.Expected(fmt.Sprintf("parameters.online-rate[%d]", i), "requests and per above 0")
		}
	}
	if p.OnlineConcurrency < 0 || p.BatchConcurrency < 0 || p.BatchItemsPerDay < 0 {
		return cicadasettings.Expected("parameters", "limits of 0 or more")
	}
	return nil
}

func (t *Template) validate() error {
	for _, key := range t.Fixed {
		if !slices.Contains(parameterKeys, key) {
			return cicadasettings.Expected("fixed", fmt.Sprintf("keys of %v", parameterKeys))
		}
	}
	return t.Parameters.validate()
}

func (c *Customer) validate() error {
	if c.Template == "" {
		return cicadasettings.Expected("template", "the name of a template")
	}
	for _, key := range c.Keys {
		if !keyPattern.MatchString(key) {
			return cicadasettings.Expected("keys", "hashes such as sha256:…, 64 hex digits (cicadactl key hash)")
		}
	}
	return c.Parameters.validate()
}

func (g *Group) validate() error {
	if g.Slots <= 0 {
		return cicadasettings.Expected("slots", "the maximum number of concurrent requests of an endpoint, above 0")
	}
	if g.BatchReserve < 0 || g.BatchReserve >= g.Slots {
		return cicadasettings.Expected("batch-reserve", "the number of slots reserved for online requests, 0 to slots-1")
	}
	if g.LongSlots < 0 || g.LongSlots > g.Slots {
		return cicadasettings.Expected("long-slots", "the number of slots that long requests may use, 0 to slots")
	}
	if g.Subset < 0 {
		return cicadasettings.Expected("subset", "the number of the group's endpoints that one entry uses, or 0 for the default")
	}
	return nil
}

func (s *Service) validate() error {
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

func (l *Limits) validate() error {
	if l.RetryShare < 0 || l.RetryShare > 1 || l.HedgeShare < 0 || l.HedgeShare > 1 {
		return cicadasettings.Expected("retry-share, hedge-share", "a share from 0 to 1")
	}
	if l.OnlineWeight < 0 || l.OnlineWeight > 1 {
		return cicadasettings.Expected("online-weight", "a weight from 0 to 1")
	}
	return nil
}

// IsInvalid reports whether err is caused by an invalid resource or change set.
func IsInvalid(err error) bool {
	var key *cicadasettings.KeyError
	return errors.Is(err, ErrInvalid) || errors.As(err, &key)
}
