// Package shape holds the test of the dependency rule between the areas of the
// source tree.
package shape
