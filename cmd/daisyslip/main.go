// Command daisyslip is the command-line client for operating a fleet of routers.
package main

import (
	"fmt"
	"os"

	"daisyslip.dev/daisyslip/internal/cli"
)

func main() {
	if err := cli.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "daisyslip:", err)
		os.Exit(cli.ExitCode(err))
	}
}
