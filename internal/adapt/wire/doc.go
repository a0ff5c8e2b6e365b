// Package wire holds the generated protobuf messages between routers and
// sidecars, and between routers.
package wire
