package cicadaconfig

import (
	"slices"
	"time"
)

// defaultRetention is how long results stay readable if neither the customer nor its
// template sets batch-retention.
const defaultRetention = 7 * 24 * time.Hour

// parameterKeys are the keys of Parameters, which a template may list in fixed.
var parameterKeys = []string{
	"models", "adapters", "services", "urgency", "online-rate", "online-concurrency",
	"batch-concurrency", "batch-items-per-day", "batch-retention",
}

// definedKeys returns the keys of the fields that are set.
func (p *Parameters) definedKeys() []string {
	isSet := map[string]bool{
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
		if isSet[key] {
			keys = append(keys, key)
		}
	}
	return keys
}

// withDefaults returns the parameters with unset fields taken from defaults.
func (p Parameters) withDefaults(defaults Parameters) Parameters {
	merged := defaults
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

// A ResolvedCustomer is a customer whose unset parameters have been taken from its
// template.
type ResolvedCustomer struct {
	name      string
	suspended bool
	params    Parameters
}

// Name returns the customer's name.
func (c *ResolvedCustomer) Name() string { return c.name }

// Suspended reports whether the customer's requests are rejected.
func (c *ResolvedCustomer) Suspended() bool { return c.suspended }

// Parameters returns the resolved parameters, which must not be modified.
func (c *ResolvedCustomer) Parameters() *Parameters { return &c.params }

// MayUseModel reports whether the customer may use the model.
func (c *ResolvedCustomer) MayUseModel(model string) bool {
	return slices.Contains(c.params.Models, model)
}

// MayUseAdapter reports whether the customer may use the adapter.
func (c *ResolvedCustomer) MayUseAdapter(adapter string) bool {
	return slices.Contains(c.params.Adapters, adapter)
}

// MayUseService reports whether the customer may use the service.
func (c *ResolvedCustomer) MayUseService(service string) bool {
	return slices.Contains(c.params.Services, service)
}

// Urgency returns the urgency level of the customer's online traffic, by default
// that of UrgencyNormal.
func (c *ResolvedCustomer) Urgency() int32 {
	if c.params.Urgency == "" {
		return UrgencyNormal.Level()
	}
	return c.params.Urgency.Level()
}

// Retention returns how long the results of ended jobs stay readable, by default 7
// days.
func (c *ResolvedCustomer) Retention() time.Duration {
	if c.params.Retention == nil {
		return defaultRetention
	}
	return time.Duration(*c.params.Retention)
}
