// Package daemoncli implements the command line of daisyslipd, the router.
package daemoncli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/daemon"
	"daisyslip.dev/daisyslip/internal/gateway"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/internal/settings"
)

// Exit codes of daisyslipd. ExitSettings means that the settings have errors.
const (
	ExitFailure  = 1
	ExitSettings = 2
)

// SettingsError wraps an error in the settings. The process exits with
// ExitSettings.
type SettingsError struct{ Err error }

// Error returns the problems, one per line.
func (e *SettingsError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }

// NewCommand returns the root command with all subcommands.
func NewCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "daisyslipd",
		Short: "Router between callers and endpoints for prepaid token budgets",
		Long: `daisyslipd is one router of a fleet. It takes callers' requests, has their
prepaid budgets pay for them, sends them to endpoints and returns whole
answers. All that must last is kept in the platform's table service.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newRun(), newCheck(), newSettings(), newVersion())
	return root
}

// addConfigFlag adds the flag --config.
func addConfigFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVarP(path, "config", "c", "", "path of the settings file: JSON, or TOML for the users' platform, whose environment names it")
}

// newRun returns the command "run". With the platform's settings file it runs the
// router on the users' platform, and otherwise a daemon.Daemon.
func newRun() *cobra.Command {
	var path, gatewayPath string
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Run the router until SIGTERM or SIGINT, then drain",
		Example: "  daisyslipd run --config entry-1.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSettingsFile(path); err != nil {
				return err
			}
			if file, onPlatform := platformSettingsFile(path); onPlatform {
				gatewaySettings, err := loadGatewaySettings(gatewayPath)
				if err != nil {
					return err
				}
				return runOnPlatform(cmd, file, gatewaySettings)
			}
			s, err := settings.Load(path)
			if err != nil {
				return &SettingsError{Err: err}
			}
			return run(cmd, s)
		},
	}
	addConfigFlag(cmd, &path)
	addGatewayFlag(cmd, &gatewayPath)
	return cmd
}

// run runs a router with settings s until SIGTERM or SIGINT, then drains it. It
// prints the addresses of the router's listeners as one JSON line on standard
// output.
func run(cmd *cobra.Command, s settings.Settings) error {
	log, err := logs.New(cmd.ErrOrStderr(), s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The first signal restores the default handling, so that a second one ends
	// the process immediately.
	context.AfterFunc(ctx, stop)
	d := daemon.New(s, log)
	if err := d.Provision(); err != nil {
		return err
	}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(d.Addresses()); err != nil {
		return fmt.Errorf("print the addresses: %w", err)
	}
	return d.Run(ctx)
}

// newCheck returns the command "check". It validates the file of --gateway and,
// unless only --gateway is given, the settings file.
func newCheck() *cobra.Command {
	var path, gatewayPath string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Check a settings file and list every problem",
		Example: "  daisyslipd check --config entry-1.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := loadGatewaySettings(gatewayPath)
			if path != "" || gatewayPath == "" {
				err = errors.Join(err, checkSettingsFile(path))
			}
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
	addConfigFlag(cmd, &path)
	addGatewayFlag(cmd, &gatewayPath)
	return cmd
}

func newSettings() *cobra.Command {
	var asJSON, onPlatform bool
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "List all settings with their defaults",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries := settings.Default().Entries()
			if onPlatform {
				entries = settings.EntriesOf(gateway.DefaultSettings())
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(entries)
			}
			for _, e := range entries {
				fmt.Fprintf(cmd.OutOrStdout(), "%-34s %s\n", e.Path, e.Value)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "those of a router on the users' platform, for --gateway")
	return cmd
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "daisyslipd "+daemon.Version)
		},
	}
}
