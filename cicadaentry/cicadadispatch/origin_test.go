package cicadadispatch

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// scriptedEndpoints are the endpoints of one group, whose agents all report one version. Each
// attempt gets a chunk from the version that is next in the script, and is interrupted if
// there are more versions in it. A version of "-" is not stated.
type scriptedEndpoints struct {
	group   *cicadafleet.Group
	script  []string
	origins []string // that the attempts stated, "-" if none
}

func newScriptedEndpoints(reported string, script ...string) *scriptedEndpoints {
	var endpoints []*cicadafleet.Endpoint
	for i := range 3 {
		e := cicadafleet.NewEndpoint(cicadaplatform.VM{Name: fmt.Sprint("w", i)}, true)
		e.UpdateLoad(&cicadawire.Load{Slots: 8, EngineUp: true, SoftwareVersion: reported})
		endpoints = append(endpoints, e)
	}
	return &scriptedEndpoints{group: cicadafleet.NewGroup("g", endpoints...), script: script}
}

func (s *scriptedEndpoints) Group(string) (*cicadafleet.Group, bool) { return s.group, true }

func (s *scriptedEndpoints) open(_ context.Context, _ *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
	origin := "-"
	if call.Origin != nil {
		origin = call.GetOrigin()
	}
	s.origins = append(s.origins, origin)
	version := s.script[0]
	s.script = s.script[1:]
	first := &cicadawire.Frame{Attempt: call.GetAttempt(), Data: []byte(version)}
	if version != "-" {
		first.SoftwareVersion = &version
	}
	frames := []*cicadawire.Frame{first}
	if len(s.script) == 0 {
		frames = append(frames, &cicadawire.Frame{Attempt: call.GetAttempt(), Index: 1, Kind: cicadawire.FrameKind_LAST})
	}
	return func() (*cicadawire.Frame, error) {
		if len(frames) == 0 {
			return nil, io.EOF
		}
		frame := frames[0]
		frames = frames[1:]
		return frame, nil
	}, nil
}

// Guards against outputs whose origin is the version in an endpoint's last report, and not
// that of the process that began them.
func TestOriginIsWhatTheRunStates(t *testing.T) {
	for _, c := range []struct {
		name     string
		reported string
		script   []string
		text     string
		origins  []string
		fails    bool
	}{
		{name: "one version", reported: "v1", script: []string{"v1", "v1"}, text: "v1v1", origins: []string{"-", "v1"}},
		{name: "engines without versions", script: []string{"", ""}, origins: []string{"-", ""}},
		{name: "version that is not proved", reported: "v1", script: []string{"-", "v1"}, text: "-", origins: []string{"-"}, fails: true},
		{name: "other version goes on", reported: "v1", script: []string{"v1", "v2", "v1"}, text: "v1v1", origins: []string{"-", "v1", "v1"}},
		{name: "version that is not stated goes on", reported: "v1", script: []string{"v1", "-", "v1"}, text: "v1v1", origins: []string{"-", "v1", "v1"}},
		{name: "began at other version than reported", reported: "v1", script: []string{"v2", "v1"}, text: "v2", origins: []string{"-"}, fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoints := newScriptedEndpoints(c.reported, c.script...)
				d := New(endpoints, endpoints.open, WithBudgets(1, 0))
				text := ""
				_, err := d.Run(t.Context(), &Request{Call: &cicadawire.Call{}, Groups: []string{"g"}}, func(chunk Chunk) error {
					text += string(chunk.Data)
					return nil
				})
				assert.Equal(t, err != nil, c.fails)
				assert.Equal(t, text, c.text)
				assert.DeepEqual(t, endpoints.origins, c.origins)
			})
		})
	}
}
