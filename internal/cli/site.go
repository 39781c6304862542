package cli

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/platform/standin"
)

// settingsFileMode is the mode of the settings file. Everybody may read it, since
// it holds no secrets.
const settingsFileMode = 0o644

func newStandinSite() *cobra.Command {
	var listen, settings string
	var port int
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Run a stand-in for the users' platform with two endpoints",
		Long: `site serves the store of the users' platform with a sample configuration and
two endpoints, and writes a settings file for a router. The host of the sample
configuration is coop.example and its key dev-key.`,
		Example: "  daisyslip standin site --listen 127.0.0.1:9300 --settings router.toml --port 8740",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			site, err := standin.StartSite(listen)
			if err != nil {
				return err
			}
			if err := os.WriteFile(settings, []byte(site.SettingsFile("dev-1", port)), settingsFileMode); err != nil {
				return errors.Join(fmt.Errorf("write settings: %w", err), site.Close())
			}
			fmt.Fprintf(cmd.OutOrStdout(), "store at %s, settings of a router in %s\n", site.StoreAddr(), settings)
			return errors.Join(site.Run(ctx), site.Close())
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().StringVar(&settings, "settings", "router.toml", "file to write the router's settings to")
	cmd.Flags().IntVar(&port, "port", 8740, "port for callers; readiness and metrics take the next two")
	return cmd
}
