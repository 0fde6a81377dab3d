package main

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/hostlist"
	"mimosastand.example/mimosastand/standin/logservice"
	"mimosastand.example/mimosastand/standin/service"
	"mimosastand.example/mimosastand/standin/store"
)

// standIn is one stand-in: its handler and the address to serve it at.
type standIn struct {
	name    string
	address string
	handler http.Handler
}

// builder is the settings of a section, from which it builds the stand-in's handler.
type builder interface {
	build() http.Handler
}

type logSection struct {
	// AppendRate is in appends per second, Retention in records per stream.
	AppendRate float64       `ini:"append_rate"`
	Retention  int           `ini:"retention"`
	Delay      time.Duration `ini:"delay"`
}

func (s *logSection) build() http.Handler {
	return logservice.New(logservice.Config{AppendRate: s.AppendRate, Retention: s.Retention, Delay: s.Delay})
}

type storeSection struct {
	// Rate is in bytes per second.
	Rate float64 `ini:"rate"`
}

func (s *storeSection) build() http.Handler {
	return store.New(store.Config{Rate: s.Rate})
}

type hostsSection struct {
	Lag time.Duration `ini:"lag"`
}

func (s *hostsSection) build() http.Handler {
	return hostlist.New(hostlist.Config{Lag: s.Lag})
}

type engineSection struct {
	WarmLimit    int           `ini:"warm_limit"`
	ColdLimit    int           `ini:"cold_limit"`
	ColdStart    time.Duration `ini:"cold_start"`
	TokenDelay   time.Duration `ini:"token_delay"`
	PrefillDelay time.Duration `ini:"prefill_delay"`
	Fencing      bool          `ini:"fencing"`
	ReportLag    time.Duration `ini:"report_lag"`
	Role         string        `ini:"role"`
	Digest       string        `ini:"digest"`
}

func (s *engineSection) build() http.Handler {
	return engine.New(engine.Config{
		WarmLimit: s.WarmLimit, ColdLimit: s.ColdLimit, ColdStart: s.ColdStart,
		TokenDelay: s.TokenDelay, PrefillDelay: s.PrefillDelay, Fencing: s.Fencing,
		ReportLag: s.ReportLag, Role: s.Role, Digest: contract.Digest(s.Digest),
	})
}

type serviceSection struct {
	Delay    time.Duration `ini:"delay"`
	Limit    int           `ini:"limit"`
	NoReport bool          `ini:"no_report"`
	// EffectLog names the log of effects that this back end shares with those in other
	// sections that give the same name.
	EffectLog string `ini:"books"`

	sharedLogs map[string]*service.EffectLog
}

func (s *serviceSection) build() http.Handler {
	config := service.Config{Delay: s.Delay, Limit: s.Limit, NoReport: s.NoReport}
	if s.EffectLog != "" {
		if s.sharedLogs[s.EffectLog] == nil {
			s.sharedLogs[s.EffectLog] = service.NewEffectLog()
		}
		config.Effects = s.sharedLogs[s.EffectLog]
	}
	return service.New(config)
}

// newSection returns the default settings of a section by the first word of its name, or
// nil if the word is unknown.
func newSection(name string, sharedLogs map[string]*service.EffectLog) builder {
	kind, _, _ := strings.Cut(name, " ")
	switch kind {
	case "log":
		return &logSection{AppendRate: 400, Retention: 100000}
	case "store", "origin":
		return &storeSection{}
	case "hosts":
		return &hostsSection{}
	case "engine":
		return &engineSection{WarmLimit: 8, ColdLimit: 2, ColdStart: 2 * time.Second, TokenDelay: 20 * time.Millisecond, PrefillDelay: 50 * time.Millisecond, ReportLag: 500 * time.Millisecond}
	case "service":
		return &serviceSection{Limit: 16, sharedLogs: sharedLogs}
	default:
		return nil
	}
}

// loadConfig reads the stand-ins in file.
func loadConfig(file string) ([]standIn, error) {
	source, err := ini.Load(file)
	if err != nil {
		return nil, errors.Wrap(err, "standins")
	}
	var list []standIn
	sharedLogs := map[string]*service.EffectLog{}
	for _, section := range source.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		s, err := loadSection(section, sharedLogs)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: [%s]", file, section.Name())
		}
		list = append(list, s)
	}
	return list, nil
}

// loadSection reads the stand-in in section.
func loadSection(section *ini.Section, sharedLogs map[string]*service.EffectLog) (standIn, error) {
	b := newSection(section.Name(), sharedLogs)
	if b == nil {
		return standIn{}, errors.New("unknown section")
	}
	if err := checkKeys(section, b); err != nil {
		return standIn{}, err
	}
	if err := section.StrictMapTo(b); err != nil {
		return standIn{}, err
	}
	address := section.Key("listen").String()
	host, _, err := net.SplitHostPort(address)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return standIn{}, errors.Newf("listen = %q: must be a loopback address and port", address)
	}
	return standIn{name: section.Name(), address: address, handler: b.build()}, nil
}

// checkKeys fails if section has a key that b does not define.
func checkKeys(section *ini.Section, b builder) error {
	fields := ini.Empty()
	if err := ini.ReflectFrom(fields, b); err != nil {
		return err
	}
	known := append(fields.Section("").KeyStrings(), "listen")
	for _, key := range section.KeyStrings() {
		if !slices.Contains(known, key) {
			return errors.Newf("%s: unknown key", key)
		}
	}
	return nil
}
