package program

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/snipebeam/snipebeam/world/logging"
)

// debugLevel is the level that SIGUSR1 sets.
const debugLevel = "debug"

// handleLevelSignals changes the log level on signals until the returned
// function is called. SIGUSR1 sets debug for all packages, SIGUSR2 restores the
// level that the logger had when handleLevelSignals was called.
func handleLevelSignals(logger hclog.Logger) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	initial := logger.GetLevel().String()
	done := make(chan struct{})
	go func() {
		for {
			select {
			case s := <-signals:
				setLevel(logger, s, initial)
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

func setLevel(logger hclog.Logger, s os.Signal, initial string) {
	level := initial
	if s == syscall.SIGUSR1 {
		level = debugLevel
	}
	if err := logging.SetLevel(logger, "", level); err != nil {
		logger.Error("log level not changed", "error", err)
		return
	}
	logger.Info("log level changed", "level", level)
}
