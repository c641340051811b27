package cicadakernel

import (
	"sort"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownPlugin reports that no plug-in of the name asked for is linked in.
var ErrUnknownPlugin = merry.Sentinel("cicadakernel: unknown plug-in")

// A Registry holds the plug-ins of one kind. The zero value is ready to use.
// Plug-ins add themselves from an init function, so a program gains one by
// importing its package.
type Registry[T any] struct {
	mu      sync.Mutex
	plugins map[string]T
}

// Register adds a plug-in under a name. It panics when the name is taken,
// because that is a mistake of the program's author.
func (g *Registry[T]) Register(name string, plugin T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.plugins == nil {
		g.plugins = make(map[string]T)
	}
	if _, taken := g.plugins[name]; taken {
		panic("cicadakernel: plug-in registered twice: " + name)
	}
	g.plugins[name] = plugin
}

// Lookup returns the plug-in of that name, or ErrUnknownPlugin with the names
// there are.
func (g *Registry[T]) Lookup(name string) (T, error) {
	g.mu.Lock()
	plugin, ok := g.plugins[name]
	g.mu.Unlock()
	if !ok {
		return plugin, merry.Errorf("plug-in %q (have %s): %w", name, strings.Join(g.Names(), ", "), ErrUnknownPlugin)
	}
	return plugin, nil
}

// Names returns the registered names in order.
func (g *Registry[T]) Names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, 0, len(g.plugins))
	for name := range g.plugins {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
