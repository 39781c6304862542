package cli

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/client"
	"daisyslip.dev/daisyslip/internal/fleetconfig"
	"daisyslip.dev/daisyslip/internal/operator"
)

func (a *app) newHistory() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the newest changes: who, when, what and why",
		Args:  cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			revisions, err := c.History(ctx, limit)
			if err != nil {
				return err
			}
			t := table{header: []string{"REVISION", "AT", "AUTHOR", "NOTE", "CHANGES"}}
			for _, r := range revisions {
				t.rows = append(t.rows, []string{strconv.FormatInt(r.Revision, 10), r.At.Format(time.RFC3339), r.Author, r.Note, summarizeOps(r.Ops)})
			}
			return a.print(cmd.OutOrStdout(), revisions, t)
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "number of changes")
	return cmd
}

// summarizeOps lists the entities that operations change, such as
// "put rule gold, delete pool old".
func summarizeOps(ops []fleetconfig.Op) string {
	summaries := make([]string, 0, len(ops))
	for _, op := range ops {
		summaries = append(summaries, opVerb(op)+" "+string(op.Kind)+" "+op.Name)
	}
	return strings.Join(summaries, ", ")
}

// opVerb returns "delete" for an operation without a value, else "put".
func opVerb(op fleetconfig.Op) string {
	if len(op.Put) == 0 || string(op.Put) == "null" {
		return "delete"
	}
	return "put"
}

func (a *app) newDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FROM TO",
		Short: "Show what differs between two revisions",
		Args:  cobra.ExactArgs(2),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			from, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			to, err := parseRevision(args[1])
			if err != nil {
				return err
			}
			ops, err := c.Diff(ctx, from, to)
			if err != nil {
				return err
			}
			t := table{header: []string{"CHANGE", "KIND", "NAME", "VALUE"}}
			for _, op := range ops {
				t.rows = append(t.rows, []string{opVerb(op), string(op.Kind), op.Name, string(op.Put)})
			}
			return a.print(cmd.OutOrStdout(), ops, t)
		}),
	}
}

func (a *app) newRollback() *cobra.Command {
	var note string
	var wait bool
	cmd := &cobra.Command{
		Use:     "rollback REVISION",
		Short:   "Commit the configuration of an earlier revision as a new one",
		Example: `  daisyslip config rollback 41 --note "the new rule starved the batch pool" --wait`,
		Args:    cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			to, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			document, err := c.Config(ctx)
			if err != nil {
				return err
			}
			result, err := c.Rollback(ctx, document.Revision, operator.Rollback{To: to, Note: note})
			if err != nil {
				return err
			}
			return a.awaitChange(ctx, cmd, c, result, wait)
		}),
	}
	cmd.Flags().StringVar(&note, "note", "", "why the change is made, for the history")
	addWaitFlag(cmd, &wait)
	return cmd
}

func (a *app) newRevisionStatus() *cobra.Command {
	var wait bool
	cmd := &cobra.Command{
		Use:   "revision REVISION",
		Short: "Say whether a revision is in force everywhere, and who it waits for",
		Args:  cobra.ExactArgs(1),
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, args []string) error {
			revision, err := parseRevision(args[0])
			if err != nil {
				return err
			}
			result, err := c.RevisionStatus(ctx, revision, time.Second)
			if err != nil {
				return err
			}
			return a.awaitChange(ctx, cmd, c, result, wait)
		}),
	}
	addWaitFlag(cmd, &wait)
	return cmd
}

func (a *app) newMembers() *cobra.Command {
	return &cobra.Command{
		Use:   "members",
		Short: "List the other routers that the given router knows",
		Args:  cobra.NoArgs,
		RunE: a.runWithClient(func(ctx context.Context, cmd *cobra.Command, c *client.Client, _ []string) error {
			members, err := c.Members(ctx)
			if err != nil {
				return err
			}
			t := table{header: []string{"VM", "INCARNATION", "DOMAIN", "ADDRESS", "STATE"}}
			for _, m := range members {
				t.rows = append(t.rows, []string{m.Peer.ID.VM, m.Peer.ID.Incarnation, m.Peer.Domain, m.Peer.Addr, strings.Join(m.Flags(), ",")})
			}
			return a.print(cmd.OutOrStdout(), members, t)
		}),
	}
}

// parseRevision parses an argument that is a revision number, from 0.
func parseRevision(text string) (int64, error) {
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, usagef("%q is no revision", text)
	}
	return revision, nil
}
