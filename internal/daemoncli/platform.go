package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/gateway"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/internal/onplatform"
	"daisyslip.dev/daisyslip/internal/settings"
	"daisyslip.dev/daisyslip/platform"
)

// logFlushTimeout is the maximum time for writing the last log lines before the
// process exits.
const logFlushTimeout = 200 * time.Millisecond

// platformSettingsFile returns the path of the settings file: path, or the one in
// the environment if path is empty. It reports whether the file is the platform's,
// which it is if path ends in .toml or the environment names it.
func platformSettingsFile(path string) (string, bool) {
	if path != "" {
		return path, strings.HasSuffix(path, ".toml")
	}
	path = os.Getenv(platform.SettingsVariable)
	return path, path != ""
}

// checkSettingsFile reads and validates a settings file: JSON, or the platform's
// TOML. path may be empty, as in platformSettingsFile. Errors are SettingsErrors.
func checkSettingsFile(path string) error {
	path, onPlatform := platformSettingsFile(path)
	var err error
	switch {
	case onPlatform:
		_, err = platform.LoadSettings(path)
	case path == "":
		err = errors.New("no settings: give --config")
	default:
		_, err = settings.Load(path)
	}
	if err != nil {
		return &SettingsError{Err: err}
	}
	return nil
}

// addGatewayFlag adds the flag --gateway, which names the file with the settings
// that the platform's settings file does not have.
func addGatewayFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "gateway", "", "path of a JSON file with daisyslip's own settings on the users' platform; without it the defaults hold")
}

// loadGatewaySettings reads the file that --gateway names. Errors are
// SettingsErrors.
func loadGatewaySettings(path string) (gateway.Settings, error) {
	s, err := gateway.LoadSettings(path)
	if err != nil {
		return s, &SettingsError{Err: err}
	}
	return s, nil
}

// runOnPlatform runs a router on the users' platform until SIGTERM or SIGINT,
// then drains it. SIGHUP makes it read the platform's settings again. It logs to
// standard output.
func runOnPlatform(cmd *cobra.Command, platformPath string, gatewaySettings gateway.Settings) error {
	handler := logs.NewBoundedHandler(cmd.OutOrStdout(), slog.LevelInfo)
	defer handler.Close(logFlushTimeout)
	router, err := onplatform.New(platformPath, gatewaySettings, slog.New(handler))
	if err != nil {
		return &SettingsError{Err: err}
	}
	defer router.Close()
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go reloadOnSignal(ctx, reload, router)
	if err := router.Provision(); err != nil {
		return fmt.Errorf("provision the router: %w", err)
	}
	return router.Run(ctx)
}

// reloadOnSignal makes the router read the platform's settings again at each
// signal that it receives from reload, until ctx ends.
func reloadOnSignal(ctx context.Context, reload <-chan os.Signal, router *onplatform.Router) {
	for {
		select {
		case <-reload:
			router.Reload("SIGHUP")
		case <-ctx.Done():
			return
		}
	}
}
