// Package formstest checks wire formats and reads the messages and records that earlier builds have
// written, which are kept in testdata/forms with a directory for each build.
package formstest

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Recorded returns the files of all builds whose names match a pattern, keyed by build and name.
func Recorded(t testing.TB, pattern string) map[string][]byte {
	t.Helper()
	root := formsDir(t)
	paths, err := filepath.Glob(filepath.Join(root, "*", pattern))
	require.NoError(t, err)
	require.NotEmpty(t, paths, "no recorded file matches %s", pattern)
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

// formsDir returns the directory of the recorded forms.
func formsDir(t testing.TB) string {
	_, self, _, ok := runtime.Caller(0)
	require.True(t, ok)
	return filepath.Join(filepath.Dir(self), "..", "..", "..", "testdata", "forms")
}
