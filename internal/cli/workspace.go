package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/catalog"
	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
)

func (a *app) newWorkspace() *cobra.Command {
	cmd := &cobra.Command{Use: "workspace", Short: "Workspaces: customers with keys and budgets"}
	addCommonCommands(a, cmd, workspaces)
	cmd.AddCommand(a.newWorkspaceCreate(), a.newKeyAdd(), a.newKeyRemove(),
		newFixedChange(a, workspaces, "disable", "Refuse all requests of a workspace", func(w *catalog.Workspace) { w.Disabled = true }),
		newFixedChange(a, workspaces, "enable", "Serve a workspace again", func(w *catalog.Workspace) { w.Disabled = false }))
	return cmd
}

// newSecret returns a new secret with at least 130 random bits. Callers' keys
// and operators' tokens are made of it.
func newSecret() string { return "ds-" + rand.Text() }

// CreatedKey is the output of a command that adds a key. Key is the secret, which
// is shown only here; the configuration stores Hash.
type CreatedKey struct {
	Change    fleetconfig.RevisionStatus `json:"change"`
	Workspace string                     `json:"workspace"`
	Key       string                     `json:"key"`
	Hash      string                     `json:"hash"`
}

// printKey prints a new key. The caller has committed the change that adds it.
func (a *app) printKey(cmd *cobra.Command, change fleetconfig.RevisionStatus, workspace, secret string) error {
	key := CreatedKey{Change: change, Workspace: workspace, Key: secret, Hash: catalog.HashKey(secret)}
	t := table{
		header: []string{"REVISION", "STATE", "WORKSPACE", "KEY (shown once)", "HASH"},
		rows:   [][]string{{strconv.FormatInt(change.Revision, 10), changeState(change), key.Workspace, key.Key, key.Hash}},
	}
	return a.print(cmd.OutOrStdout(), key, t)
}

func (a *app) newWorkspaceCreate() *cobra.Command {
	edit := editor{app: a}
	var w catalog.Workspace
	var budgetName string
	cmd := &cobra.Command{
		Use:   "create NAME",
		Short: "Create a workspace with a first key",
		Long: `create creates a workspace and a first key, which is printed once and stored
only as a hash. Pay the budget with: daisyslip budget topup.`,
		Example: "  daisyslip workspace create coop-7 --label tier=gold --lean small_holdings",
		Args:    cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			secret := newSecret()
			w.Keys = []catalog.AccessKey{{Hash: catalog.HashKey(secret), Budget: budgetName}}
			result, err := edit.commit(ctx, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				if _, err := workspaces.find(d, args[0]); err == nil {
					return nil, usagef("there is a workspace %q; change it with put, label or key", args[0])
				}
				op, err := putOp(fleetconfig.KindWorkspace, args[0], w)
				return []fleetconfig.Op{op}, err
			})
			if err != nil {
				return err
			}
			return a.printKey(cmd, result, args[0], secret)
		}),
	}
	cmd.Flags().StringVar(&budgetName, "key-budget", catalog.DefaultBudget, "budget that the key draws on")
	cmd.Flags().StringToStringVar(&w.Labels, "label", nil, "labels as name=value")
	cmd.Flags().StringVar((*string)(&w.GrantPolicy), "lean", "", "small_holdings (little in doubt after a crash) or serve (stock for an outage)")
	edit.addFlags(cmd)
	return cmd
}

func (a *app) newKeyAdd() *cobra.Command {
	edit := editor{app: a}
	var budgetName string
	cmd := &cobra.Command{
		Use:     "add-key NAME",
		Short:   "Add a key to a workspace and print it once",
		Example: "  daisyslip workspace add-key coop-7 --key-budget night",
		Args:    cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			secret := newSecret()
			key := catalog.AccessKey{Hash: catalog.HashKey(secret), Budget: budgetName}
			result, err := edit.commit(ctx, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				return updateOp(workspaces, d, args[0], func(w *catalog.Workspace) { w.Keys = append(w.Keys, key) })
			})
			if err != nil {
				return err
			}
			return a.printKey(cmd, result, args[0], secret)
		}),
	}
	cmd.Flags().StringVar(&budgetName, "key-budget", catalog.DefaultBudget, "budget that the key draws on")
	edit.addFlags(cmd)
	return cmd
}

func (a *app) newKeyRemove() *cobra.Command {
	edit := editor{app: a}
	cmd := &cobra.Command{
		Use:   "remove-key NAME HASH",
		Short: "Remove a key, by its hash, from a workspace",
		Args:  cobra.ExactArgs(2),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			return edit.run(ctx, cmd, c, func(d catalog.Document) ([]fleetconfig.Op, error) {
				return removeKey(d, args[0], args[1])
			})
		}),
	}
	edit.addFlags(cmd)
	return cmd
}

// removeKey returns the operation that removes the key with this hash from the
// workspace with this name. It is a usage error if there is no such key.
func removeKey(d catalog.Document, name, hash string) ([]fleetconfig.Op, error) {
	w, err := workspaces.find(d, name)
	if err != nil {
		return nil, err
	}
	var remaining []catalog.AccessKey
	for _, key := range w.Keys {
		if key.Hash != hash {
			remaining = append(remaining, key)
		}
	}
	if len(remaining) == len(w.Keys) {
		return nil, usagef("workspace %q has no key with hash %q", name, hash)
	}
	w.Keys = remaining
	op, err := putOp(fleetconfig.KindWorkspace, name, w)
	return []fleetconfig.Op{op}, err
}

func newToken() *cobra.Command {
	cmd := &cobra.Command{Use: "token", Short: "Operators' tokens and their hashes for the settings"}
	cmd.AddCommand(&cobra.Command{
		Use:   "new",
		Short: "Make a token; put the hash into operator.token_hash",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			secret := newSecret()
			fmt.Fprintf(cmd.OutOrStdout(), "token: %s\nhash:  %s\n", secret, catalog.HashKey(secret))
		},
	}, &cobra.Command{
		Use:   "hash TOKEN",
		Short: "Print the hash of a token",
		Args:  cobra.ExactArgs(1),
		Run: func(cmd *cobra.Command, args []string) {
			fmt.Fprintln(cmd.OutOrStdout(), catalog.HashKey(args[0]))
		},
	})
	return cmd
}
