// Package cicadasettings reads YAML settings strictly. An unknown key, a
// duplicate name, a missing field or a bad unit is an error that names the
// file, the line, the key and what was expected.
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
// Durations are written with their unit (250ms, 5s, 2h), sizes in bytes with
// an optional binary unit (64KiB, 8MiB).
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

// A KeyError says which key of a settings file is wrong and what was expected
// there.
type KeyError struct {
	file   string
	line   int
	key    string
	expect string
}

// Expected returns a KeyError for a dotted key such as "log.level". Load adds
// the file and the line.
func Expected(key, expect string) error {
	return &KeyError{key: key, expect: expect}
}

// A Requirement is a key that must have a value.
type Requirement struct {
	Key    string
	Value  string
	Expect string // what the key takes, for the error
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

// Error names the place as FILE:LINE, the key, and what was expected.
func (e *KeyError) Error() string {
	place := e.file
	if e.line > 0 {
		place = fmt.Sprintf("%s:%d", e.file, e.line)
	}
	if place == "" {
		return fmt.Sprintf("key %s: expected %s", e.key, e.expect)
	}
	return fmt.Sprintf("%s: key %s: expected %s", place, e.key, e.expect)
}

// Key returns the dotted key.
func (e *KeyError) Key() string { return e.key }

// Line returns the line in the file, or 0 when the key is missing.
func (e *KeyError) Line() int { return e.line }

// Load reads a settings file into v, a pointer to a struct with yaml tags.
// When v has a Validate method it runs last, and a KeyError it returns gains
// the file and line.
func Load(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return merry.Errorf("read settings: %w", err)
	}
	return Parse(file, data, v)
}

// Parse is Load for data already read; file is used in errors only.
func Parse(file string, data []byte, v any) error {
	if err := yaml.UnmarshalWithOptions(data, v, yaml.Strict()); err != nil && len(bytes.TrimSpace(data)) > 0 {
		return merry.Errorf("%s:%d: %s: %w", file, lineOf(err), messageOf(err), ErrSyntax)
	}
	checked, ok := v.(interface{ Validate() error })
	if !ok {
		return nil
	}
	err := checked.Validate()
	var key *KeyError
	if errors.As(err, &key) {
		return merry.Errorf("invalid settings: %w", key.at(file, data))
	}
	if err != nil {
		return merry.Errorf("invalid settings in %s: %w", file, err)
	}
	return nil
}

// ErrSyntax reports YAML that cannot be read into the settings.
var ErrSyntax = merry.Sentinel("cicadasettings: invalid YAML")

func (e *KeyError) at(file string, data []byte) *KeyError {
	found := *e
	found.file = file
	if path, err := yaml.PathString("$." + e.key); err == nil {
		if node, err := path.ReadNode(bytes.NewReader(data)); err == nil {
			found.line = node.GetToken().Position.Line
		}
	}
	return &found
}

func lineOf(err error) int {
	var positioned yaml.Error
	if errors.As(err, &positioned) && positioned.GetToken() != nil {
		return positioned.GetToken().Position.Line
	}
	var unit *unitError
	if errors.As(err, &unit) {
		return unit.line
	}
	return 1
}

func messageOf(err error) string {
	var unit *unitError
	if errors.As(err, &unit) {
		return unit.Error()
	}
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		return positioned.GetMessage()
	}
	return err.Error()
}

type unitError struct {
	line   int
	text   string
	expect string
}

func (e *unitError) Error() string {
	return fmt.Sprintf("value %q: expected %s", e.text, e.expect)
}

// A Duration is a time.Duration written with its unit.
type Duration time.Duration

// UnmarshalYAML reads a duration such as 250ms.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	token := node.GetToken()
	parsed, err := time.ParseDuration(token.Value)
	if err != nil || parsed < 0 {
		return &unitError{line: token.Position.Line, text: token.Value, expect: "a duration with unit, such as 250ms, 5s or 2h"}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Or returns the duration, or def when it is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// A Size is a number of bytes.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// UnmarshalYAML reads a size such as 8MiB.
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
	return &unitError{line: token.Position.Line, text: token.Value, expect: "a size in bytes, KiB, MiB or GiB, such as 8MiB"}
}

// Or returns the size, or def when it is zero.
func (s Size) Or(def int64) int64 {
	if s == 0 {
		return def
	}
	return int64(s)
}
