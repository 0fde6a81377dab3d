package contract

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
)

// TestEveryReasonIsExplained guards against a reason that was added without an
// explanation.
func TestEveryReasonIsExplained(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		found++
		if Reason(value).Explain() == "" {
			t.Errorf("%s: Explain() is empty, want an explanation", spec.Names[0])
		}
		return true
	})
	if found != len(explanations) {
		t.Errorf("%d reasons have %d explanations, want one each", found, len(explanations))
	}
}
