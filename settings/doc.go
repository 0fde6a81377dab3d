// Package settings holds the tree of settings that operators share, from
// defaults through regions, availability zones and services down to teams.
package settings
