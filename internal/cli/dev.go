package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/dev"
	"daisyslip.dev/daisyslip/internal/logs"
	"daisyslip.dev/daisyslip/platform/standin"
)

func newDev() *cobra.Command {
	options := dev.DefaultOptions()
	level := "warn"
	once, onPlatform := false, false
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a small fleet in one process on loopback",
		Long: `dev runs a stand-in platform, model endpoints, a plain service and routers in
one process on loopback, with one workspace. When all is ready it prints one
JSON line that says where everything listens, and serves until interrupted.`,
		Example: `  daisyslip dev
  daisyslip dev --once
  daisyslip dev --platform --once
  daisyslip dev --port 7300
  daisyslip dev --budget 5000`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := logs.New(cmd.ErrOrStderr(), level, "text")
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if onPlatform {
				return devSite(ctx, cmd.OutOrStdout(), options.FirstPort, once, log)
			}
			fleet, err := dev.Start(ctx, options, log)
			if err != nil {
				return err
			}
			if once {
				if err := dev.Sample(ctx, fleet, cmd.OutOrStdout()); err != nil {
					return err
				}
				return fleet.Close()
			}
			if err := json.NewEncoder(cmd.OutOrStdout()).Encode(fleet.Info()); err != nil {
				return fmt.Errorf("print the fleet: %w", err)
			}
			<-ctx.Done()
			return fleet.Close()
		},
	}
	cmd.Flags().Int64Var(&options.BudgetTokens, "budget", options.BudgetTokens, "tokens that the workspace has paid for")
	cmd.Flags().IntVar(&options.Routers, "routers", options.Routers, "number of routers")
	cmd.Flags().IntVar(&options.Engines, "engines", options.Engines, "number of model endpoints")
	cmd.Flags().IntVar(&options.FirstPort, "port", options.FirstPort, "caller port of the first router, the others follow, operator ports are 100 above; 0 takes free ports")
	cmd.Flags().BoolVar(&once, "once", false, "send a sample of requests, print answers and the time line, and exit")
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "run one router on a stand-in of the users' platform instead")
	cmd.Flags().StringVar(&level, "log-level", level, "debug, info, warn or error")
	return cmd
}

// devSite runs a router on a stand-in of the users' platform.
func devSite(ctx context.Context, out io.Writer, port int, once bool, log *slog.Logger) error {
	site, err := dev.StartSite(ctx, port, log)
	if err != nil {
		return err
	}
	if once {
		return errors.Join(standin.SampleRequests(ctx, site.CallerAddr(), out), site.Close())
	}
	fmt.Fprintf(out, "router takes requests at %s\n", site.CallerAddr())
	<-ctx.Done()
	return site.Close()
}
