package pages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	root = "../../.."
	page = root + "/docs/architecture.md"
)

// codeName matches `package.Name` and `package.Type.Method` in backticks.
var codeName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`")

func TestArchitectureNamesWhatExists(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	names := codeName.FindAllStringSubmatch(string(body), -1)
	c.Assert(len(names) > 30, qt.IsTrue, qt.Commentf("%d names", len(names)))
	declared := map[string]map[string]bool{}
	for _, name := range names {
		packageName, item := name[1], name[2]
		if declared[packageName] == nil {
			declared[packageName] = declarations(c, filepath.Join(root, "internal", packageName))
		}
		c.Check(declared[packageName][item], qt.IsTrue, qt.Commentf("%s.%s does not exist", packageName, item))
	}
}

// declarations returns the types, functions and methods of a package, methods as Type.Method; a
// method of an embedded type is not seen.
func declarations(c *qt.C, folder string) map[string]bool {
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	c.Assert(err, qt.IsNil)
	names := map[string]bool{}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		c.Assert(err, qt.IsNil)
		for _, declaration := range file.Decls {
			addNames(names, declaration)
		}
	}
	return names
}

func addNames(names map[string]bool, declaration ast.Decl) {
	switch declared := declaration.(type) {
	case *ast.FuncDecl:
		names[receiver(declared)+declared.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declared.Specs {
			if typed, isType := spec.(*ast.TypeSpec); isType {
				names[typed.Name.Name] = true
			}
		}
	}
}

// receiver returns "Type." for a method and "" for a function.
func receiver(declared *ast.FuncDecl) string {
	if declared.Recv == nil {
		return ""
	}
	typed := declared.Recv.List[0].Type
	if pointer, isPointer := typed.(*ast.StarExpr); isPointer {
		typed = pointer.X
	}
	if named, isNamed := typed.(*ast.Ident); isNamed {
		return named.Name + "."
	}
	return ""
}
