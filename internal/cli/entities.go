package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

// Entity types of the configuration, with the columns that the list and show
// commands print.

var workspaces = entityType[catalog.Workspace]{
	kind:   fleetconfig.KindWorkspace,
	list:   func(d catalog.Document) []catalog.Workspace { return d.Workspaces },
	name:   func(w catalog.Workspace) string { return w.Name },
	header: []string{"NAME", "KEYS", "LEAN", "DISABLED", "LABELS"},
	row: func(w catalog.Workspace) []string {
		return []string{w.Name, strconv.Itoa(len(w.Keys)), string(w.GrantPolicy), strconv.FormatBool(w.Disabled), formatLabels(w.Labels)}
	},
}

var pools = entityType[catalog.Pool]{
	kind:   fleetconfig.KindPool,
	list:   func(d catalog.Document) []catalog.Pool { return d.Pools },
	name:   func(p catalog.Pool) string { return p.Name },
	header: []string{"NAME", "KIND", "SELECTOR", "LABELS"},
	row: func(p catalog.Pool) []string {
		return []string{p.Name, string(p.Kind), p.Selector, formatLabels(p.Labels)}
	},
}

var endpoints = entityType[catalog.Endpoint]{
	kind:   fleetconfig.KindEndpoint,
	list:   func(d catalog.Document) []catalog.Endpoint { return d.Endpoints },
	name:   func(e catalog.Endpoint) string { return e.Name },
	header: []string{"NAME", "URL", "SERVES", "DOMAIN", "LEAVING", "LABELS"},
	row: func(e catalog.Endpoint) []string {
		serves := strings.Join(e.Models, ",") + e.Service
		return []string{e.Name, e.URL, serves, e.Domain, strconv.FormatBool(e.Leaving), formatLabels(e.Labels)}
	},
}

var rules = entityType[catalog.Rule]{
	kind:   fleetconfig.KindRule,
	list:   func(d catalog.Document) []catalog.Rule { return d.Rules },
	name:   func(r catalog.Rule) string { return r.Name },
	header: []string{"NAME", "WORKSPACES", "MODELS", "SERVICES", "ENDPOINTS"},
	row: func(r catalog.Rule) []string {
		return []string{r.Name, r.Workspaces, strings.Join(r.Models, ","), strings.Join(r.Services, ","), r.Endpoints}
	},
}

func (a *app) newPool() *cobra.Command {
	cmd := &cobra.Command{Use: "pool", Short: "Pools: sets of endpoints picked by a selector"}
	addCommonCommands(a, cmd, pools)
	var p catalog.Pool
	create := newCreate(a, pools, &p, "daisyslip pool create engines --kind model --selector role=engine,!old")
	create.Flags().StringVar((*string)(&p.Kind), "kind", string(catalog.PoolModel), "model or service")
	create.Flags().StringVar(&p.Selector, "selector", "", "selector over endpoint labels, such as role=engine,zone in (a,b)")
	cmd.AddCommand(create)
	return cmd
}

func (a *app) newRule() *cobra.Command {
	cmd := &cobra.Command{Use: "rule", Short: "Rules: which work may go to which endpoints"}
	addCommonCommands(a, cmd, rules)
	var r catalog.Rule
	create := newCreate(a, rules, &r, "daisyslip rule create gold-only --workspaces tier=gold --endpoints class=fast")
	create.Flags().StringVar(&r.Workspaces, "workspaces", "", "selector over workspace labels; empty is all")
	create.Flags().StringSliceVar(&r.Models, "model", nil, "models the rule covers; none and no --service is all work")
	create.Flags().StringSliceVar(&r.Services, "service", nil, "services the rule covers")
	create.Flags().StringVar(&r.Endpoints, "endpoints", "", "selector over the labels of the endpoints that the work may go to")
	cmd.AddCommand(create)
	return cmd
}

func (a *app) newEndpoint() *cobra.Command {
	cmd := &cobra.Command{Use: "endpoint", Short: "Endpoints: model engines and instances of plain services"}
	addCommonCommands(a, cmd, endpoints)
	var e catalog.Endpoint
	create := newCreate(a, endpoints, &e, "daisyslip endpoint create engine-4 --url http://10.0.3.4:8000 --model grain-7b --label role=engine")
	create.Flags().StringVar(&e.URL, "url", "", "base URL, by IP number")
	create.Flags().StringSliceVar(&e.Models, "model", nil, "models of an engine")
	create.Flags().StringVar(&e.Service, "service", "", "name of the plain service")
	create.Flags().StringVar(&e.VM, "vm", "", "VM that it runs on")
	create.Flags().StringVar(&e.Domain, "domain", "", "failure domain of the VM")
	create.Flags().IntVar(&e.Slots, "slots", 0, "requests it takes at once; 0 is no bound")
	create.Flags().BoolVar(&e.ChecksFencing, "checks-fencing", false, "it refuses orders with an old fencing number")
	create.Flags().StringToStringVar(&e.Labels, "label", nil, "labels as name=value")
	cmd.AddCommand(create,
		newFixedChange(a, endpoints, "leave", "Send no new work to an endpoint", func(e *catalog.Endpoint) { e.Leaving = true }),
		newFixedChange(a, endpoints, "join", "Send work to an endpoint again", func(e *catalog.Endpoint) { e.Leaving = false }))
	return cmd
}

// newCreate returns the command that creates an entity and refuses a name that
// exists. The caller binds the command's flags to the fields of entity.
func newCreate[T any](a *app, e entityType[T], entity *T, example string) *cobra.Command {
	edit := editor{app: a}
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   fmt.Sprintf("Create a %s", e.kind),
		Example: "  " + example,
		Args:    cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			return edit.run(ctx, cmd, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				if _, err := e.find(d, args[0]); err == nil {
					return nil, usagef("there is a %s %q; change it with put or label", e.kind, args[0])
				}
				op, err := putOp(e.kind, args[0], *entity)
				return []fleetconfig.Op{op}, err
			})
		}),
	}
	edit.addFlags(cmd)
	return cmd
}
