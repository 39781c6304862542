package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// statusWait is the time that the router waits in one status request for the
// revision to be accepted. It is below the router's limit of 20 s.
const statusWait = 5 * time.Second

// addWaitFlag adds the flag --wait, which makes awaitChange wait.
func addWaitFlag(cmd *cobra.Command, wait *bool) {
	cmd.Flags().BoolVar(wait, "wait", false, "wait until every router has the change in force, at most for --timeout")
}

func (a *app) newApply() *cobra.Command {
	var path, note string
	var base int64
	var wait bool
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Make the configuration what a file says",
		Long: `apply reads a whole configuration, as "daisyslip config show" prints it, and
commits its difference to the revision that the file names. If another change
came first, the command fails with exit code 3 and names that change.`,
		Example: `  daisyslip config show > config.json
  $EDITOR config.json
  daisyslip apply --file config.json --note "new pool" --wait`,
		Args: cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			document, err := readDocument(cmd, path)
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("base") {
				base = document.Revision
			}
			result, err := c.Replace(ctx, base, document, note, uuid.NewString())
			if err != nil {
				return err
			}
			return a.awaitChange(ctx, cmd, c, result, wait)
		}),
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "file with the configuration as JSON; - for standard input")
	cmd.Flags().StringVar(&note, "note", "", "why the change is made, for the history")
	cmd.Flags().Int64Var(&base, "base", 0, "revision that the change is made against; the file's if not given")
	addWaitFlag(cmd, &wait)
	if err := cmd.MarkFlagRequired("file"); err != nil {
		panic(err)
	}
	return cmd
}

// readDocument reads a configuration as JSON from the file at path. Unknown
// fields are usage errors.
func readDocument(cmd *cobra.Command, path string) (catalog.Document, error) {
	data, err := readFile(cmd, path)
	if err != nil {
		return catalog.Document{}, err
	}
	var document catalog.Document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return document, usagef("read %s: %w", path, err)
	}
	return document, nil
}

// awaitChange prints the result of a change. If wait is set, it first waits
// until all routers have accepted the change, and returns an error if they
// haven't before ctx ends.
func (a *app) awaitChange(ctx context.Context, cmd *cobra.Command, c *client.Client, result fleetconfig.RevisionStatus, wait bool) error {
	for wait && !result.Accepted {
		latest, err := c.RevisionStatus(ctx, result.Revision, statusWait)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			return err
		}
		result = latest
	}
	if err := a.printResult(cmd.OutOrStdout(), result); err != nil {
		return err
	}
	if wait && !result.Accepted {
		return fmt.Errorf("revision %d is committed, but not yet in force at %v", result.Revision, result.WaitingFor)
	}
	return nil
}
