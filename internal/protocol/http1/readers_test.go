package http1

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

// TestEveryReaderJudges guards against answers that are read by net/http alone in a part
// of the product.
func TestEveryReaderJudges(t *testing.T) {
	const root = "../../.."
	allowed := map[string]bool{
		// Each of these wraps the transport or the connection.
		"internal/protocol/backend/backend.go": true, "internal/protocol/engine/engine.go": true,
		"internal/protocol/operator/operator.go": true, "internal/transport/client/client.go": true,
		"internal/transport/client/once.go": true, "internal/coordination/entry/agents.go": true,
		"internal/coordination/entry/new.go": true, "internal/coordination/runner/runner.go": true,
	}
	// Stand-ins and the review are no part of the product.
	outside := []string{"internal/standin", "platform/standin", "platform/cmd/oleanderrack-platform-standin", "review", "target"}
	direct := map[string]bool{"ReadResponse": true, "DefaultClient": true, "DefaultTransport": true, "Get": true, "Head": true, "Post": true, "PostForm": true}
	var found []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		if d.IsDir() {
			for _, folder := range outside {
				if name == folder {
					return filepath.SkipDir
				}
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasPrefix(name, "internal/protocol/http1/") || allowed[name] {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.SelectorExpr:
				if isHTTP(n.X) && direct[n.Sel.Name] {
					found = append(found, name+": http."+n.Sel.Name)
				}
			case *ast.CompositeLit:
				if s, ok := n.Type.(*ast.SelectorExpr); ok && isHTTP(s.X) && (s.Sel.Name == "Transport" || (s.Sel.Name == "Client" && !hasField(n, "Transport"))) {
					found = append(found, name+": http."+s.Sel.Name+"{}")
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string(nil), found); diff != "" {
		t.Errorf("answers are not judged by this package: %s", diff)
	}
}

func isHTTP(x ast.Expr) bool {
	name, ok := x.(*ast.Ident)
	return ok && name.Name == "http"
}

func hasField(lit *ast.CompositeLit, name string) bool {
	for _, e := range lit.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			if key, ok := kv.Key.(*ast.Ident); ok && key.Name == name {
				return true
			}
		}
	}
	return false
}
