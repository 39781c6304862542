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

// Names of the environment variables that stand for global flags.
const (
	envRouter = "DAISYSLIP_OPERATOR"
	envToken  = "DAISYSLIP_TOKEN"
	envAuthor = "DAISYSLIP_AUTHOR"
)

// defaultTimeout bounds a command's calls.
const defaultTimeout = 30 * time.Second

// app holds the global flags of operators' commands.
type app struct {
	routers   []string
	token     string
	author    string
	caFile    string
	output    string
	timeout   time.Duration
	tlsConfig *tls.Config // that trusts caFile, or nil
}

// usageError marks a wrong use of the command line, for ExitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

// addFlags adds the global flags to the root command.
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

// markUsage makes wrong arguments of root and the commands below it usage
// errors, and a group of commands without a subcommand print its help.
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

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// check completes the flags from the environment and checks them.
func (a *app) validateFlags() error {
	if a.output != "table" && a.output != "json" {
		return usagef("--output %q: want table or json", a.output)
	}
	if a.token == "" {
		a.token = os.Getenv(envToken)
	}
	return a.loadCAFile()
}

// loadTrusted reads the certificates of --ca-file.
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

// defaultAuthor is the name of the environment, else that of the user.
func defaultAuthor() string {
	if author := os.Getenv(envAuthor); author != "" {
		return author
	}
	return os.Getenv("USER")
}

// connect returns a client of the operator API at url.
func (a *app) connect(url string) *client.Client {
	c := client.New(url, a.token, a.author)
	if a.tlsConfig != nil {
		c.WithTLS(a.tlsConfig)
	}
	return c
}

// client returns a client of the first router.
func (a *app) client() (*client.Client, error) {
	if len(a.routers) == 0 {
		return nil, usagef("name a router's operator API with --operator or $%s", envRouter)
	}
	return a.connect(a.routers[0]), nil
}

// context bounds a command by --timeout.
func (a *app) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), a.timeout)
}

// run makes the body of a command that talks to one router.
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

// table is what a command prints: a header and rows, or the value as JSON.
type table struct {
	header []string
	rows   [][]string
}

// print writes value as JSON or t as a table.
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

// ExitCode returns the exit code for a command's error.
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
