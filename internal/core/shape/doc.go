// Package shape holds tests of the structure of the source tree: the dependency
// rule between its areas, and the names that stay out of the product.
package shape
