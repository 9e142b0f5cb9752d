// Package formstest reads messages and records that earlier builds have written, which are kept in
// testdata/forms, a folder a build.
package formstest

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Recorded are the files of all builds whose names match a pattern, by the build and the name.
func Recorded(t testing.TB, pattern string) map[string][]byte {
	t.Helper()
	root := folder(t)
	paths, err := filepath.Glob(filepath.Join(root, "*", pattern))
	require.NoError(t, err)
	require.NotEmpty(t, paths, "no build has recorded %s", pattern)
	files := make(map[string][]byte, len(paths))
	for _, path := range paths {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		name, err := filepath.Rel(root, path)
		require.NoError(t, err)
		files[name] = content
	}
	return files
}

// folder is where the forms of all builds are kept.
func folder(t testing.TB) string {
	_, self, _, ok := runtime.Caller(0)
	require.True(t, ok)
	return filepath.Join(filepath.Dir(self), "..", "..", "..", "testdata", "forms")
}
