// Package reload watches the key and certificate files of a process and puts
// replaced ones into use without a restart.
//
// New material is used for connections made from then on; connections that are
// open stay. Files that are unreadable, expired or of the wrong role are refused
// and the former material stays in use, so that a half-written file does no
// harm. The owner is told when the material in use is close to its end.
package reload

import (
	"context"
	"crypto/sha256"
	"crypto/x509"
	"encoding/pem"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/link"
)

const (
	// DefaultInterval is the time between two looks at the files.
	DefaultInterval = 10 * time.Second
	// warnBefore is how long before the end of a certificate warnings begin.
	warnBefore = 24 * time.Hour
	// warnEvery spaces the warnings about one certificate.
	warnEvery = time.Hour
)

// Credentials are what a Watcher keeps up to date.
type Credentials interface {
	// Reload reads the files again; on failure the former material stays in use.
	Reload(now time.Time) error
}

var _ Credentials = (*link.Credentials)(nil)

// Watcher looks at files and reloads credentials whose files changed.
type Watcher struct {
	creds  Credentials
	files  link.CredentialFiles
	scope  tally.Scope
	logger log.Interface
	// seen is the content that was last loaded, or refused.
	seen [sha256.Size]byte
	// ends is when the certificate in use expires.
	ends time.Time
	// nextWarning is when the log may tell again how long the certificate is valid.
	nextWarning time.Time
}

// New returns a watcher of credentials that were loaded from files just now.
func New(creds Credentials, files link.CredentialFiles, scope tally.Scope, logger log.Interface) *Watcher {
	w := &Watcher{creds: creds, files: files, scope: scope.SubScope("credentials"), logger: logger}
	if sum, cert, err := w.read(); err == nil {
		w.seen, w.ends = sum, expiry(cert)
	}
	return w
}

// Run looks every interval until ctx ends, and returns ctx's error.
func (w *Watcher) Run(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			w.Check(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Check looks once at the files and reloads them if their content changed.
func (w *Watcher) Check(now time.Time) {
	sum, cert, err := w.read()
	if err != nil {
		w.refused(err)
	} else if sum != w.seen {
		w.seen = sum
		w.reload(now, cert)
	}
	w.warn(now)
}

func (w *Watcher) reload(now time.Time, cert []byte) {
	if err := w.creds.Reload(now); err != nil {
		w.refused(err)
		return
	}
	w.ends = expiry(cert)
	w.scope.Counter("reloads").Inc(1)
	w.logger.Infof("credentials reloaded, valid until %s", w.ends.UTC().Format(time.RFC3339))
}

func (w *Watcher) refused(err error) {
	w.scope.Counter("reload_failures").Inc(1)
	w.logger.Errorf("credentials kept, the files are unusable: %v", err)
}

// warn tells how long the certificate in use is still valid.
func (w *Watcher) warn(now time.Time) {
	if w.ends.IsZero() {
		return
	}
	left := w.ends.Sub(now)
	w.scope.Gauge("valid_seconds").Update(left.Seconds())
	if left < warnBefore && !now.Before(w.nextWarning) {
		w.nextWarning = now.Add(warnEvery)
		w.logger.Warnf("the certificate is valid for %s more", left.Round(time.Second))
	}
}

// read returns a hash over all files and the certificate file.
func (w *Watcher) read() ([sha256.Size]byte, []byte, error) {
	hash := sha256.New()
	var cert []byte
	for _, file := range []string{w.files.CA, w.files.Cert, w.files.Key} {
		data, err := os.ReadFile(file)
		if err != nil {
			return [sha256.Size]byte{}, nil, errors.Wrap(err, "read credentials")
		}
		sum := sha256.Sum256(data)
		_, _ = hash.Write(sum[:]) // never fails
		if file == w.files.Cert {
			cert = data
		}
	}
	return [sha256.Size]byte(hash.Sum(nil)), cert, nil
}

// expiry returns the end of a certificate's validity, or zero if it cannot be
// read.
func expiry(data []byte) time.Time {
	block, _ := pem.Decode(data)
	if block == nil {
		return time.Time{}
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return time.Time{}
	}
	return cert.NotAfter
}
