package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// editor commits one change of the configuration. It reads the applied
// configuration, calls a function that returns the operations of the change, and
// commits them against the revision that it read. A change that somebody else
// committed meanwhile makes the commit fail with a conflict.
type editor struct {
	app  *app
	note string
}

// addFlags adds the flags that all commands with a change share.
func (e *editor) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&e.note, "note", "", "why the change is made, for the history")
}

// commit commits the operations that edit returns for the applied configuration.
func (e *editor) commit(ctx context.Context, c *client.Client, edit func(catalog.Document) ([]fleetconfig.Op, error)) (fleetconfig.RevisionStatus, error) {
	document, err := c.Config(ctx)
	if err != nil {
		return fleetconfig.RevisionStatus{}, err
	}
	ops, err := edit(document)
	if err != nil {
		return fleetconfig.RevisionStatus{}, err
	}
	return c.Commit(ctx, fleetconfig.Change{Base: document.Revision, Author: e.app.author, Note: e.note, Ops: ops})
}

// run commits the change like commit and prints its result.
func (e *editor) run(ctx context.Context, cmd *cobra.Command, c *client.Client, edit func(catalog.Document) ([]fleetconfig.Op, error)) error {
	result, err := e.commit(ctx, c, edit)
	if err != nil {
		return err
	}
	return e.app.printResult(cmd.OutOrStdout(), result)
}

// printResult prints the revision of a change, whether all routers acknowledged
// it, and which ones haven't.
func (a *app) printResult(w io.Writer, r fleetconfig.RevisionStatus) error {
	row := []string{strconv.FormatInt(r.Revision, 10), changeState(r), strings.Join(r.WaitingFor, ",")}
	return a.print(w, r, table{header: []string{"REVISION", "STATE", "WAITING FOR"}, rows: [][]string{row}})
}

// changeState returns the content of the STATE column for a change.
func changeState(r fleetconfig.RevisionStatus) string {
	if r.Accepted {
		return "accepted"
	}
	return "committed"
}

// putOp returns the operation that creates or replaces an entity, with the
// entity encoded as JSON.
func putOp(kind fleetconfig.EntityKind, name string, entity any) (fleetconfig.Op, error) {
	data, err := json.Marshal(entity)
	if err != nil {
		return fleetconfig.Op{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return fleetconfig.Op{Kind: kind, Name: name, Put: data}, nil
}

// readFile reads the file at path, or standard input if path is "-".
func readFile(cmd *cobra.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{err: err}
	}
	return data, nil
}
