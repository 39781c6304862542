package cli

import (
	"context"
	"maps"
	"strings"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// labelEdit is a change of the labels of one entity: labels to set by name, and
// the names of labels to remove.
type labelEdit struct {
	set    map[string]string
	remove []string
}

// parseLabels parses arguments such as zone=b (set) and heat- (remove).
func parseLabels(args []string) (labelEdit, error) {
	edit := labelEdit{set: make(map[string]string)}
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		switch {
		case found && name != "":
			edit.set[name] = value
		case !found && strings.HasSuffix(arg, "-") && len(arg) > 1:
			edit.remove = append(edit.remove, strings.TrimSuffix(arg, "-"))
		default:
			return edit, usagef("label %q: write name=value to set or name- to remove", arg)
		}
	}
	return edit, nil
}

// apply returns a copy of labels with the edit applied.
func (e labelEdit) apply(labels map[string]string) map[string]string {
	changed := make(map[string]string)
	maps.Copy(changed, labels)
	maps.Copy(changed, e.set)
	for _, name := range e.remove {
		delete(changed, name)
	}
	return changed
}

// ops returns the operation that changes the labels of the entity with this kind
// and name.
func (e labelEdit) ops(d catalog.Document, kind, name string) ([]fleetconfig.Op, error) {
	switch fleetconfig.EntityKind(kind) {
	case fleetconfig.KindWorkspace:
		return updateOp(workspaces, d, name, func(w *catalog.Workspace) { w.Labels = e.apply(w.Labels) })
	case fleetconfig.KindEndpoint:
		return updateOp(endpoints, d, name, func(x *catalog.Endpoint) { x.Labels = e.apply(x.Labels) })
	case fleetconfig.KindPool:
		return updateOp(pools, d, name, func(p *catalog.Pool) { p.Labels = e.apply(p.Labels) })
	}
	return nil, usagef("label %q: want workspace, endpoint or pool", kind)
}

func (a *app) newLabel() *cobra.Command {
	edit := editor{app: a}
	cmd := &cobra.Command{
		Use:   "label workspace|endpoint|pool NAME LABEL...",
		Short: "Set labels (name=value) and remove them (name-)",
		Example: `  daisyslip label endpoint engine-3 zone=b heat-
  daisyslip label workspace coop-7 tier=gold`,
		Args:      cobra.MinimumNArgs(3),
		ValidArgs: []string{"workspace", "endpoint", "pool"},
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			labels, err := parseLabels(args[2:])
			if err != nil {
				return err
			}
			return edit.run(ctx, cmd, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				return labels.ops(d, args[0], args[1])
			})
		}),
	}
	edit.addFlags(cmd)
	return cmd
}
