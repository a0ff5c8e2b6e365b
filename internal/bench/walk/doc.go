// Package walk holds the test that runs the commands of docs/walkthrough.md.
package walk
