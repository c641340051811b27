package cicadaprocess

import (
	"context"
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadaretry"
)

const gaugeInterval = time.Second

// updateGauges sets the gauges once every gaugeInterval until ctx is done.
func (n *Node) updateGauges(ctx context.Context) {
	for cicadaretry.Sleep(ctx, gaugeInterval) {
		n.setGauges()
	}
}

func (n *Node) setGauges() {
	scope := n.process.Scope()
	scope.Gauge("store_answer_age_seconds").Update(n.link.Age().Seconds())
	if c := n.config.Load(); c != nil {
		scope.Gauge("configuration_version").Update(float64(c.Version()))
	}
	scope.Gauge("peers_live").Update(float64(len(n.group.Live(cicadapeer.RoleEntry)) + len(n.group.Live(cicadapeer.RoleOwner))))
	scope.Gauge("log_lines_dropped").Update(float64(n.process.DroppedLogLines()))
	n.requestMemory.UpdateGauge()
	n.receivedMemory.UpdateGauge()
	for _, load := range n.table.Loads() {
		service := scope.Tagged(map[string]string{"service": load.Service})
		service.Gauge("slots").Update(float64(load.Slots))
		service.Gauge("slots_idle").Update(float64(load.Idle))
		service.Gauge("requests_waiting").Update(float64(load.Waiting))
	}
}
