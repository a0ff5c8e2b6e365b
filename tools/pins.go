// Package tools pins the tools that the build uses. They are declared in go.mod.
package tools
