package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"gentianward.example/gentianward/internal/gwmanifest"
)

type checkCmd struct {
	kind string
	json bool
	out  io.Writer // os.Stdout if nil
}

func (*checkCmd) Name() string     { return "check" }
func (*checkCmd) Synopsis() string { return "validate settings or a manifest" }
func (*checkCmd) Usage() string {
	return `check [-kind settings|manifest] [-json] FILE...
  Reports every problem with file, line, column, field and accepted values.
  If exactly one valid manifest is given, settings are also checked against it.
`
}

func (c *checkCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "", "settings or manifest; detected from the content if empty")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// checkResult is the result for one file in the JSON output.
type checkResult struct {
	File     string               `json:"file"`
	Kind     gwmanifest.FileKind  `json:"kind"`
	Valid    bool                 `json:"valid"`
	Digest   string               `json:"digest,omitempty"` // set for a valid manifest
	Problems []*gwmanifest.Error  `json:"problems"`
	Error    string               `json:"error,omitempty"` // set if the file could not be read
	manifest *gwmanifest.Manifest // nil unless valid
	settings *gwmanifest.Settings // nil unless valid
}

func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kind := gwmanifest.FileKind(c.kind)
	known := kind == "" || kind == gwmanifest.FileManifest || kind == gwmanifest.FileSettings
	if f.NArg() == 0 || !known {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	results := make([]*checkResult, f.NArg())
	for i, file := range f.Args() {
		results[i] = checkFile(file, kind)
	}
	compareSettings(results)
	if c.out == nil {
		c.out = os.Stdout
	}
	status := subcommands.ExitSuccess
	for _, r := range results {
		if !r.Valid {
			status = subcommands.ExitFailure
		}
	}
	if err := c.print(results); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return status
}

func checkFile(file string, kind gwmanifest.FileKind) *checkResult {
	r := &checkResult{File: file, Kind: kind, Problems: []*gwmanifest.Error{}}
	text, err := os.ReadFile(file)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	if kind == "" {
		// A file that resembles neither kind is reported as an invalid manifest.
		r.Kind = gwmanifest.FileManifest
		if detected, ok := gwmanifest.DetectKind(text); ok {
			r.Kind = detected
		}
	}
	if r.Kind == gwmanifest.FileSettings {
		r.settings, err = gwmanifest.ParseSettings(file, text)
	} else {
		r.manifest, err = gwmanifest.ParseManifest(file, text)
	}
	if err != nil {
		r.Problems = gwmanifest.Problems(err)
		return r
	}
	r.Valid = true
	if r.manifest != nil {
		r.Digest = r.manifest.Digest()
	}
	return r
}

// compareSettings checks each valid settings file against the valid manifest among the
// files, if there is exactly one.
func compareSettings(results []*checkResult) {
	var manifests []*gwmanifest.Manifest
	for _, r := range results {
		if r.manifest != nil {
			manifests = append(manifests, r.manifest)
		}
	}
	if len(manifests) != 1 {
		return
	}
	index := manifests[0].Index()
	for _, r := range results {
		if r.settings == nil {
			continue
		}
		if err := index.CheckSettings(r.settings); err != nil {
			r.Valid = false
			r.Problems = gwmanifest.Problems(err)
		}
	}
}

func (c *checkCmd) print(results []*checkResult) error {
	if c.json {
		enc := json.NewEncoder(c.out)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	}
	for _, r := range results {
		switch {
		case r.Error != "":
			fmt.Fprintln(c.out, r.Error)
		case r.Valid:
			fmt.Fprintf(c.out, "%s: valid %s\n", r.File, r.Kind)
		}
		for _, p := range r.Problems {
			fmt.Fprintln(c.out, p.Error())
		}
	}
	return nil
}
