// Package config reads the INI file of one process and checks every value.
//
// A file is described by a schema of fields. Load reports all faults of a file
// at once, each with file, section, key, value and what is allowed; unknown
// sections and keys are faults. The settings that operators share through the
// platform's log are not here but in package settings.
package config
