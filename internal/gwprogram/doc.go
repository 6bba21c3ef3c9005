// Package gwprogram runs one instance on the users' platform: it translates the settings of
// the platform to options of an instance, and handles the signals to the process and changes
// of the settings.
package gwprogram
