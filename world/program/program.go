// Package program holds the code that the long-running programs share: flags for
// settings, exit codes, reloading of settings, log level signals, and starting
// and stopping an fx application.
//
// Usage:
//
//	app := fx.New(...)
//	os.Exit(program.Run(app, "snipebeam-entry", logger))
package program

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/fx"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the program could not start, or stopped with an error
	ExitSettings = 2 // the settings have errors
)

// Run starts an application and stops it gracefully on SIGTERM, SIGINT or an
// fx shutdown request. Further signals do not abort a graceful stop. Run returns
// the exit code.
func Run(app *fx.App, name string, logger hclog.Logger) int {
	return RunTo(os.Stderr, app, name, logger)
}

// RunTo is like Run, but writes a fatal error to w instead of standard error.
func RunTo(w io.Writer, app *fx.App, name string, logger hclog.Logger) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	hangups := make(chan os.Signal, 1) // never read: SIGHUP must not end a program without WatchSettings
	signal.Notify(hangups, syscall.SIGHUP)
	if err := start(app); err != nil {
		return fail(w, name, err)
	}
	defer handleLevelSignals(logger)()
	code := ExitOK
	select {
	case s := <-signals:
		logger.Info("stopping", "signal", s.String())
	case shutdown := <-app.Wait():
		code = shutdown.ExitCode
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		logger.Error("stop failed, exiting", "error", err, "limitSeconds", app.StopTimeout().Seconds())
		return fail(w, name, errors.Wrap(err, "stop"))
	}
	logger.Info("stopped")
	return code
}

func start(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	return app.Start(ctx)
}

func fail(w io.Writer, name string, err error) int {
	fmt.Fprintf(w, "%s: %s%s\n", name, dig.RootCause(err), hint(err))
	return ExitFailed
}

// hint returns how to fix a common error, or the empty string.
func hint(err error) string {
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		return " (another process listens there; choose another address in [listen])"
	case errors.Is(err, syscall.EADDRNOTAVAIL):
		return " (this machine does not have the address; correct it in [listen])"
	case errors.Is(err, os.ErrPermission):
		return " (run as a user with permission, or change the path or port)"
	}
	return ""
}

// Version returns the module version, source revision and Go version of the
// build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed"
		}
	}
	if revision == "" {
		return info.Main.Version + " " + info.GoVersion
	}
	return fmt.Sprintf("%s (%s%s) %s", info.Main.Version, revision, changed, info.GoVersion)
}
