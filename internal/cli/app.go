package cli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/coord/failure"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// Environment variables that give the defaults of global flags.
const (
	envRouter = "DAISYSLIP_OPERATOR"
	envToken  = "DAISYSLIP_TOKEN"
	envAuthor = "DAISYSLIP_AUTHOR"
)

// defaultTimeout is the default of --timeout, which limits all requests of a
// command together.
const defaultTimeout = 30 * time.Second

// app holds the values of the global flags. All commands that send requests to
// routers share it.
type app struct {
	routers   []string
	token     string
	author    string
	caFile    string
	output    string
	timeout   time.Duration
	tlsConfig *tls.Config // trusts the certificates in caFile; nil if caFile is empty
}

// usageError wraps an error in the command line or in a file it names. ExitCode
// maps it to ExitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// usagef formats a usageError like fmt.Errorf.
func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

// addFlags adds the global flags to the root command, and validates them before
// any command runs.
func (a *app) addFlags(root *cobra.Command) {
	flags := root.PersistentFlags()
	flags.StringSliceVarP(&a.routers, "operator", "r", splitList(os.Getenv(envRouter)), "URL of a router's operator API; may be given several times ($"+envRouter+")")
	flags.StringVar(&a.token, "token", "", "operators' token ($"+envToken+")")
	flags.StringVar(&a.author, "author", defaultAuthor(), "name under which changes are made ($"+envAuthor+")")
	flags.StringVar(&a.caFile, "ca-file", "", "PEM file of the certificates to trust for https URLs; empty trusts the system's")
	flags.StringVarP(&a.output, "output", "o", "table", "table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "bound of the whole command")
	root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return a.validateFlags() }
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err: err} })
}

// markUsageErrors turns errors in the arguments of cmd and its subcommands into
// usageErrors. A command that only groups others prints its help if it is
// called without a subcommand, and refuses an unknown one.
func markUsageErrors(cmd *cobra.Command) {
	if cmd.Run == nil && cmd.RunE == nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usagef("%s has no command %q", cmd.CommandPath(), args[0])
			}
			return cmd.Help()
		}
		cmd.Args = cobra.ArbitraryArgs
	}
	if validate := cmd.Args; validate != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := validate(cmd, args); err != nil {
				return &usageError{err: fmt.Errorf("%s: %w", cmd.CommandPath(), err)}
			}
			return nil
		}
	}
	for _, child := range cmd.Commands() {
		markUsageErrors(child)
	}
}

// splitList splits a comma-separated list. An empty string is an empty list.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// validateFlags checks the global flags, reads the token from the environment
// if no flag gives it, and loads the CA file.
func (a *app) validateFlags() error {
	if a.output != "table" && a.output != "json" {
		return usagef("--output %q: want table or json", a.output)
	}
	if a.token == "" {
		a.token = os.Getenv(envToken)
	}
	return a.loadCAFile()
}

// loadCAFile reads the trusted certificates that --ca-file names.
func (a *app) loadCAFile() error {
	if a.caFile == "" {
		return nil
	}
	config, err := tlsfile.ClientConfig(a.caFile, "")
	if err != nil {
		return usagef("--ca-file: %w", err)
	}
	a.tlsConfig = config
	return nil
}

// defaultAuthor returns the author from the environment, or $USER if none is
// set.
func defaultAuthor() string {
	if author := os.Getenv(envAuthor); author != "" {
		return author
	}
	return os.Getenv("USER")
}

// connect returns a client of the operator API at url. It does no I/O.
func (a *app) connect(url string) *client.Client {
	c := client.New(url, a.token, a.author)
	if a.tlsConfig != nil {
		c.WithTLS(a.tlsConfig)
	}
	return c
}

// client returns a client of the first router that --operator names.
func (a *app) client() (*client.Client, error) {
	if len(a.routers) == 0 {
		return nil, usagef("name a router's operator API with --operator or $%s", envRouter)
	}
	return a.connect(a.routers[0]), nil
}

// context returns the context of a command, with --timeout as its deadline.
func (a *app) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), a.timeout)
}

// runWithClient returns the RunE function of a command that sends requests to
// one router. It calls body with a client of the first router and a context
// that ends after --timeout.
func (a *app) runWithClient(body func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		c, err := a.client()
		if err != nil {
			return err
		}
		ctx, cancel := a.context(cmd)
		defer cancel()
		return body(ctx, cmd, c, args)
	}
}

// table holds the header and the cells of a command's output in the table format.
type table struct {
	header []string
	rows   [][]string
}

// print writes value as JSON or t as a table, as --output says.
func (a *app) print(w io.Writer, value any, t table) error {
	if a.output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}

// ExitCode returns the exit code of the process for the error that a command
// returned: ExitUsage for a usageError, ExitPartial for errPartial, ExitConflict or
// ExitRefused for a failure that a router returned, and ExitFailure for other
// errors, such as a router that cannot be reached.
func ExitCode(err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errPartial):
		return ExitPartial
	}
	switch f := failure.As(err); {
	case f == nil:
		return ExitFailure
	case f.Code == failure.Conflict:
		return ExitConflict
	default:
		return ExitRefused
	}
}
