package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
	"mimosastand.example/mimosastand/zone/targetreport"
)

// applyEngineStatus applies what the process beside an engine reports of it, and keeps it for other
// entries. It reports whether these are to know at once.
func (fs *fleetState) applyEngineStatus(now time.Time, e *contract.EngineStatus) (hasNews bool) {
	status := roster.Status{
		Version:  e.Version,
		Ready:    e.Up && e.Version > 0 && fs.isWhole(e),
		Changing: e.Changing,
		Load:     int(e.Load),
		HasLoad:  e.HasLoad,
		Number:   e.Number,
	}
	fs.roster.Report(now, e.Address, e.Born, status)
	report := targetreport.Report{Key: roster.ReportKeyOf(e.Address, e.Born), Status: status, At: fs.bootNow()}
	hasNews = fs.targetReports.HasNews(report)
	fs.targetReports.Observe(report)
	return hasNews
}

// isWhole reports whether an engine has loaded as many layers as its model has, as far as both are known.
func (fs *fleetState) isWhole(e *contract.EngineStatus) bool {
	m := fs.roster.ByAddress(e.Address)
	if m == nil || e.Layers == 0 {
		return true
	}
	layers := fs.modelLayers(m.Service)
	return layers == 0 || int(e.Layers) == layers
}

// modelLayers returns the number of layers of a service's model; 0 if it is not known.
func (fs *fleetState) modelLayers(service contract.ServiceName) int {
	if fs.manifest == nil {
		return 0
	}
	return fs.manifest.ModelLayers(service)
}

// applyTargetReports applies the reports on engines that another entry passes on. They are passed on
// with regular heartbeats only.
func (fs *fleetState) applyTargetReports(now time.Time, reports []contract.TargetReport) {
	bootNow := fs.bootNow()
	for _, r := range fs.targetReports.ApplyReports(bootNow, reports) {
		fs.roster.ApplyRelayed(r.Key, now.Add(r.At.Sub(bootNow)), r.Status)
	}
}

// reportsFor lists the reports on engines, for a heartbeat to an entry of a region.
func (fs *fleetState) reportsFor(region contract.RegionName) []contract.TargetReport {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := fs.bootNow()
	if region == fs.process.Region {
		return fs.targetReports.Reports(now)
	}
	return fs.targetReports.RemoteReports(now, func(key roster.ReportKey) bool {
		m := fs.roster.ByReportKey(key)
		return m != nil && fs.process.Fleet.Zones[m.Zone] == fs.process.Region
	})
}
