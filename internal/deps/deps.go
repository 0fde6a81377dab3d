// Package deps keeps the project's libraries in go.mod while the packages that
// use them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/apex/log"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/cockroachdb/errors"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/integrii/flaggy"
	_ "github.com/kataras/iris/v12"
	_ "github.com/quic-go/quic-go"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "gopkg.in/ini.v1"
	_ "lukechampine.com/blake3"
	_ "pgregory.net/rapid"
)
