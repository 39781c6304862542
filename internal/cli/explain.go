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

	"daisyslip.dev/daisyslip/coord/failure"
)

// logLine is one parsed line of a router's structured log.
type logLine struct {
	Timestamp time.Time
	Source    string // last word before the JSON, such as the router's name, else the file name
	Level     string
	Message   string
	// Fields are the fields other than time, level and msg, in the order of the
	// line.
	Fields []logField
}

type logField struct{ Name, Value string }

// field returns the value of the first field with this name, or "".
func (l logLine) field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// contextWindow is how long before the first line of a request and after its last
// one the lines about its endpoints, its workspace and the store are shown.
const contextWindow = 3 * time.Second

// maxLogLine is the length of the longest line that can be read, in bytes.
const maxLogLine = 1 << 20

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell a request's story from the logs of all routers",
		Long: `explain reads structured logs, from files or standard input, and prints in
order what the routers decided about one request, and what they learned shortly
before of the endpoints that it met and of the store. Of a request that was refused
because it, or a prompt with its segments, crashes endpoints it also prints what
all routers know against its fingerprint and these segments. Times are those of
the routers' clocks. Lines may have a prefix before their JSON.`,
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
				fmt.Fprintln(cmd.OutOrStdout(), l.format(args[0]))
			}
			return nil
		},
	}
}

// readLogs reads the lines of the files at paths, or of in if there are none. It
// also returns the number of lines that could not be parsed.
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

// scanLog reads the lines of one log. name is the source of lines without a
// prefix.
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

// parseLogLine parses a line with an optional prefix before its JSON. The last
// word of the prefix is the source; without a prefix it is name. It reports false
// if the line has no JSON object or no time.
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
	return l, !l.Timestamp.IsZero()
}

// setField sets Timestamp, Level or Message, or adds to Fields, from one JSON field
// of the line.
func (l *logLine) setField(key string, value any) {
	text := fmt.Sprint(value)
	switch key {
	case "time":
		if at, err := time.Parse(time.RFC3339Nano, text); err == nil {
			l.Timestamp = at
		}
	case "level":
		l.Level = text
	case "msg":
		l.Message = text
	default:
		l.Fields = append(l.Fields, logField{Name: key, Value: text})
	}
}

// format returns the line as text, without its level, empty fields and the id of the
// request that is explained.
func (l logLine) format(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Timestamp.Format("15:04:05.000"), l.Source, l.Message)
	for _, f := range l.Fields {
		if f.Value != "" && (f.Name != "request" || f.Value != id) {
			fmt.Fprintf(&b, "  %s=%s", f.Name, f.Value)
		}
	}
	return b.String()
}

// linesOfRequest returns, in the order of their times, the lines of a request and
// the lines that may explain them. These are lines without a request id that were
// written within contextWindow by a router that handled the request, and that are
// about an endpoint or the workspace of the request or about the store. A line is
// about the store if its message contains "store ". If the request was refused by a
// quarantine, the lines of all routers about its fingerprint and about the quarantined
// segments of its prompt are included, too.
func linesOfRequest(id string, lines []logLine) []logLine {
	endpoints, sources := make(map[string]bool), make(map[string]bool)
	workspaces := make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.field("request") != id {
			continue
		}
		if first.IsZero() || l.Timestamp.Before(first) {
			first = l.Timestamp
		}
		if l.Timestamp.After(last) {
			last = l.Timestamp
		}
		sources[l.Source] = true
		endpoints[l.field("endpoint")] = true
		workspaces[l.field("workspace")] = true
	}
	delete(endpoints, "")
	delete(workspaces, "")
	evidence := refusedBy(id, lines)
	var trace []logLine
	for _, l := range lines {
		inWindow := !first.IsZero() && sources[l.Source] && l.Timestamp.After(first.Add(-contextWindow)) && l.Timestamp.Before(last.Add(contextWindow))
		related := l.field("request") == "" && (endpoints[l.field("endpoint")] || workspaces[l.field("workspace")] || strings.Contains(l.Message, "store "))
		if l.field("request") == id || inWindow && related || evidence.has(l) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, func(a, b logLine) int { return a.Timestamp.Compare(b.Timestamp) })
	return trace
}

// quarantinePrefix begins the messages of the component that quarantines requests, and
// requestSubject what such a message names if that is a fingerprint.
const (
	quarantinePrefix = "quarantine: "
	requestSubject   = "request:"
)

// quarantineEvidence selects the lines that tell why a quarantine refused a request.
type quarantineEvidence struct {
	fingerprint string // "" if the request was not refused for that reason, or if the log has none
	segments    map[string]bool
}

// refusedBy returns what selects the lines about the refusal of a request. The segments are
// those of its prompt that a line about a quarantine names.
func refusedBy(id string, lines []logLine) quarantineEvidence {
	found := quarantineEvidence{segments: make(map[string]bool)}
	prompt := make(map[string]bool)
	for _, l := range lines {
		if l.field("request") == id && l.field("outcome") == string(failure.Quarantined) {
			found.fingerprint = l.field("fingerprint")
			for segment := range strings.SplitSeq(l.field("segments"), ",") {
				prompt[segment] = true
			}
		}
	}
	for _, l := range lines {
		if l.Message != quarantinePrefix+"segments quarantined" {
			continue
		}
		for _, segment := range segmentsNamed(l.field("segments")) {
			if prompt[segment] {
				found.segments[segment] = true
			}
		}
	}
	return found
}

// has reports whether the line is part of the evidence.
func (e quarantineEvidence) has(l logLine) bool {
	if !strings.HasPrefix(l.Message, quarantinePrefix) {
		return false
	}
	subject := l.field("subject")
	if e.fingerprint != "" && (l.field("fingerprint") == e.fingerprint || subject == requestSubject+e.fingerprint) {
		return true
	}
	named := slices.Concat(segmentsNamed(l.field("segments")), segmentsNamed(subject))
	return slices.ContainsFunc(named, func(segment string) bool { return e.segments[segment] })
}

// segmentsNamed returns the segments in a list, or in the name of a quarantined set, which
// has its pool before a slash.
func segmentsNamed(text string) []string {
	if _, names, found := strings.Cut(text, "/"); found {
		text = names
	}
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == '+' })
}
