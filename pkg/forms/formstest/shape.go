package formstest

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"headhill.example/headhill/pkg/forms"
)

// writeShapes is the variable of the environment that has CheckShape write what it would compare.
const writeShapes = "HEADHILL_WRITE_FORMS"

// CheckShape requires that the fields of a form are those that are kept for this build's level. A form
// that has changed needs a level of its own, so that boxes of different builds can tell.
func CheckShape(t *testing.T, name string, values ...any) {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "level %d\n", forms.Level)
	for _, v := range values {
		if m, ok := v.(proto.Message); ok {
			writeMessage(&b, m.ProtoReflect().Descriptor())
			continue
		}
		writeType(&b, reflect.TypeOf(v), "")
	}
	path := filepath.Join(folder(t), "shapes", name+".txt")
	if os.Getenv(writeShapes) != "" {
		require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
	}
	kept, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(kept), b.String(), "the form has changed: add a level to package forms if boxes act on what is new, and run this test with %s=1", writeShapes)
}

// writeType lists the fields of a type and of what they hold, as JSON names them.
func writeType(b *strings.Builder, t reflect.Type, indent string) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice || t.Kind() == reflect.Map {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || t.PkgPath() == "time" {
		return
	}
	for f := range fieldsOf(t) {
		if !f.IsExported() {
			continue
		}
		fmt.Fprintf(b, "%s%s %s %s\n", indent, f.Name, f.Type, f.Tag.Get("json"))
		writeType(b, f.Type, indent+"  ")
	}
}

// fieldsOf are the fields of a struct in order.
func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// writeMessage lists the fields of a protobuf message and of the messages that they hold.
func writeMessage(b *strings.Builder, d protoreflect.MessageDescriptor) {
	fmt.Fprintf(b, "message %s\n", d.FullName())
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		fmt.Fprintf(b, "  %d %s %s %s\n", f.Number(), f.Name(), f.Cardinality(), f.Kind())
		if f.Message() != nil {
			writeMessage(b, f.Message())
		}
	}
}
