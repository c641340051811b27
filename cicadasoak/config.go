package main

import "fmt"

const (
	host         = "desk.example"
	streamPrefix = "/draft/"
	batchPrefix  = "/lot/"
	markerPrefix = "/marker-"
)

// setConfig writes a version of the configuration. It has a route for each version up to its
// own, so that callers can tell the version in force.
func (d *deployment) setConfig(version int) {
	routes := []map[string]any{
		route("stream", "stream", streamPrefix, map[string]any{"CanResume": true, "GapAimMs": 400}),
		route("lot", "batch", batchPrefix, map[string]any{"DueMs": 18000, "MaxWaitS": 60}),
	}
	for n := max(1, version-5); n <= version; n++ {
		routes = append(routes, route(fmt.Sprint("marker-", n), "safe", markerPath(n), nil))
	}
	config := map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 230, "Engine": map[string]any{"Slots": endpointSlots}}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	}
	if d.cfg.customers != nil {
		config["Routes"] = append(routes, route("plain", "safe", plainPrefix, nil), route("public", "safe", publicPrefix, map[string]any{"Public": true}))
		config["Tenants"] = d.cfg.customers.entries()
	}
	d.store.put("config", "main", config)
}

func markerPath(version int) string { return fmt.Sprintf("%s%d/", markerPrefix, version) }

func route(name, kind, prefix string, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": 5000, "GoalMs": 300, "Priority": 0,
		"Service": service, "Attempts": 3,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}
