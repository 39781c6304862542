package cli

import (
	"time"

	"github.com/spf13/cobra"

	"daisyslip.dev/daisyslip/internal/peer"
	"daisyslip.dev/daisyslip/internal/tlsfile"
)

// defaultValidity is the default of --validity, the time for which a new
// certificate is valid.
const defaultValidity = 365 * 24 * time.Hour

func (a *app) newCertificate() *cobra.Command {
	cmd := &cobra.Command{Use: "certificate", Short: "Certificates for the listeners of routers"}
	cmd.AddCommand(a.newCertificateNew())
	return cmd
}

func (a *app) newCertificateNew() *cobra.Command {
	var dir string
	var hosts []string
	var validity time.Duration
	cmd := &cobra.Command{
		Use:   "new --dir DIR --host HOST...",
		Short: "Make a self-signed certificate and its key",
		Long: `new writes cert.pem and key.pem to a directory and replaces no file. The
certificate is its own authority: give cert.pem to those who connect. For the
link between routers, the host is ` + peer.CertName + `, and peer.ca_file names the
same cert.pem.`,
		Example: `  daisyslip certificate new --dir callers --host 10.0.0.7
  daisyslip certificate new --dir peers --host ` + peer.CertName,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(hosts) == 0 || validity <= 0 {
				return usagef("name one --host or more, and a --validity above 0")
			}
			files, err := tlsfile.Generate(dir, hosts, validity)
			if err != nil {
				return err
			}
			t := table{header: []string{"CERTIFICATE", "KEY"}, rows: [][]string{{files.CertFile, files.KeyFile}}}
			return a.print(cmd.OutOrStdout(), files, t)
		},
	}
	cmd.Flags().StringVar(&dir, "dir", ".", "directory to write to")
	cmd.Flags().StringSliceVar(&hosts, "host", nil, "names or IP numbers that the certificate is for")
	cmd.Flags().DurationVar(&validity, "validity", defaultValidity, "how long it is valid")
	return cmd
}
