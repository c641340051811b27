package cicadakernel

import (
	"sort"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
)

// ErrUnknownPlugin reports that no plug-in with the requested name is registered.
var ErrUnknownPlugin = merry.Sentinel("cicadakernel: unknown plug-in")

// A Registry holds the plug-ins of one kind. The zero value is ready to use.
// Plug-ins register themselves in an init function, so a program adds one by
// importing its package.
type Registry[T any] struct {
	mu      sync.Mutex
	plugins map[string]T
}

// Register adds a plug-in under a name. It panics if the name is already
// registered, because that is a programming error.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.plugins == nil {
		r.plugins = make(map[string]T)
	}
	if _, exists := r.plugins[name]; exists {
		panic("cicadakernel: plug-in registered twice: " + name)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in registered under name, or an error that wraps
// ErrUnknownPlugin and lists the registered names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.Lock()
	plugin, ok := r.plugins[name]
	r.mu.Unlock()
	if !ok {
		return plugin, merry.Errorf("plug-in %q (registered: %s): %w", name, strings.Join(r.Names(), ", "), ErrUnknownPlugin)
	}
	return plugin, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
