package program_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/snipebeam/snipebeam/world/finding"
	"github.com/snipebeam/snipebeam/world/logging"
	"github.com/snipebeam/snipebeam/world/program"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

func app(opts ...fx.Option) *fx.App {
	quiet := fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger })
	return fx.New(append(opts, quiet)...)
}

func TestPortInUseIsOneClearError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	busy := app(fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.StartHook(func() error {
			_, err := net.Listen("tcp", listener.Addr().String())
			return errors.Wrap(err, "listen for callers")
		}))
	}))
	var out bytes.Buffer
	must.Eq(t, program.ExitFailed, program.RunTo(&out, busy, "p", hclog.NewNullLogger()))
	must.RegexMatch(t, regexp.MustCompile(`^p: listen for callers: listen tcp 127.0.0.1:\d+: bind: address already in use \(another process listens there; choose another address in \[listen\]\)\n$`), out.String())
}

func TestFailedConstructorIsOneClearError(t *testing.T) {
	broken := app(fx.Provide(func() (int, error) { return 0, errors.New("open data folder: no such disk") }), fx.Invoke(func(int) {}))
	var out bytes.Buffer
	must.Eq(t, program.ExitFailed, program.RunTo(&out, broken, "p", hclog.NewNullLogger()))
	must.Eq(t, "p: open data folder: no such disk\n", out.String())
}

func TestAppCanShutItselfDown(t *testing.T) {
	stopped := false
	application := app(fx.Invoke(func(lc fx.Lifecycle, shutdowner fx.Shutdowner) {
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				go func() { _ = shutdowner.Shutdown(fx.ExitCode(7)) }()
				return nil
			},
			OnStop: func(context.Context) error {
				stopped = true
				return nil
			},
		})
	}))
	must.Eq(t, 7, program.RunTo(&bytes.Buffer{}, application, "p", hclog.NewNullLogger()))
	must.True(t, stopped)
}

// SIGHUP by default ends a process, and with it the requests that it holds.
func TestHangupDoesNotEndAProgramThatStartsOrStops(t *testing.T) {
	hangup := func(context.Context) error { return syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	application := app(fx.Invoke(func(lc fx.Lifecycle, shutdowner fx.Shutdowner) {
		lc.Append(fx.Hook{OnStart: hangup, OnStop: hangup})
		ctx, cancel := context.WithCancel(context.Background())
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				go program.WatchSettings(ctx, func() { _ = shutdowner.Shutdown() })
				return nil
			},
			OnStop: func(context.Context) error {
				cancel()
				return nil
			},
		})
	}))
	must.Eq(t, program.ExitOK, program.RunTo(&bytes.Buffer{}, application, "p", hclog.NewNullLogger()))
}

func TestFailedStopIsLogged(t *testing.T) {
	stuck := app(fx.StopTimeout(time.Millisecond), fx.Invoke(func(lc fx.Lifecycle, shutdowner fx.Shutdowner) {
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error {
				go func() { _ = shutdowner.Shutdown() }()
				return nil
			},
			OnStop: func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			},
		})
	}))
	var out, log bytes.Buffer
	must.Eq(t, program.ExitFailed, program.RunTo(&out, stuck, "p", logging.New("p", "info", &log)))
	must.Eq(t, "p: stop: context deadline exceeded\n", out.String())
	must.RegexMatch(t, regexp.MustCompile(`"@level":"error","@message":"stop failed, exiting".*"error":"context deadline exceeded","limitSeconds":0.001`), log.String())
	must.StrNotContains(t, log.String(), `"@message":"stopped"`)
}

func TestSettingsDecideWhetherTheProgramRuns(t *testing.T) {
	type section struct {
		Name string `toml:"name" comment:"who"`
	}
	var out, errOut bytes.Buffer
	var findings finding.List
	exits, _ := program.Flags{}.ShouldExit(&out, &errOut, &section{}, findings)
	must.False(t, exits)
	exits, code := program.Flags{CheckConfig: true}.ShouldExit(&out, &errOut, &section{}, findings)
	must.True(t, exits)
	must.Eq(t, program.ExitOK, code)
	exits, code = program.Flags{PrintConfig: true}.ShouldExit(&out, &errOut, &section{Name: "x"}, findings)
	must.True(t, exits)
	must.Eq(t, program.ExitOK, code)
	must.StrContains(t, out.String(), "# who\nname = 'x'")
	findings.Add(finding.Error, finding.At("f", 1, 2), "wrong", "")
	exits, code = program.Flags{}.ShouldExit(&out, &errOut, &section{}, findings)
	must.True(t, exits)
	must.Eq(t, program.ExitSettings, code)
	must.Eq(t, "f:1:2: error: wrong\n", errOut.String())
}

func TestVersionFlagExits(t *testing.T) {
	var cli struct{ program.Flags }
	var out bytes.Buffer
	code := -1
	parser := kong.Must(&cli, kong.Name("p"), kong.Writers(&out, &out), kong.Exit(func(c int) { code = c }), kong.Vars{"config": "f"})
	_, err := parser.Parse([]string{"--version"})
	must.NoError(t, err)
	must.Eq(t, program.ExitOK, code)
	must.StrHasPrefix(t, "p ", out.String())
}
