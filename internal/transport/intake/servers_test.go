package intake

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestServersAreBuiltByListeners guards against a server of the product that is built
// without NewServer, and whose requests can end in an empty success again.
func TestServersAreBuiltByListeners(t *testing.T) {
	const root = "../../.."
	// Stand-ins play other systems.
	standins := map[string]bool{"internal/standin": true, "platform/standin": true, "review": true}
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (standins[name] || strings.HasPrefix(entry.Name(), ".") && name != ".") {
			return filepath.SkipDir
		}
		if filepath.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CompositeLit:
				if isOf(n.Type, "http", "Server") {
					found = append(found, name)
				}
			case *ast.CallExpr:
				for _, f := range []string{"ListenAndServe", "ListenAndServeTLS", "Serve", "ServeTLS"} {
					if isOf(n.Fun, "http", f) {
						found = append(found, name)
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"internal/transport/intake/intake.go"}, found); diff != "" {
		t.Error(diff)
	}
}

// isOf reports whether an expression is a name of a package.
func isOf(e ast.Expr, pkg, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok || s.Sel.Name != name {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == pkg
}
