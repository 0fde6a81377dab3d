// Package machine is the parent of the packages that run on the hosts of the system.
// Package entry serves callers and routes their requests; package target runs beside one
// back end and passes requests on to it. Package feed follows the topics of the
// platform's store, package peers links the processes to each other, and package
// weightcache brings the weights of models into each zone.
package machine
