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

// ExitPartial is the exit code of a command that printed the events of some
// routers while others did not respond.
const ExitPartial = 5

// errPartial is returned if some routers did not respond. ExitCode maps it to
// ExitPartial.
var errPartial = errors.New("some routers did not answer")

// defaultFollowInterval is the default time between two reads of new events with
// --follow.
const defaultFollowInterval = 500 * time.Millisecond

// eventsCommand holds the values of the flags of the events command.
type eventsCommand struct {
	app       *app
	request   string
	filter    timeline.Filter
	component string
	kind      string
	since     string
	until     string
	follow    bool
	interval  time.Duration
	givenOnly bool
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
	flags.StringVar(&e.component, "duty", "", "only events of this duty, such as config or budget")
	flags.StringVar(&e.kind, "kind", "", "only events of this kind, such as grant_drawn")
	flags.StringVar(&e.since, "since", "", "only events since a time (RFC 3339) or for a duration (10m)")
	flags.StringVar(&e.until, "until", "", "only events before a time (RFC 3339) or up to a duration ago (5m)")
	flags.BoolVarP(&e.follow, "follow", "f", false, "go on printing new events until interrupted")
	flags.DurationVar(&e.interval, "interval", defaultFollowInterval, "time between two reads with --follow")
	flags.BoolVar(&e.givenOnly, "given-only", false, "ask only the given routers, not their peers")
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
		return e.followEvents(ctx, cmd, sources)
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
	return reportNotices(cmd.ErrOrStderr(), notices, countRouters(sources))
}

// readFlags validates the flags and sets the fields of the filter that need
// parsing. Durations in --since and --until count back from now.
func (e *eventsCommand) readFlags(now time.Time) error {
	e.filter.Component, e.filter.Kind = event.Component(e.component), event.Kind(e.kind)
	var err error
	if e.filter.From, err = parseTime(e.since, now); err != nil {
		return usagef("--since: %w", err)
	}
	if e.filter.To, err = parseTime(e.until, now); err != nil {
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

// parseTime parses a time in RFC 3339, or a duration that it subtracts from now.
// An empty text is the zero time.
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

// sources returns the event sources to read: the given routers and, without
// --given-only, their peers. Without --follow it includes the copies that each
// router keeps of other routers' events.
func (e *eventsCommand) sources(ctx context.Context) []timeline.Source {
	urls := slices.Clone(e.app.routers)
	if !e.givenOnly {
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

// withPeers returns urls and the operator API URLs of the peers that the routers
// at urls report. A router that does not respond adds none.
func (a *app) withPeers(ctx context.Context, urls []string) []string {
	routers := slices.Clone(urls)
	for _, url := range urls {
		statusCtx, cancel := context.WithTimeout(ctx, timeline.DefaultTimeout)
		status, err := a.connect(url).Status(statusCtx)
		cancel()
		if err != nil {
			continue
		}
		for _, p := range status.Peers {
			if p.Operator != "" && !slices.Contains(routers, p.Operator) {
				routers = append(routers, p.Operator)
			}
		}
	}
	return routers
}

// followEvents prints new events until ctx ends. It then also prints the events
// that the collector has read but not returned yet, because a router may still
// report earlier ones.
func (e *eventsCommand) followEvents(ctx context.Context, cmd *cobra.Command, sources []timeline.Source) error {
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

// countRouters returns the number of sources that read a router's own events,
// not copies of other routers' events.
func countRouters(sources []timeline.Source) int {
	n := 0
	for _, s := range sources {
		if _, backup := s.(timeline.Backup); !backup {
			n++
		}
	}
	return n
}

// print writes one event per line, as JSON or text according to --output.
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

// printNotices writes one line for each notice.
func printNotices(w io.Writer, notices []timeline.Notice) {
	for _, n := range notices {
		fmt.Fprintln(w, "daisyslip: "+n.String())
	}
}

// reportNotices prints the notices about missing events and returns the error of
// the command: nil if all routers responded, errPartial if only some did, and
// another error if none did. routers is the number of routers that were queried.
func reportNotices(w io.Writer, notices []timeline.Notice, routers int) error {
	printNotices(w, notices)
	unreachable := 0
	for _, n := range notices {
		if n.Err != nil {
			unreachable++
		}
	}
	switch unreachable {
	case 0:
		return nil
	case routers:
		return errors.New("no router answered")
	}
	return errPartial
}
