//go:build review3

package main

import (
	"fmt"
	"os"
)

// cases are the script cases by name. Each reports whether the rule was broken.
var cases = map[string]func(record *recorder, dir string, trouble bool) (broken bool, err error){
	"lost-zones":     lostZones,
	"raised-timeout": raisedTimeout,
	"spoiled-events": spoiledEvents(spoiling{event: 5, spoiled: 9, joined: true, resumable: true}),
	"spoiled-first":  spoiledEvents(spoiling{event: 1, spoiled: 7}),
}

// main plays the case named by the first argument and writes its record to the file named by the
// second. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver3 CASE RECORD")
		return 2
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "driver3-")
	if err != nil {
		record.printf("could not run: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	broken, err := cases[os.Args[1]](record, dir, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return 2
	case broken:
		record.printf("the rule was broken")
		return 1
	}
	record.printf("the rule held")
	return 0
}
