package cicadaprocess

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadasettings"
)

var values = map[string]string{
	"Node": "front-1", "Ip": "10.1.0.35", "Zone": "z-a", "Listen.Front": "10.1.0.35:8144", "Listen.Ready": "10.1.0.35:8140",
	"PortRange.0": "7660", "Platform.Addr": "10.200.1.7:8142", "Platform.WritesPerS": "400", "Platform.ReadsPerS": "2000",
	"Limits.MemoryMb": "284", "Bounds.GraceS": "8", "Bounds.StatusS": "120",
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	value   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// fill fills in the deployment's template as the platform does.
func fill(t *testing.T, known map[string]string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/settings.yaml")
	assert.NilError(t, err)
	filled := section.ReplaceAllStringFunc(string(text), func(s string) string {
		m := section.FindStringSubmatch(s)
		if (known[m[2]] != "") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return []byte(value.ReplaceAllStringFunc(filled, func(s string) string { return known[value.FindStringSubmatch(s)[1]] }))
}

func TestTemplateMakesValidSettings(t *testing.T) {
	var entry Settings
	assert.NilError(t, cicadasettings.Parse("settings.yaml", fill(t, values), &entry))
	assert.Equal(t, entry.Role, RoleEntry)
	assert.Equal(t, entry.Listen, "10.1.0.35:8144")
	assert.Equal(t, entry.PeerPort, 7660)
	assert.Equal(t, int64(entry.Memory), int64(284<<20))
	assert.Equal(t, time.Duration(entry.DrainLimit), 8*time.Second)
	inner := make(map[string]string)
	for name, v := range values {
		if !strings.HasPrefix(name, "Listen") {
			inner[name] = v
		}
	}
	var owner Settings
	assert.NilError(t, cicadasettings.Parse("settings.yaml", fill(t, inner), &owner))
	assert.Equal(t, owner.Role, RoleOwner)
	assert.Equal(t, owner.Listen, "")
}

func TestBadSettingsAreNamed(t *testing.T) {
	good := string(fill(t, values))
	for _, c := range []struct{ from, to, want string }{
		{"role: entry", "role: both", "settings.yaml:4: key role: expected entry or owner"},
		{"peer-port: 7660", "peer-port: 0", "key peer-port: expected a port"},
		{"ip: 10.1.0.35", "ip: \"\"", "key ip: expected"},
		{"drain-limit: 8s", "drain-limit: 8", "duration with unit"},
		{"vm: front-1", "vmm: front-1", "settings.yaml:"},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		assert.Assert(t, text != good, c.from)
		err := cicadasettings.Parse("settings.yaml", []byte(text), &Settings{})
		assert.ErrorContains(t, err, c.want)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, role := range []string{RoleEntry, RoleOwner} {
		var s Settings
		assert.NilError(t, cicadasettings.Load("../../examples/gateway/"+role+".yaml", &s))
		assert.Equal(t, s.Role, role)
	}
}

func TestReloadKeepsWhatWasInForce(t *testing.T) {
	n := &Node{file: "settings.yaml"}
	n.drainLimit.Store(int64(3 * time.Second))
	assert.ErrorContains(t, n.reload([]byte("role: neither")), "settings kept as they were")
	assert.Equal(t, n.drainLimit.Load(), int64(3*time.Second))
	assert.NilError(t, n.reload(fill(t, values)))
	assert.Equal(t, n.drainLimit.Load(), int64(8*time.Second))
}

func FuzzSettings(f *testing.F) {
	text, err := os.ReadFile("../../deploy/settings.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("role: owner\nname: a\nvm: a\nip: b\ndata-centre: c\nplatform: d\npeer-port: 1\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var s Settings
		if cicadasettings.Parse("s", b, &s) == nil && (s.PeerPort <= 0 || s.Name == "") {
			t.Fatalf("accepted %+v", s)
		}
	})
}
