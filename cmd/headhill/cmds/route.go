package cmds

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"headhill.example/headhill/pkg/directory"
	"headhill.example/headhill/pkg/duties"
	"headhill.example/headhill/pkg/lease"
	"headhill.example/headhill/pkg/logflags"
	"headhill.example/headhill/pkg/quarantine"
	"headhill.example/headhill/pkg/resumption"
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routerd"
	"headhill.example/headhill/platform"
)

const (
	// reloadCheckInterval is the interval between checks of the settings file for changes.
	reloadCheckInterval = 2 * time.Second
	// logCloseTimeout bounds the time for writing queued log lines on exit.
	logCloseTimeout = 200 * time.Millisecond
)

// route runs a routing box until SIGTERM or SIGINT. It reloads the settings on SIGHUP and when
// the settings file changes.
func route(file, debugSubsystems string, w io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := routerd.LoadSettings(file)
	if err != nil {
		return err
	}
	if debugSubsystems != "" {
		if s.Log.Output, err = logflags.ParseSubsystems(debugSubsystems); err != nil {
			return err
		}
	}
	writer := logflags.NewAsyncWriter(w)
	defer writer.Close(logCloseTimeout)
	logs := logflags.New(writer, s.Log.Format, s.Log.Level, s.Log.Output)
	d, err := routerd.New(s, newAdapter(), logs)
	if err != nil {
		return err
	}
	d.Start()
	watcher := newFileWatcher(file)
	ticker := time.NewTicker(reloadCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				d.Stop()
				return nil
			}
		case <-ticker.C:
			if !watcher.changed() {
				continue
			}
		}
		reload(d, file, logs)
	}
}

// newAdapter returns the adapter for the operators' platform.
func newAdapter() routerd.Adapter {
	return routerd.Adapter{
		Protocol: platform.Protocol{},
		Source: func(access routerd.StoreAccess) directory.Source {
			return platform.NewSource(platform.NewStore(access))
		},
		Roster: func(access routerd.StoreAccess) roster.Store {
			return platform.NewRoster(platform.NewStore(access))
		},
		Lease: func(access routerd.StoreAccess) lease.Store {
			return platform.NewLease(platform.NewStore(access))
		},
		Quarantine: func(access routerd.StoreAccess) quarantine.Store {
			return platform.NewQuarantine(platform.NewStore(access))
		},
		PathCheck: platform.PathCheckHeader,
		Report:    platform.ServerReport(),
		Versions: func(access routerd.StoreAccess) resumption.VersionStore {
			return platform.NewVersions(platform.NewStore(access))
		},
		SavedStreams: func(access routerd.StoreAccess) resumption.StreamStore {
			return platform.NewStreams(platform.NewStore(access))
		},
		Cloud: func(address func() string) duties.Cloud { return platform.NewCloud(address) },
	}
}

func reload(d *routerd.Daemon, file string, logs *logflags.Loggers) {
	s, err := routerd.LoadSettings(file)
	if err != nil {
		_ = level.Error(logs.For(logflags.Box)).Log("msg", "settings not reloaded", "err", err, "outcome", "previous settings stay in effect")
		return
	}
	d.Reload(s)
}

// fileWatcher detects changes of a file by its modification time and size.
type fileWatcher struct {
	path    string
	modTime time.Time
	size    int64
}

func newFileWatcher(path string) *fileWatcher {
	f := &fileWatcher{path: path}
	f.changed()
	return f
}

// changed reports whether the file has changed since the last call.
func (f *fileWatcher) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modTime) && info.Size() == f.size {
		return false
	}
	f.modTime, f.size = info.ModTime(), info.Size()
	return true
}
