// Package wire holds the generated messages between a router and a sidecar.
package wire
