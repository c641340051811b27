package cicadaview

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLongestPrefixMatches(t *testing.T) {
	targets := []Target{{Service: "a", Weight: 1}}
	c := NewConfig(3, []Route{
		{Name: "short", Host: "h", Prefix: "/a/", Targets: targets},
		{Name: "long", Host: "h", Prefix: "/a/b/", Targets: targets},
		{Name: "empty", Host: "h", Prefix: "/z/"},
	}, nil, Limits{})
	r, ok := c.Route("h", "/a/b/c")
	assert.Assert(t, ok)
	assert.Equal(t, r.Name, "long")
	r, ok = c.Route("h", "/a/x")
	assert.Assert(t, ok)
	assert.Equal(t, r.Name, "short")
	_, ok = c.Route("h", "/z/x")
	assert.Assert(t, !ok)
	_, ok = c.Route("other", "/a/x")
	assert.Assert(t, !ok)
}

func TestServiceIsSelectedByWeight(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	assert.Equal(t, r.SelectService(0), "a")
	assert.Equal(t, r.SelectService(0.89), "a")
	assert.Equal(t, r.SelectService(0.91), "b")
	assert.Equal(t, r.SelectService(1), "b")
}
