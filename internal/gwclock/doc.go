// Package gwclock provides clocks that keep running while the machine is suspended.
package gwclock
