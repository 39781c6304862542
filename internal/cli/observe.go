package cli

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/coord/budget"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/operator"
)

func (a *app) newBudget() *cobra.Command {
	cmd := &cobra.Command{Use: "budget", Short: "Prepaid budgets: pay, show, settle doubts"}
	cmd.AddCommand(a.newBudgetShow(), a.newTopUp(), a.newInDoubtGrants(), a.newResolveGrant(), a.newResolveRouter())
	return cmd
}

// balanceTable returns the table of one budget, in tokens.
func balanceTable(b budget.Balance) table {
	return table{
		header: []string{"BUDGET", "PAID", "UNSPENT", "HELD", "SETTLED", "IN DOUBT"},
		rows: [][]string{{b.Account.String(), strconv.FormatInt(b.Paid, 10), strconv.FormatInt(b.Unspent, 10),
			strconv.FormatInt(b.Held, 10), strconv.FormatInt(b.Settled, 10), strconv.FormatInt(b.InDoubt, 10)}},
	}
}

func (a *app) newBudgetShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show WORKSPACE BUDGET",
		Short: "Show what is paid, unspent, held by routers, settled and in doubt, in tokens",
		Args:  cobra.ExactArgs(2),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			balance, err := c.Balance(ctx, budget.Account{Workspace: args[0], Budget: args[1]})
			if err != nil {
				return err
			}
			return a.print(cmd.OutOrStdout(), balance, balanceTable(balance))
		}),
	}
}

func (a *app) newTopUp() *cobra.Command {
	var id string
	var tokens int64
	cmd := &cobra.Command{
		Use:   "topup WORKSPACE BUDGET --tokens N --id ID",
		Short: "Add paid tokens to a budget; the same id is applied once",
		Long: `topup adds paid tokens to a budget and creates it if need be. Give the id of
the payment: when the answer was lost, run the same command again and the
tokens are added once.`,
		Example: "  daisyslip budget topup coop-7 default --tokens 500000 --id invoice-4711",
		Args:    cobra.ExactArgs(2),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			if tokens <= 0 {
				return usagef("--tokens %d: want a number above 0", tokens)
			}
			if id == "" {
				id = uuid.NewString()
			}
			balance, err := c.TopUp(ctx, budget.Account{Workspace: args[0], Budget: args[1]}, id, tokens)
			if err != nil {
				return err
			}
			return a.print(cmd.OutOrStdout(), balance, balanceTable(balance))
		}),
	}
	cmd.Flags().Int64Var(&tokens, "tokens", 0, "tokens to add")
	cmd.Flags().StringVar(&id, "id", "", "id of the payment; empty makes a new one")
	return cmd
}

func (a *app) newConfig() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "The whole configuration and its history"}
	cmd.AddCommand(a.newHistory(), a.newDiff(), a.newRollback(), a.newRevisionStatus())
	cmd.AddCommand(&cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force as JSON",
		Args:  cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			document, err := c.Config(ctx)
			if err != nil {
				return err
			}
			jsonApp := app{output: "json"}
			return jsonApp.print(cmd.OutOrStdout(), document, table{})
		}),
	})
	return cmd
}

// RouterStatus is the status of one router, or the error of the request for it.
// Operator is the URL of the router's operator API. The status command prints a list
// of them as JSON.
type RouterStatus struct {
	Operator string           `json:"operator"`
	Status   *operator.Status `json:"status,omitempty"`
	Error    string           `json:"error,omitempty"`
}

func (a *app) newStatus() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show what each router says of itself, also those that the given ones name as peers",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := a.client(); err != nil {
				return err
			}
			ctx, cancel := a.context(cmd)
			defer cancel()
			statuses := a.fetchFleetStatus(ctx)
			return a.print(cmd.OutOrStdout(), statuses, statusTable(statuses))
		},
	}
}

// fetchFleetStatus reads the status of the given routers and, transitively, of
// the peers that they report. The result is ordered by VM.
func (a *app) fetchFleetStatus(ctx context.Context) []RouterStatus {
	var statuses []RouterStatus
	urls := slices.Clone(a.routers)
	for i := 0; i < len(urls); i++ {
		router := a.fetchStatus(ctx, urls[i])
		statuses = append(statuses, router)
		if router.Status == nil {
			continue
		}
		for _, p := range router.Status.Peers {
			if p.Operator != "" && !slices.Contains(urls, p.Operator) {
				urls = append(urls, p.Operator)
			}
		}
	}
	slices.SortStableFunc(statuses, func(x, y RouterStatus) int { return cmp.Compare(x.vm(), y.vm()) })
	return statuses
}

// vm returns the name of the router's VM, or "" if its status is unknown.
func (r RouterStatus) vm() string {
	if r.Status == nil {
		return ""
	}
	return r.Status.Self.ID.VM
}

// fetchStatus reads the status of the router at url.
func (a *app) fetchStatus(ctx context.Context, url string) RouterStatus {
	status, err := a.connect(url).Status(ctx)
	if err != nil {
		return RouterStatus{Operator: url, Error: err.Error()}
	}
	return RouterStatus{Operator: url, Status: &status}
}

// statusTable returns one row for each router.
func statusTable(statuses []RouterStatus) table {
	t := table{header: []string{"VM", "DOMAIN", "REVISION", "IN FLIGHT", "PEERS", "UP", "STATE"}}
	for _, r := range statuses {
		if r.Status == nil {
			t.rows = append(t.rows, []string{r.Operator, "", "", "", "", "", "no answer: " + r.Error})
			continue
		}
		s := r.Status
		t.rows = append(t.rows, []string{s.Self.ID.VM, s.Self.Domain, strconv.FormatInt(s.Revision, 10), strconv.Itoa(s.InFlight),
			strconv.Itoa(len(s.Peers)), time.Since(s.StartedAt).Round(time.Second).String(), routerState(s)})
	}
	return t
}

// routerState returns the content of the STATE column: draining, ready, or not
// ready with the reasons.
func routerState(s *operator.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case len(s.UnreadyReasons) > 0:
		return "not ready: " + strings.Join(s.UnreadyReasons, "; ")
	}
	return "ready"
}
