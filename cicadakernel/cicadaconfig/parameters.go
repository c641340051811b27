package cicadaconfig

import (
	"slices"
	"time"
)

const defaultRetention = 7 * 24 * time.Hour

// parameterKeys are the keys that a template may fix.
var parameterKeys = []string{
	"models", "adapters", "services", "urgency", "online-rate", "online-concurrency",
	"batch-concurrency", "batch-items-per-day", "batch-retention",
}

// given returns the keys that p sets.
func (p *Parameters) given() []string {
	set := map[string]bool{
		"models":              p.Models != nil,
		"adapters":            p.Adapters != nil,
		"services":            p.Services != nil,
		"urgency":             p.Urgency != "",
		"online-rate":         p.OnlineRate != nil,
		"online-concurrency":  p.OnlineConcurrency != 0,
		"batch-concurrency":   p.BatchConcurrency != 0,
		"batch-items-per-day": p.BatchItemsPerDay != 0,
		"batch-retention":     p.Retention != nil,
	}
	var keys []string
	for _, key := range parameterKeys {
		if set[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// over returns base with the fields that p sets in their place.
func (p Parameters) over(base Parameters) Parameters {
	merged := base
	if p.Models != nil {
		merged.Models = p.Models
	}
	if p.Adapters != nil {
		merged.Adapters = p.Adapters
	}
	if p.Services != nil {
		merged.Services = p.Services
	}
	if p.Urgency != "" {
		merged.Urgency = p.Urgency
	}
	if p.OnlineRate != nil {
		merged.OnlineRate = p.OnlineRate
	}
	if p.OnlineConcurrency != 0 {
		merged.OnlineConcurrency = p.OnlineConcurrency
	}
	if p.BatchConcurrency != 0 {
		merged.BatchConcurrency = p.BatchConcurrency
	}
	if p.BatchItemsPerDay != 0 {
		merged.BatchItemsPerDay = p.BatchItemsPerDay
	}
	if p.Retention != nil {
		merged.Retention = p.Retention
	}
	return merged
}

// An Account is a customer with its template's parameters filled in.
type Account struct {
	name      string
	suspended bool
	params    Parameters
}

// Name returns the customer's name.
func (a *Account) Name() string { return a.name }

// Suspended reports whether the customer's requests are refused.
func (a *Account) Suspended() bool { return a.suspended }

// Parameters returns the parameters in force, which must not be changed.
func (a *Account) Parameters() *Parameters { return &a.params }

// MayUseModel reports whether the customer's parameters list the model.
func (a *Account) MayUseModel(model string) bool { return slices.Contains(a.params.Models, model) }

// MayUseAdapter reports whether the customer's parameters list the adapter.
func (a *Account) MayUseAdapter(adapter string) bool {
	return slices.Contains(a.params.Adapters, adapter)
}

// MayUseService reports whether the customer's parameters list the service.
func (a *Account) MayUseService(service string) bool {
	return slices.Contains(a.params.Services, service)
}

// Urgency returns the level of the customer's online traffic.
func (a *Account) Urgency() int32 {
	if a.params.Urgency == "" {
		return UrgencyNormal.Level()
	}
	return a.params.Urgency.Level()
}

// Retention returns how long results of ended jobs stay readable.
func (a *Account) Retention() time.Duration {
	if a.params.Retention == nil {
		return defaultRetention
	}
	return time.Duration(*a.params.Retention)
}
