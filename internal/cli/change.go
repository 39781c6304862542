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
	"daisyslip.dev/daisyslip/internal/conf"
)

// editor makes one change of the configuration: it reads the revision in
// force, lets edit say what to do, and commits that against the revision.
type editor struct {
	app  *app
	note string
}

// addFlags adds the flags that every change has.
func (e *editor) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&e.note, "note", "", "why the change is made, for the history")
}

// commit runs the change.
func (e *editor) commit(ctx context.Context, c *client.Client, edit func(catalog.Document) ([]conf.Op, error)) (conf.RevisionStatus, error) {
	document, err := c.Config(ctx)
	if err != nil {
		return conf.RevisionStatus{}, err
	}
	ops, err := edit(document)
	if err != nil {
		return conf.RevisionStatus{}, err
	}
	return c.Commit(ctx, conf.Change{Base: document.Revision, Author: e.app.author, Note: e.note, Ops: ops})
}

// run runs the change and prints its result.
func (e *editor) run(ctx context.Context, cmd *cobra.Command, c *client.Client, edit func(catalog.Document) ([]conf.Op, error)) error {
	result, err := e.commit(ctx, c, edit)
	if err != nil {
		return err
	}
	return e.app.printResult(cmd.OutOrStdout(), result)
}

// printResult prints how far a change has come.
func (a *app) printResult(w io.Writer, r conf.RevisionStatus) error {
	row := []string{strconv.FormatInt(r.Revision, 10), stateOfChange(r), strings.Join(r.WaitingFor, ",")}
	return a.print(w, r, table{header: []string{"REVISION", "STATE", "WAITING FOR"}, rows: [][]string{row}})
}

func stateOfChange(r conf.RevisionStatus) string {
	if r.Accepted {
		return "accepted"
	}
	return "committed"
}

// putOp returns the operation that puts an entity.
func putOp(kind conf.EntityKind, name string, entity any) (conf.Op, error) {
	data, err := json.Marshal(entity)
	if err != nil {
		return conf.Op{}, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	return conf.Op{Kind: kind, Name: name, Put: data}, nil
}

// readFile reads a file, or standard input for "-".
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
