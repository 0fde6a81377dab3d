// Package reload watches the key and certificate files of a process and loads replaced
// files without a restart.
//
// New credentials apply to connections that are made from then on; open connections
// stay. If the files are unreadable or their certificate is expired or has the wrong
// role, the previous credentials stay in use, so that a partially written file does no
// harm. The log warns when the certificate in use is close to its expiry.
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
	// DefaultInterval is the time between two checks of the files.
	DefaultInterval = 10 * time.Second
	// expiryWarningPeriod is how long before the expiry of a certificate warnings begin.
	expiryWarningPeriod = 24 * time.Hour
	// expiryWarningInterval is the time between two warnings about the expiry.
	expiryWarningInterval = time.Hour
)

// Credentials are the credentials that a Watcher updates.
type Credentials interface {
	// Reload reads the files again. If it fails, the previous credentials stay in use.
	Reload(now time.Time) error
}

var _ Credentials = (*link.Credentials)(nil)

// Watcher checks files and reloads the credentials when the files have changed. Its
// methods must not be called concurrently.
type Watcher struct {
	creds  Credentials
	files  link.CredentialFiles
	scope  tally.Scope
	logger log.Interface
	// lastSum is the hash of the files when they were last loaded or refused.
	lastSum [sha256.Size]byte
	// expiresAt is when the certificate in use expires; zero if unknown.
	expiresAt time.Time
	// nextWarningAt is the earliest time of the next warning about the expiry.
	nextWarningAt time.Time
}

// New returns a watcher for credentials that were loaded from files just now.
func New(creds Credentials, files link.CredentialFiles, scope tally.Scope, logger log.Interface) *Watcher {
	w := &Watcher{creds: creds, files: files, scope: scope.SubScope("credentials"), logger: logger}
	if sum, cert, err := w.readFiles(); err == nil {
		w.lastSum, w.expiresAt = sum, certificateExpiry(cert)
	}
	return w
}

// Run calls Check at every interval until ctx ends, and returns ctx's error.
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

// Check reads the files once and reloads the credentials if their content has changed.
func (w *Watcher) Check(now time.Time) {
	sum, cert, err := w.readFiles()
	if err != nil {
		w.recordFailure(err)
	} else if sum != w.lastSum {
		w.lastSum = sum
		w.reload(now, cert)
	}
	w.reportValidity(now)
}

func (w *Watcher) reload(now time.Time, cert []byte) {
	if err := w.creds.Reload(now); err != nil {
		w.recordFailure(err)
		return
	}
	w.expiresAt = certificateExpiry(cert)
	w.scope.Counter("reloads").Inc(1)
	w.logger.Infof("credentials reloaded, valid until %s", w.expiresAt.UTC().Format(time.RFC3339))
}

func (w *Watcher) recordFailure(err error) {
	w.scope.Counter("reload_failures").Inc(1)
	w.logger.Errorf("credential files unusable, previous credentials stay in use: %v", err)
}

// reportValidity updates the metric of the time for which the certificate in use is still
// valid, and logs a warning if it is close to its expiry.
func (w *Watcher) reportValidity(now time.Time) {
	if w.expiresAt.IsZero() {
		return
	}
	validFor := w.expiresAt.Sub(now)
	w.scope.Gauge("valid_seconds").Update(validFor.Seconds())
	if validFor < expiryWarningPeriod && !now.Before(w.nextWarningAt) {
		w.nextWarningAt = now.Add(expiryWarningInterval)
		w.logger.Warnf("certificate expires in %s", validFor.Round(time.Second))
	}
}

// readFiles returns a hash over all files and the content of the certificate file.
func (w *Watcher) readFiles() ([sha256.Size]byte, []byte, error) {
	hash := sha256.New()
	var cert []byte
	for _, file := range []string{w.files.CA, w.files.Cert, w.files.Key} {
		data, err := os.ReadFile(file)
		if err != nil {
			return [sha256.Size]byte{}, nil, errors.Wrap(err, "read credential file")
		}
		sum := sha256.Sum256(data)
		_, _ = hash.Write(sum[:]) // never fails
		if file == w.files.Cert {
			cert = data
		}
	}
	return [sha256.Size]byte(hash.Sum(nil)), cert, nil
}

// certificateExpiry returns the end of the validity of a certificate in PEM form, or the
// zero time if the certificate cannot be parsed.
func certificateExpiry(data []byte) time.Time {
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
