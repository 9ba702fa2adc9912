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
	repositoryRoot   = "../../.."
	architecturePage = repositoryRoot + "/docs/architecture.md"
)

// qualifiedName matches `package.Name` and `package.Type.Method` in backticks.
var qualifiedName = regexp.MustCompile("`([a-z]+)\\.([A-Za-z]+(?:\\.[A-Za-z]+)?)`")

// TestArchitecturePageNamesExistingCode guards against a page that still names an item after it was
// renamed or removed.
func TestArchitecturePageNamesExistingCode(t *testing.T) {
	c := qt.New(t)
	body, err := os.ReadFile(architecturePage)
	c.Assert(err, qt.IsNil)
	names := qualifiedName.FindAllStringSubmatch(string(body), -1)
	c.Assert(len(names) > 30, qt.IsTrue, qt.Commentf("%d names", len(names)))
	declaredNames := map[string]map[string]bool{}
	for _, name := range names {
		packageName, item := name[1], name[2]
		if declaredNames[packageName] == nil {
			declaredNames[packageName] = declarations(c, filepath.Join(repositoryRoot, "internal", packageName))
		}
		c.Check(declaredNames[packageName][item], qt.IsTrue, qt.Commentf("%s.%s does not exist", packageName, item))
	}
}

// declarations returns the names of the types, functions and methods that a package declares, methods
// as Type.Method. It does not include methods that a type gets from an embedded type.
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
			addDeclaredNames(names, declaration)
		}
	}
	return names
}

// addDeclaredNames adds the names of the types, functions and methods in a declaration to names.
func addDeclaredNames(names map[string]bool, declaration ast.Decl) {
	switch typedDeclaration := declaration.(type) {
	case *ast.FuncDecl:
		names[receiverPrefix(typedDeclaration)+typedDeclaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range typedDeclaration.Specs {
			if typeSpec, isType := spec.(*ast.TypeSpec); isType {
				names[typeSpec.Name.Name] = true
			}
		}
	}
}

// receiverPrefix returns "Type." for a method of Type and "" for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiverType := function.Recv.List[0].Type
	if pointer, isPointer := receiverType.(*ast.StarExpr); isPointer {
		receiverType = pointer.X
	}
	if named, isNamed := receiverType.(*ast.Ident); isNamed {
		return named.Name + "."
	}
	return ""
}
