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
	"headhill.example/headhill/pkg/roster"
	"headhill.example/headhill/pkg/routerd"
	"headhill.example/headhill/platform"
)

const (
	// reloadCheck is how often the settings file is looked at for changes.
	reloadCheck = 2 * time.Second
	// logsClose bounds the writing of the last log lines.
	logsClose = 200 * time.Millisecond
)

// route runs a routing box until SIGTERM or SIGINT. SIGHUP, or a settings file that
// has changed, reloads the settings.
func route(file, outputs string, w io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := routerd.LoadSettings(file)
	if err != nil {
		return err
	}
	if outputs != "" {
		if s.Log.Output, err = logflags.ParseSubsystems(outputs); err != nil {
			return err
		}
	}
	writer := logflags.NewAsyncWriter(w)
	defer writer.Close(logsClose)
	logs := logflags.New(writer, s.Log.Format, s.Log.Level, s.Log.Output)
	d, err := routerd.New(s, adapter(), logs)
	if err != nil {
		return err
	}
	d.Start()
	watch := newFileWatch(file)
	ticker := time.NewTicker(reloadCheck)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				d.Stop()
				return nil
			}
		case <-ticker.C:
			if !watch.changed() {
				continue
			}
		}
		reload(d, file, logs)
	}
}

func adapter() routerd.Adapter {
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
		Cloud: func(address func() string) duties.Cloud { return platform.NewCloud(address) },
	}
}

func reload(d *routerd.Daemon, file string, logs *logflags.Loggers) {
	s, err := routerd.LoadSettings(file)
	if err != nil {
		_ = level.Error(logs.For(logflags.Box)).Log("msg", "settings not reloaded", "err", err, "outcome", "the old ones stay in force")
		return
	}
	d.Reload(s)
}

// fileWatch tells whether a file has changed since it was last asked.
type fileWatch struct {
	path string
	last time.Time
	size int64
}

func newFileWatch(path string) *fileWatch {
	f := &fileWatch{path: path}
	f.changed()
	return f
}

func (f *fileWatch) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.last) && info.Size() == f.size {
		return false
	}
	f.last, f.size = info.ModTime(), info.Size()
	return true
}
