// Package config reads the INI file of one process and validates every value.
//
// A schema of fields describes the file. Load reports all faults of a file at
// once, each with file, section, key, value and what is allowed; unknown
// sections and keys are faults. The settings that operators share through the
// platform's log are in package settings.
package config
