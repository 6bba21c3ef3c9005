// Package gwmanifest parses and checks the two configuration files: the
// manifest of a deployment and the settings of one instance.
//
// Both are JSON with comments and trailing commas. Field names are camel case
// and exact; unknown and repeated fields are errors. A parser reports all
// problems of a file at once, each as an *Error with file, line, column, field
// and accepted values. Parsed values are not changed afterwards: WithDefaults
// returns a copy in which every omitted field has its default.
package gwmanifest
