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

var templateValues = map[string]string{
	"Node": "front-1", "Ip": "10.1.0.35", "Zone": "z-a", "Listen.Front": "10.1.0.35:8144", "Listen.Ready": "10.1.0.35:8140",
	"PortRange.0": "7660", "Platform.Addr": "10.200.1.7:8142", "Platform.WritesPerS": "400", "Platform.ReadsPerS": "2000",
	"Limits.MemoryMb": "284", "Bounds.GraceS": "8", "Bounds.StatusS": "120", "Bounds.DrainMs": "3000", "Bounds.CancelMs": "3000",
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// renderTemplate renders the settings template of the deployment as the platform does.
func renderTemplate(t *testing.T, values map[string]string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/settings.yaml")
	assert.NilError(t, err)
	filled := sectionPattern.ReplaceAllStringFunc(string(text), func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if (values[m[2]] != "") == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return []byte(valuePattern.ReplaceAllStringFunc(filled, func(s string) string { return values[valuePattern.FindStringSubmatch(s)[1]] }))
}

func TestDeployTemplateIsValid(t *testing.T) {
	var entry Settings
	assert.NilError(t, cicadasettings.Parse("settings.yaml", renderTemplate(t, templateValues), &entry))
	assert.Equal(t, entry.Role, RoleEntry)
	assert.Equal(t, entry.Listen, "10.1.0.35:8144")
	assert.Equal(t, entry.PeerPort, 7660)
	assert.Equal(t, int64(entry.Memory), int64(284<<20))
	assert.Equal(t, time.Duration(entry.DrainLimit), 8*time.Second)
	assert.Equal(t, entry.removalLimit(), 3*time.Second)
	ownerValues := make(map[string]string)
	for name, v := range templateValues {
		if !strings.HasPrefix(name, "Listen") {
			ownerValues[name] = v
		}
	}
	var owner Settings
	assert.NilError(t, cicadasettings.Parse("settings.yaml", renderTemplate(t, ownerValues), &owner))
	assert.Equal(t, owner.Role, RoleOwner)
	assert.Equal(t, owner.Listen, "")
}

func TestInvalidSettingsAreReported(t *testing.T) {
	valid := string(renderTemplate(t, templateValues))
	for _, c := range []struct{ from, to, want string }{
		{"role: entry", "role: both", "settings.yaml:4: key role: expected entry or owner"},
		{"peer-port: 7660", "peer-port: 0", "key peer-port: expected a port"},
		{"ip: 10.1.0.35", "ip: \"\"", "key ip: expected"},
		{"ip: 10.1.0.35", "ip: 10.1.0.35\nadvertise-ip: here", "key advertise-ip: expected an IPv4 address"},
		{"ip: 10.1.0.35", "ip: 10.1.0.35\nadvertise-ip: 2001:db8::7", "key advertise-ip: expected an IPv4 address"},
		{"drain-limit: 8s", "drain-limit: 8", "duration with unit"},
		{"endpoint-removal-limit: 3000ms", "endpoint-removal-limit: 200ms", "key endpoint-removal-limit: expected a duration of at least 1s"},
		{"job-end-limit: 3000ms", "job-end-limit: 500ms", "key job-end-limit: expected a duration of at least 1s"},
		{"vm: front-1", "vmm: front-1", "settings.yaml:"},
	} {
		text := strings.Replace(valid, c.from, c.to, 1)
		assert.Assert(t, text != valid, c.from)
		err := cicadasettings.Parse("settings.yaml", []byte(text), &Settings{})
		assert.ErrorContains(t, err, c.want)
	}
}

// TestAdvertisedAddressDiffersFromTheLocalOne guards against a process behind address translation that
// listens at an address which its VM does not have, or that others call at one which they do not reach.
func TestAdvertisedAddressDiffersFromTheLocalOne(t *testing.T) {
	for advertised, want := range map[string]string{"": "10.1.0.35:7660", "192.0.2.7": "192.0.2.7:7660"} {
		s := Settings{IP: "10.1.0.35", AdvertiseIP: advertised, PeerPort: 7660}
		assert.Equal(t, s.peerListen(), "10.1.0.35:7660")
		assert.Equal(t, s.peerAddress(), want)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, role := range []string{RoleEntry, RoleOwner} {
		var s Settings
		assert.NilError(t, cicadasettings.Load("../../examples/gateway/"+role+".yaml", &s))
		assert.Equal(t, s.Role, role)
	}
}

func TestReloadKeepsSettingsOnError(t *testing.T) {
	n := &Node{settingsFile: "settings.yaml"}
	n.drainLimit.Store(int64(3 * time.Second))
	assert.ErrorContains(t, n.reload([]byte("role: neither")), "invalid settings not applied")
	assert.Equal(t, n.drainLimit.Load(), int64(3*time.Second))
	assert.NilError(t, n.reload(renderTemplate(t, templateValues)))
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
			t.Fatalf("invalid settings accepted: %+v", s)
		}
	})
}

// This guards against delays that add up to more than the time within which requests must stop going to
// a removed endpoint: until the removal is noticed, until all processes know, while the endpoint is
// retained, and until a request that was bound for it has been sent.
func TestDelaysStayWithinTheRemovalLimit(t *testing.T) {
	for _, limit := range []time.Duration{0, minRemovalLimit, 2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second} {
		s := &Settings{EndpointRemovalLimit: cicadasettings.Duration(limit)}
		if limit == 0 {
			limit = defaultRemovalLimit
		}
		sum := s.pollInterval() + spreadTime + s.retention() + sendTime
		assert.Assert(t, s.pollInterval() > 0 && s.retention() >= 0 && sum <= limit, "limit %v: %v", limit, sum)
	}
}
