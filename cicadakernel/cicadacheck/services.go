package cicadacheck

func (c *checker) checkServices() {
	services := c.config.Services()
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = s.Name
	}
	c.checkNames(Services, names, "the last one takes effect")
	used := make(map[string]bool)
	for _, r := range c.config.Routes() {
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i, s := range services {
		at := Place{}.element(Services, i)
		if s.Name != "" && !used[s.Name] {
			c.add(Warning, at.field(Name), "unused-service", "no route names service %q", s.Name)
		}
		if s.MaxConnections > 0 && s.MaxConnections < s.Slots {
			c.add(Warning, at.field(Connections), "connections-below-slots", "%d connections cannot use the %d slots of an endpoint", s.MaxConnections, s.Slots)
		}
	}
}
