package cli

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// entityType describes one kind of entity of the configuration to the commands
// that all kinds share: where its list is in the document, the name of an
// entity, and the header and rows of its table.
type entityType[T any] struct {
	kind   fleetconfig.EntityKind
	list   func(catalog.Document) []T
	name   func(T) string
	header []string
	row    func(T) []string
}

// addCommonCommands adds the list, show, put and delete commands of an entity
// type to parent.
func addCommonCommands[T any](a *app, parent *cobra.Command, e entityType[T]) {
	parent.AddCommand(newList(a, e), newShow(a, e), newPut(a, e), newDelete(a, e))
}

func newList[T any](a *app, e entityType[T]) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: fmt.Sprintf("List the %ss in force", e.kind),
		Args:  cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			document, err := c.Config(ctx)
			if err != nil {
				return err
			}
			items := e.list(document)
			return a.print(cmd.OutOrStdout(), items, e.table(items))
		}),
	}
}

// table returns a table with one row for each item.
func (e entityType[T]) table(items []T) table {
	t := table{header: e.header}
	for _, item := range items {
		t.rows = append(t.rows, e.row(item))
	}
	return t
}

// find returns the entity with this name, or a usageError if d has none.
func (e entityType[T]) find(d catalog.Document, name string) (T, error) {
	items := e.list(d)
	index := slices.IndexFunc(items, func(item T) bool { return e.name(item) == name })
	if index < 0 {
		var zero T
		return zero, usagef("no %s %q in revision %d", e.kind, name, d.Revision)
	}
	return items[index], nil
}

func newShow[T any](a *app, e entityType[T]) *cobra.Command {
	return &cobra.Command{
		Use:   "show NAME",
		Short: fmt.Sprintf("Show one %s", e.kind),
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			document, err := c.Config(ctx)
			if err != nil {
				return err
			}
			item, err := e.find(document, args[0])
			if err != nil {
				return err
			}
			return a.print(cmd.OutOrStdout(), item, e.table([]T{item}))
		}),
	}
}

func newPut[T any](a *app, e entityType[T]) *cobra.Command {
	edit := editor{app: a}
	var file string
	cmd := &cobra.Command{
		Use:     "put NAME --file FILE",
		Short:   fmt.Sprintf("Create or replace a %s from JSON", e.kind),
		Example: fmt.Sprintf("  daisyslip %s show NAME --output json > f.json\n  daisyslip %s put NAME --file f.json", e.kind, e.kind),
		Args:    cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			data, err := readFile(cmd, file)
			if err != nil {
				return err
			}
			return edit.run(ctx, cmd, c, func(catalog.Document) ([]fleetconfig.Op, error) {
				return []fleetconfig.Op{{Kind: e.kind, Name: args[0], Put: data}}, nil
			})
		}),
	}
	cmd.Flags().StringVarP(&file, "file", "f", "-", "JSON file; - is standard input")
	edit.addFlags(cmd)
	return cmd
}

func newDelete[T any](a *app, e entityType[T]) *cobra.Command {
	edit := editor{app: a}
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: fmt.Sprintf("Delete a %s", e.kind),
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			return edit.run(ctx, cmd, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				if _, err := e.find(d, args[0]); err != nil {
					return nil, err
				}
				return []fleetconfig.Op{{Kind: e.kind, Name: args[0]}}, nil
			})
		}),
	}
	edit.addFlags(cmd)
	return cmd
}

// updateOp returns the operation that replaces the entity with this name by one
// that change has modified.
func updateOp[T any](e entityType[T], d catalog.Document, name string, change func(*T)) ([]fleetconfig.Op, error) {
	item, err := e.find(d, name)
	if err != nil {
		return nil, err
	}
	change(&item)
	op, err := putOp(e.kind, name, item)
	return []fleetconfig.Op{op}, err
}

// newFixedChange returns a command that applies change to the entity that its
// argument names, such as "endpoint leave".
func newFixedChange[T any](a *app, e entityType[T], use, short string, change func(*T)) *cobra.Command {
	edit := editor{app: a}
	cmd := &cobra.Command{
		Use:   use + " NAME",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			return edit.run(ctx, cmd, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				return updateOp(e, d, args[0], change)
			})
		}),
	}
	edit.addFlags(cmd)
	return cmd
}

// formatLabels formats labels as a sorted, comma-separated list of name=value.
func formatLabels(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for name, value := range labels {
		pairs = append(pairs, name+"="+value)
	}
	sort.Strings(pairs)
	return strings.Join(pairs, ",")
}
