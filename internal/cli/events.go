package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/coord/clock"
	"daisyslip.dev/daisyslip/coord/event"
	"daisyslip.dev/daisyslip/internal/timeline"
)

// ExitPartial: some routers did not answer; what the others said is printed.
const ExitPartial = 5

// errPartial marks an answer that lacks some routers, for ExitPartial.
var errPartial = errors.New("some routers did not answer")

// defaultFollowInterval is the time between two reads of a time line that is
// followed.
const defaultFollowInterval = 500 * time.Millisecond

// eventsCommand holds the flags of the events command.
type eventsCommand struct {
	app      *app
	request  string
	filter   timeline.Filter
	duty     string
	kind     string
	from     string
	to       string
	follow   bool
	interval time.Duration
	alone    bool
}

func (a *app) newEvents() *cobra.Command {
	e := &eventsCommand{app: a}
	cmd := &cobra.Command{
		Use:   "events",
		Short: "Print the time line of events over all routers, in causal order",
		Long: `events merges what all routers have recorded into one time line. It asks the
given routers and those that they name as peers. With --request it tells the
whole story of a request: its events at every router, those of the tries that
share its Idempotency-Key, and the platform's transactions behind them.

What is lacking is said on standard error: routers that do not answer, and
events that were overwritten before they were read. When some routers did not
answer, the exit code is 5.`,
		Example: `  daisyslip events --since 10m --workspace coop-7
  daisyslip events --request 6f0c2f0e-0b7c-4b55-8d1e-b5a8f1f7f9d1
  daisyslip events --follow --duty config --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return e.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&e.request, "request", "", "tell the story of this request")
	flags.StringVar(&e.filter.Workspace, "workspace", "", "only events of this workspace")
	flags.StringVar(&e.filter.Endpoint, "endpoint", "", "only events of this endpoint")
	flags.StringVar(&e.duty, "duty", "", "only events of this duty, such as config or budget")
	flags.StringVar(&e.kind, "kind", "", "only events of this kind, such as grant_drawn")
	flags.StringVar(&e.from, "since", "", "only events since a time (RFC 3339) or for a duration (10m)")
	flags.StringVar(&e.to, "until", "", "only events before a time (RFC 3339) or up to a duration ago (5m)")
	flags.BoolVarP(&e.follow, "follow", "f", false, "go on printing new events until interrupted")
	flags.DurationVar(&e.interval, "interval", defaultFollowInterval, "time between two reads with --follow")
	flags.BoolVar(&e.alone, "given-only", false, "ask only the given routers, not their peers")
	return cmd
}

func (e *eventsCommand) run(cmd *cobra.Command) error {
	if err := e.readFlags(time.Now()); err != nil {
		return err
	}
	if _, err := e.app.client(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	sources := e.sources(ctx)
	if e.follow {
		return e.followAll(ctx, cmd, sources)
	}
	ctx, cancel := context.WithTimeout(ctx, e.app.timeout)
	defer cancel()
	var events []event.Event
	var notices []timeline.Notice
	if e.request != "" {
		events, notices = timeline.Trace(ctx, sources, e.request)
		events = slices.DeleteFunc(events, func(v event.Event) bool { return !e.filter.Matches(&v) })
	} else {
		events, notices = timeline.NewCollector(sources).All(ctx, e.filter)
	}
	if err := e.print(cmd.OutOrStdout(), events); err != nil {
		return err
	}
	return conclude(cmd.ErrOrStderr(), notices, countRouters(sources))
}

// readFlags checks the flags and completes the filter.
func (e *eventsCommand) readFlags(now time.Time) error {
	e.filter.Component, e.filter.Kind = event.Component(e.duty), event.Kind(e.kind)
	var err error
	if e.filter.From, err = parseTime(e.from, now); err != nil {
		return usagef("--since: %w", err)
	}
	if e.filter.To, err = parseTime(e.to, now); err != nil {
		return usagef("--until: %w", err)
	}
	if e.follow && e.request != "" {
		return usagef("--follow and --request do not go together")
	}
	if e.interval <= 0 {
		return usagef("--interval %s: want a duration above 0", e.interval)
	}
	return nil
}

// parseTime reads a time, or a duration before now; empty is no time.
func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil {
		return now.Add(-ago), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, fmt.Errorf("%q is neither a duration nor a time in RFC 3339", text)
	}
	return t, nil
}

// sources returns the given routers and those that they name as peers.
func (e *eventsCommand) sources(ctx context.Context) []timeline.Source {
	urls := slices.Clone(e.app.routers)
	if !e.alone {
		urls = e.app.withPeers(ctx, urls)
	}
	var sources []timeline.Source
	for _, url := range urls {
		c := e.app.connect(url)
		sources = append(sources, c)
		if !e.follow {
			sources = append(sources, c.Backup())
		}
	}
	return sources
}

// withPeers adds the operator addresses that the routers at urls know of
// their peers. A router that does not answer adds none.
func (a *app) withPeers(ctx context.Context, urls []string) []string {
	all := slices.Clone(urls)
	for _, url := range urls {
		bounded, cancel := context.WithTimeout(ctx, timeline.DefaultTimeout)
		status, err := a.connect(url).Status(bounded)
		cancel()
		if err != nil {
			continue
		}
		for _, p := range status.Peers {
			if p.Operator != "" && !slices.Contains(all, p.Operator) {
				all = append(all, p.Operator)
			}
		}
	}
	return all
}

// followAll prints new events until ctx ends.
func (e *eventsCommand) followAll(ctx context.Context, cmd *cobra.Command, sources []timeline.Source) error {
	collector := timeline.NewCollector(sources)
	for {
		events, notices := collector.Next(ctx, e.filter)
		if ctx.Err() != nil {
			return e.print(cmd.OutOrStdout(), append(events, collector.TakePending()...))
		}
		if err := e.print(cmd.OutOrStdout(), events); err != nil {
			return err
		}
		printNotices(cmd.ErrOrStderr(), notices)
		if clock.Sleep(ctx, clock.Real{}, e.interval) != nil {
			return e.print(cmd.OutOrStdout(), collector.TakePending())
		}
	}
}

// countRouters counts the sources that are routers themselves.
func countRouters(sources []timeline.Source) int {
	n := 0
	for _, s := range sources {
		if _, backup := s.(timeline.Backup); !backup {
			n++
		}
	}
	return n
}

// print writes one event a line.
func (e *eventsCommand) print(w io.Writer, events []event.Event) error {
	encoder := json.NewEncoder(w)
	for _, v := range events {
		if e.app.output == "json" {
			if err := encoder.Encode(v); err != nil {
				return fmt.Errorf("print event: %w", err)
			}
			continue
		}
		if _, err := fmt.Fprintln(w, timeline.FormatEvent(v)); err != nil {
			return fmt.Errorf("print event: %w", err)
		}
	}
	return nil
}

func printNotices(w io.Writer, notices []timeline.Notice) {
	for _, n := range notices {
		fmt.Fprintln(w, "daisyslip: "+n.String())
	}
}

// conclude says what is lacking and returns the error of the command.
func conclude(w io.Writer, notices []timeline.Notice, routers int) error {
	printNotices(w, notices)
	silent := 0
	for _, n := range notices {
		if n.Err != nil {
			silent++
		}
	}
	switch silent {
	case 0:
		return nil
	case routers:
		return errors.New("no router answered")
	}
	return errPartial
}
