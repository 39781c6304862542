// Command daisyslipd runs one router. Invalid settings have an exit code of their own,
// daemoncli.ExitSettings.
package main

import (
	"errors"
	"fmt"
	"os"

	"daisyslip.dev/daisyslip/internal/daemoncli"
)

func main() {
	err := daemoncli.NewCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "daisyslipd:", err)
	var settingsErr *daemoncli.SettingsError
	if errors.As(err, &settingsErr) {
		os.Exit(daemoncli.ExitSettings)
	}
	os.Exit(daemoncli.ExitFailure)
}
