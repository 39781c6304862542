package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// logLine is one line of a router's structured log.
type logLine struct {
	Time    time.Time
	Source  string // what stands before the JSON, such as the router's name
	Level   string
	Message string
	// Fields are the other fields, in the order of the line.
	Fields []logField
}

type logField struct{ Name, Value string }

func (l logLine) field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// contextSpan is how long before a request's first line and after its last one
// the news of its endpoints and of the store is shown.
const contextWindow = 3 * time.Second

// maxLogLine bounds a line of the log.
const maxLogLine = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell a request's story from the logs of all routers",
		Long: `explain reads structured logs, from files or standard input, and prints in
order what the routers decided about one request, and what they learned shortly
before of the endpoints that it met and of the store. Times are those of the
routers' clocks. Lines may have a prefix before their JSON.`,
		Example: "  daisyslip explain 9c41d07be2a35f68 router-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, malformed, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			if malformed > 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "%d lines are no JSON and were passed over\n", malformed)
			}
			trace := linesOfRequest(args[0], lines)
			if len(trace) == 0 {
				return fmt.Errorf("no line about request %q in %d lines", args[0], len(lines))
			}
			for _, l := range trace {
				fmt.Fprintln(cmd.OutOrStdout(), l.format())
			}
			return nil
		},
	}
}

func readLogs(in io.Reader, paths []string) (lines []logLine, malformed int, err error) {
	if len(paths) == 0 {
		return scanLog(in, "")
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, 0, fmt.Errorf("open log: %w", err)
		}
		fileLines, fileMalformed, err := scanLog(file, path)
		if err := errors.Join(err, file.Close()); err != nil {
			return nil, 0, fmt.Errorf("read log %s: %w", path, err)
		}
		lines, malformed = append(lines, fileLines...), malformed+fileMalformed
	}
	return lines, malformed, nil
}

func scanLog(in io.Reader, name string) (lines []logLine, malformed int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		l, ok := parseLogLine(scanner.Text(), name)
		if !ok {
			malformed++
			continue
		}
		lines = append(lines, l)
	}
	return lines, malformed, scanner.Err()
}

// parseLogLine reads a line; what stands before its JSON names the source.
func parseLogLine(text, name string) (logLine, bool) {
	prefix, rest, found := strings.Cut(text, "{")
	if !found {
		return logLine{}, false
	}
	l := logLine{Source: name}
	if fields := strings.Fields(prefix); len(fields) > 0 {
		l.Source = fields[len(fields)-1]
	}
	decoder := json.NewDecoder(strings.NewReader("{" + rest))
	if _, err := decoder.Token(); err != nil {
		return logLine{}, false
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return logLine{}, false
		}
		var value any
		if err := decoder.Decode(&value); err != nil {
			return logLine{}, false
		}
		l.setField(fmt.Sprint(key), value)
	}
	return l, !l.Time.IsZero()
}

func (l *logLine) setField(key string, value any) {
	text := fmt.Sprint(value)
	switch key {
	case "time":
		if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
			l.Time = at
		}
	case "level":
		l.Level = text
	case "msg":
		l.Message = text
	default:
		l.Fields = append(l.Fields, logField{Name: key, Value: text})
	}
}

func (l logLine) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Time.Format("15:04:05.000"), l.Source, l.Message)
	for _, f := range l.Fields {
		if f.Name != "request" && f.Value != "" {
			fmt.Fprintf(&b, "  %s=%s", f.Name, f.Value)
		}
	}
	return b.String()
}

// storyOf selects the lines of a request and what explains them, in order.
func linesOfRequest(id string, lines []logLine) []logLine {
	endpoints, sources := make(map[string]bool), make(map[string]bool)
	workspaces := make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.field("request") != id {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		sources[l.Source] = true
		endpoints[l.field("endpoint")] = true
		workspaces[l.field("workspace")] = true
	}
	delete(endpoints, "")
	delete(workspaces, "")
	var trace []logLine
	for _, l := range lines {
		inWindow := !first.IsZero() && sources[l.Source] && l.Time.After(first.Add(-contextWindow)) && l.Time.Before(last.Add(contextWindow))
		related := l.field("request") == "" && (endpoints[l.field("endpoint")] || workspaces[l.field("workspace")] || strings.Contains(l.Message, "store "))
		if l.field("request") == id || inWindow && related {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return trace
}
