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

// standIn is one handler and its address.
type standIn struct {
	name    string
	address string
	handler http.Handler
}

// builder is a section's settings, which make the stand-in's handler.
type builder interface {
	build() http.Handler
}

type logSection struct {
	AppendRate float64       `ini:"append_rate"`
	Retention  int           `ini:"retention"`
	Delay      time.Duration `ini:"delay"`
}

func (s *logSection) build() http.Handler {
	return logservice.New(logservice.Config{AppendRate: s.AppendRate, Retention: s.Retention, Delay: s.Delay})
}

type storeSection struct {
	// Rate is in bytes a second.
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
	// Books names the books that the section shares with others of that name.
	Books string `ini:"books"`

	shared map[string]*service.EffectLog
}

func (s *serviceSection) build() http.Handler {
	config := service.Config{Delay: s.Delay, Limit: s.Limit, NoReport: s.NoReport}
	if s.Books != "" {
		if s.shared[s.Books] == nil {
			s.shared[s.Books] = service.NewEffectLog()
		}
		config.Effects = s.shared[s.Books]
	}
	return service.New(config)
}

// newSection returns the defaults of a section by the first word of its name.
func newSection(name string, shared map[string]*service.EffectLog) builder {
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
		return &serviceSection{Limit: 16, shared: shared}
	default:
		return nil
	}
}

// load reads the stand-ins of a file.
func load(file string) ([]standIn, error) {
	source, err := ini.Load(file)
	if err != nil {
		return nil, errors.Wrap(err, "standins")
	}
	var list []standIn
	shared := map[string]*service.EffectLog{}
	for _, section := range source.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		s, err := loadSection(section, shared)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: [%s]", file, section.Name())
		}
		list = append(list, s)
	}
	return list, nil
}

func loadSection(section *ini.Section, shared map[string]*service.EffectLog) (standIn, error) {
	b := newSection(section.Name(), shared)
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

// checkKeys refuses keys that the section does not have.
func checkKeys(section *ini.Section, b builder) error {
	shape := ini.Empty()
	if err := ini.ReflectFrom(shape, b); err != nil {
		return err
	}
	known := append(shape.Section("").KeyStrings(), "listen")
	for _, key := range section.KeyStrings() {
		if !slices.Contains(known, key) {
			return errors.Newf("%s: unknown key", key)
		}
	}
	return nil
}
