package cicadacheck

import (
	"fmt"
	"slices"
	"strings"
)

// A Field is the name of a field of a configuration.
type Field string

// Fields of a configuration.
const (
	Version       Field = "version"
	Routes        Field = "routes"
	Services      Field = "services"
	Customers     Field = "customers"
	Limits        Field = "limits"
	Name          Field = "name"
	Host          Field = "host"
	Prefix        Field = "prefix"
	Kind          Field = "kind"
	Timeout       Field = "timeout"
	Goal          Field = "goal"
	PauseGoal     Field = "pause-goal"
	Due           Field = "due"
	GiveUpAfter   Field = "give-up-after"
	WaitingTokens Field = "max-waiting-tokens"
	Attempts      Field = "max-attempts"
	Priority      Field = "priority"
	Resumable     Field = "resumable"
	Public        Field = "public"
	Targets       Field = "targets"
	TargetService Field = "service"
	Slots         Field = "slots"
	Connections   Field = "max-connections"
	Keys          Field = "keys"
	Rate          Field = "rate"
	Burst         Field = "burst"
	HeaderBytes   Field = "max-header-bytes"
	BodyBytes     Field = "max-body-bytes"
	HeaderTimeout Field = "header-timeout"
	IdleTimeout   Field = "idle-timeout"
)

// A Step of a place is a field, and the position of an element if the field is a list.
type Step struct {
	field   Field
	index   int
	element bool
}

// Field returns the field.
func (s Step) Field() Field { return s.field }

// Index returns the position of the element. ok is false if the step is a whole field.
func (s Step) Index() (i int, ok bool) { return s.index, s.element }

// A Place is the position of a field or an element in a configuration, as the steps that lead to it.
type Place struct{ steps []Step }

// Steps returns the steps from the whole configuration to the place.
func (p Place) Steps() []Step { return slices.Clone(p.steps) }

// field returns the place of a field within p.
func (p Place) field(f Field) Place {
	return Place{append(slices.Clip(p.steps), Step{field: f})}
}

// element returns the place of an element of a list within p.
func (p Place) element(f Field, i int) Place {
	return Place{append(slices.Clip(p.steps), Step{field: f, index: i, element: true})}
}

// String returns the path of the place, such as routes[3].prefix.
func (p Place) String() string { return p.Format(func(f Field) string { return string(f) }) }

// Format returns the path of the place with the field names of another representation.
func (p Place) Format(name func(Field) string) string {
	parts := make([]string, 0, len(p.steps))
	for _, s := range p.steps {
		part := name(s.field)
		if s.element {
			part = fmt.Sprintf("%s[%d]", part, s.index)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, ".")
}
