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

// writeShapes names the environment variable that makes CheckShape rewrite the recorded shapes.
const writeShapes = "HEADHILL_WRITE_FORMS"

// CheckShape requires that the fields of a wire format match those recorded for this build's level.
// A changed format needs a new level, so that boxes of different builds can tell them apart.
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
	path := filepath.Join(formsDir(t), "shapes", name+".txt")
	if os.Getenv(writeShapes) != "" {
		require.NoError(t, os.WriteFile(path, []byte(b.String()), 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(recorded), b.String(), "the wire format has changed: add a level to package forms if boxes act on the new fields, and run this test with %s=1", writeShapes)
}

// writeType lists the fields of a type and of nested types, with their JSON tags.
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

// fieldsOf iterates over the fields of a struct in order.
func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// writeMessage lists the fields of a protobuf message and of nested messages.
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
