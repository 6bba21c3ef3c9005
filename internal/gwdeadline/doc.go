// Package gwdeadline provides connections that send nothing after a given time, also if the
// process is stopped meanwhile.
//
// The time is checked in the callback in which the data is passed to the kernel, so that a
// process that stood still before it sends nothing. Data that the kernel has and that the
// peer has not acknowledged by that time is given up with the connection, by
// TCP_USER_TIMEOUT, for which the process need not run. What remains are the microseconds
// between the check and the system call, and a machine that is suspended as a whole, whose
// kernel timers stand still, too.
package gwdeadline
