// Package gwclock provides clocks that go on while the machine is suspended.
package gwclock
