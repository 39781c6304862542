//go:build review2

package main

import (
	"fmt"
	"os"
)

// cases are the script cases by name. Each gets its folder and returns an exit code.
var cases = map[string]func(dir string) (int, error){
	"budget":  budgetCase,
	"gone":    goneCase,
	"lost":    lostCase,
	"memory":  memoryCase,
	"tenants": tenantsCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE FOLDER")
		os.Exit(cannot)
	}
	code, err := cases[os.Args[1]](os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = cannot
	}
	os.Exit(code)
}
