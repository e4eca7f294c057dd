package controlcli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"oxbowspan/config"
	"oxbowspan/internal/settings"
)

// problemsError reports a file that was read but whose contents are not valid.
type problemsError struct {
	Problems []string // one sentence for each
}

func (e *problemsError) Error() string { return strings.Join(e.Problems, "\n") }

// checkCommand returns the command with subcommands that check files without calling a controller.
func (p program) checkCommand(path *string) *ffcli.Command {
	fileCommand := func(name, help string, check func(file string, out io.Writer) error) *ffcli.Command {
		return &ffcli.Command{
			Name:       name,
			ShortUsage: p.name + " check " + name + " FILE",
			ShortHelp:  help,
			Exec: func(_ context.Context, args []string) error {
				if len(args) != 1 {
					return flag.ErrHelp
				}
				return check(args[0], p.out)
			},
		}
	}
	boot := &ffcli.Command{
		Name:       "boot",
		ShortUsage: p.name + " check boot",
		ShortHelp:  "list all problems of the settings file",
		Exec:       func(context.Context, []string) error { return p.checkSettings(settings.ResolvePath(*path)) },
	}
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: p.name + " check boot|config FILE|tenants FILE",
		ShortHelp:  "check the settings file, a configuration or a tenants document",
		Subcommands: []*ffcli.Command{
			boot,
			fileCommand("config", "list all problems of a configuration", checkConfiguration),
			fileCommand("tenants", "list all problems of a tenants document", checkTenants),
		},
		Exec: showUsage,
	}
}

func (p program) checkSettings(path string) error {
	_, problems, err := p.readSettings(path)
	if err != nil {
		return err
	}
	return reportProblems(problems, "the settings file is valid", p.out)
}

func checkConfiguration(path string, out io.Writer) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	configuration, err := config.Parse(text)
	if err != nil {
		return err
	}
	return reportProblems(configuration.Validate(), "the configuration is valid", out)
}

func checkTenants(path string, out io.Writer) error {
	if _, _, err := readTenants(path); err != nil {
		return err
	}
	return reportProblems(nil, "the tenants document is valid", out)
}

// reportProblems prints the problems, one per line, and returns an error with their number. Without problems it prints the text success.
func reportProblems(problems []string, success string, out io.Writer) error {
	for _, problem := range problems {
		fmt.Fprintln(out, problem)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%d problems", len(problems))
	}
	fmt.Fprintln(out, success)
	return nil
}

// validator is a document whose contents can be validated.
type validator interface{ Validate() (problems []string) }

// readDocument reads a document from a file. If its contents are not valid, it returns a [problemsError]. The name of the document is for error
// texts.
func readDocument[D validator](path, name string, parse func(body []byte) (D, error)) (document D, text []byte, err error) {
	var zero D
	text, err = os.ReadFile(path)
	if err != nil {
		return zero, nil, fmt.Errorf("read %s: %w", name, err)
	}
	document, err = parse(text)
	if err != nil {
		return zero, nil, err
	}
	if problems := document.Validate(); len(problems) > 0 {
		return zero, nil, &problemsError{Problems: problems}
	}
	return document, text, nil
}

func readConfiguration(path string) (*config.Configuration, []byte, error) {
	return readDocument(path, "configuration", config.Parse)
}

func readTenants(path string) (*config.TenantDocument, []byte, error) {
	return readDocument(path, "tenants document", config.ParseTenants)
}
