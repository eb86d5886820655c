package config

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
)

// Standin is the settings file of the stand-ins. A number of 0 is the stand-in's default.
type Standin struct {
	// ControlAddress serves the counters and the fault injection.
	ControlAddress string        `toml:"control_address"`
	LogAddress     string        `toml:"log_address"`
	VMListAddress  string        `toml:"vm_list_address"`
	Engine         StandinEngine `toml:"engine"`
	Log            StandinLog    `toml:"log"`
	Store          StandinStore  `toml:"store"`
	VMList         StandinVMList `toml:"vm_list"`
	// VMs are the backend servers to start and the entry VMs to list.
	VMs []event.VM `toml:"vms"`
}

// StandinEngine configures all model engines.
type StandinEngine struct {
	// StepMS is the time between two tokens of a request that is alone in its batch;
	// StepPerRequestMS is added for each other request in the batch.
	StepMS           float64 `toml:"step_ms"`
	StepPerRequestMS float64 `toml:"step_per_request_ms"`
	// PrefillMSPerToken is the time to process a prompt token that is not in the prefix
	// cache.
	PrefillMSPerToken float64 `toml:"prefill_ms_per_token"`
	// ColdStartMS is the time from an engine's start until it is ready.
	ColdStartMS clock.Millis `toml:"cold_start_ms"`
	// ReportLagMS is the age of the load figures in a report.
	ReportLagMS clock.Millis `toml:"report_lag_ms"`
}

// StandinLog configures the log service.
type StandinLog struct {
	AppendsPerSecond float64 `toml:"appends_per_second"`
	// RetentionMS is the time for which a record is kept; 0 keeps all.
	RetentionMS clock.Millis `toml:"retention_ms"`
}

// StandinStore configures the weight store.
type StandinStore struct {
	LoadsPerSecond float64 `toml:"loads_per_second"`
	// FullSpeed is the number of loads in flight up to which each takes LoadTimeMS;
	// beyond it a load takes proportionally longer.
	FullSpeed  int          `toml:"full_speed"`
	LoadTimeMS clock.Millis `toml:"load_time_ms"`
}

// StandinVMList configures the list of VMs.
type StandinVMList struct {
	// LagMS is the time until a change is visible in the list.
	LagMS clock.Millis `toml:"lag_ms"`
}

func checkStandin(s *Standin, c *checker) {
	c.optionalAddress("control_address", s.ControlAddress)
	c.optionalAddress("log_address", s.LogAddress)
	c.optionalAddress("vm_list_address", s.VMListAddress)
	c.atLeast("engine.step_ms", s.Engine.StepMS, 0)
	c.atLeast("engine.step_per_request_ms", s.Engine.StepPerRequestMS, 0)
	c.atLeast("engine.prefill_ms_per_token", s.Engine.PrefillMSPerToken, 0)
	c.duration("engine.cold_start_ms", s.Engine.ColdStartMS, maxTimeout)
	c.duration("engine.report_lag_ms", s.Engine.ReportLagMS, maxTimeout)
	c.atLeast("log.appends_per_second", s.Log.AppendsPerSecond, 0)
	c.duration("log.retention_ms", s.Log.RetentionMS, 24*clock.Hour)
	c.atLeast("store.loads_per_second", s.Store.LoadsPerSecond, 0)
	c.atLeast("store.full_speed", float64(s.Store.FullSpeed), 0)
	c.duration("store.load_time_ms", s.Store.LoadTimeMS, maxTimeout)
	c.duration("vm_list.lag_ms", s.VMList.LagMS, maxTimeout)
	checkVMs(s.VMs, false, c)
}
