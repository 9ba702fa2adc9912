// Package pages has the test that holds docs/architecture.md to the code: each name of a package's
// item there exists.
package pages
