// Package cicadasettings parses YAML settings strictly. Unknown keys, duplicate
// keys, missing values and invalid units are errors that contain the file, the line,
// the key and the expected value.
//
// # Usage
//
//	type server struct {
//		Listen string                  `yaml:"listen"`
//		Idle   cicadasettings.Duration `yaml:"idle"`
//	}
//
//	func (s *server) Validate() error {
//		if s.Listen == "" {
//			return cicadasettings.Expected("listen", "an address such as 127.0.0.1:8080")
//		}
//		return nil
//	}
//
//	var s server
//	err := cicadasettings.Load("server.yaml", &s)
//
// Durations are written with a unit (250ms, 5s, 2h), sizes in bytes or with a binary
// unit (64KiB, 8MiB).
package cicadasettings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// A KeyError reports a missing or invalid value in a settings file, and what was
// expected.
type KeyError struct {
	file   string
	line   int
	key    string
	expect string
}

// Expected returns a KeyError for a dotted key such as "log.level". Load and Parse
// add the file and the line.
func Expected(key, expect string) error {
	return &KeyError{key: key, expect: expect}
}

// A Requirement is a key that must have a value.
type Requirement struct {
	Key    string
	Value  string
	Expect string // description of the expected value, for the error
}

// Require returns a KeyError for the first key without a value.
func Require(all ...Requirement) error {
	for _, r := range all {
		if r.Value == "" {
			return Expected(r.Key, r.Expect)
		}
	}
	return nil
}

// Error returns the location as FILE:LINE, the key and the expected value.
func (e *KeyError) Error() string {
	location := e.file
	if e.line > 0 {
		location = fmt.Sprintf("%s:%d", e.file, e.line)
	}
	if location == "" {
		return fmt.Sprintf("key %s: expected %s", e.key, e.expect)
	}
	return fmt.Sprintf("%s: key %s: expected %s", location, e.key, e.expect)
}

// Key returns the dotted key.
func (e *KeyError) Key() string { return e.key }

// Line returns the line in the file, or 0 if the file does not contain the key.
func (e *KeyError) Line() int { return e.line }

// Load reads a settings file into v, a pointer to a struct with yaml tags. If v has
// a Validate method, Load then calls it and adds the file and the line to a KeyError
// that it returns.
func Load(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return merry.Errorf("read settings: %w", err)
	}
	return Parse(file, data, v)
}

// Parse is like Load for data that has already been read. The file name is only used
// in errors.
func Parse(file string, data []byte, v any) error {
	if err := yaml.UnmarshalWithOptions(data, v, yaml.Strict()); err != nil && len(bytes.TrimSpace(data)) > 0 {
		return merry.Errorf("%s:%d: %s: %w", file, lineOf(err), messageOf(err), ErrSyntax)
	}
	validator, ok := v.(interface{ Validate() error })
	if !ok {
		return nil
	}
	err := validator.Validate()
	var keyErr *KeyError
	if errors.As(err, &keyErr) {
		return merry.Errorf("invalid settings: %w", keyErr.withLocation(file, data))
	}
	if err != nil {
		return merry.Errorf("invalid settings in %s: %w", file, err)
	}
	return nil
}

// ErrSyntax reports YAML that cannot be decoded into the settings.
var ErrSyntax = merry.Sentinel("cicadasettings: invalid YAML")

// withLocation returns a copy of the error with the file and the line of its key.
func (e *KeyError) withLocation(file string, data []byte) *KeyError {
	located := *e
	located.file = file
	if path, err := yaml.PathString("$." + e.key); err == nil {
		if node, err := path.ReadNode(bytes.NewReader(data)); err == nil {
			located.line = node.GetToken().Position.Line
		}
	}
	return &located
}

// lineOf returns the line of a YAML or value error, or 1 if it has none.
func lineOf(err error) int {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		return yamlErr.GetToken().Position.Line
	}
	var valueErr *valueError
	if errors.As(err, &valueErr) {
		return valueErr.line
	}
	return 1
}

// messageOf returns the message of a YAML or value error without its location.
func messageOf(err error) string {
	var valueErr *valueError
	if errors.As(err, &valueErr) {
		return valueErr.Error()
	}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return yamlErr.GetMessage()
	}
	return err.Error()
}

type valueError struct {
	line   int
	text   string
	expect string
}

func (e *valueError) Error() string {
	return fmt.Sprintf("value %q: expected %s", e.text, e.expect)
}

// A Duration is a time.Duration that is written with a unit.
type Duration time.Duration

// UnmarshalYAML parses a duration such as 250ms, which must not be negative.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	token := node.GetToken()
	parsed, err := time.ParseDuration(token.Value)
	if err != nil || parsed < 0 {
		return &valueError{line: token.Position.Line, text: token.Value, expect: "a duration with unit, such as 250ms, 5s or 2h"}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML formats the duration with a unit.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Or returns the duration, or def if it is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// A Size is a number of bytes.
type Size int64

// sizeUnits are the units of a Size. Longer suffixes come first, because KiB also
// ends in B.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// UnmarshalYAML parses a size such as 8MiB, which must not be negative.
func (s *Size) UnmarshalYAML(node ast.Node) error {
	token := node.GetToken()
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(token.Value, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/unit.bytes {
			break
		}
		*s = Size(n * unit.bytes)
		return nil
	}
	return &valueError{line: token.Position.Line, text: token.Value, expect: "a size in bytes, KiB, MiB or GiB, such as 8MiB"}
}

// Or returns the size, or def if it is zero.
func (s Size) Or(def int64) int64 {
	if s == 0 {
		return def
	}
	return int64(s)
}
