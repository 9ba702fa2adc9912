// Package pages contains a test that checks docs/architecture.md against the code: each item of a
// package that the page names must exist.
package pages
