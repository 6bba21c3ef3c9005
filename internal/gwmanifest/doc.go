// Package gwmanifest parses and validates the two configuration files: the manifest of
// a deployment and the settings of one instance.
//
// Both are JSON with comments and trailing commas. Field names are camel case and
// case-sensitive; unknown and repeated fields are errors. The parsers report all problems
// of a file at once, each as an *Error with the file, line, column, field and accepted
// values. Parsed values are not modified afterwards: WithDefaults returns a copy in which
// every omitted field has its default value.
package gwmanifest
