package cli

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/standin"
)

// standinHeaderTimeout is the time in which a client must have sent the headers
// of a request.
const standinHeaderTimeout = 10 * time.Second

// StandinInfo is the JSON line that a stand-in prints once it listens. URL is its
// base URL.
type StandinInfo struct {
	URL string `json:"url"`
}

func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for a system around the routers",
		Long: `standin runs a small stand-in for development and tests. Its faults are set
with PUT /standin/faults and a JSON body; the platform's also for one client
with PUT /standin/faults/VM.`,
	}
	cmd.AddCommand(newStandinPlatform(), newStandinEngine(), newStandinService(), newStandinSite())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in for the table service, object store and VM list",
		Example: "  daisyslip standin platform --listen 127.0.0.1:9000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, standin.NewPlatform())
		},
	}
	addListenFlag(cmd, &listen)
	return cmd
}

func newStandinEngine() *cobra.Command {
	var listen string
	s := standin.DefaultEngineSettings("engine")
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a stand-in for a model engine",
		Example: "  daisyslip standin engine --listen 127.0.0.1:9101 --model grain-7b --token-time 20ms",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, standin.NewEngine(s))
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().StringVar(&s.Name, "name", s.Name, "name of the engine")
	cmd.Flags().StringSliceVar(&s.Models, "model", []string{"grain-7b"}, "models that the engine serves")
	cmd.Flags().DurationVar(&s.TokenTime, "token-time", s.TokenTime, "time between tokens when empty")
	cmd.Flags().DurationVar(&s.PrefillTime, "prefill-time", s.PrefillTime, "time to read one prompt token")
	cmd.Flags().IntVar(&s.Slots, "slots", s.Slots, "streams that run at once")
	cmd.Flags().IntVar(&s.CacheBlocks, "cache-blocks", s.CacheBlocks, "prompt blocks kept in the prefix cache")
	cmd.Flags().Float64Var(&s.BatchSlowdown, "batch-slowdown", s.BatchSlowdown, "growth of the token time when all slots run")
	cmd.Flags().BoolVar(&s.ChecksFencing, "checks-fencing", s.ChecksFencing, "refuse orders with an old fencing number")
	return cmd
}

func newStandinService() *cobra.Command {
	var listen, name string
	var checksFencing bool
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a stand-in for a plain service",
		Example: "  daisyslip standin service --listen 127.0.0.1:9201 --name fans",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveStandin(cmd, listen, standin.NewService(name, checksFencing))
		},
	}
	addListenFlag(cmd, &listen)
	cmd.Flags().StringVar(&name, "name", "fans", "name of the service")
	cmd.Flags().BoolVar(&checksFencing, "checks-fencing", false, "refuse orders with an old fencing number")
	return cmd
}

// addListenFlag adds the flag --listen.
func addListenFlag(cmd *cobra.Command, listen *string) {
	cmd.Flags().StringVar(listen, "listen", "127.0.0.1:0", "address to listen on; port 0 takes a free one")
}

// serveStandin prints the URL of the stand-in and serves h until SIGTERM or
// SIGINT.
func serveStandin(cmd *cobra.Command, listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standinHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	info := StandinInfo{URL: "http://" + listener.Addr().String()}
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(info); err != nil {
		return fmt.Errorf("print the address: %w", err)
	}
	select {
	case <-ctx.Done():
		return server.Close()
	case err := <-serveErr:
		return fmt.Errorf("serve stand-in: %w", err)
	}
}
