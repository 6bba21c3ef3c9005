// Package gwspeed estimates how fast a backend server is, compared with what it usually takes for
// statements of the same class, and how many statements at once it handles well.
//
// An Estimator learns the usual time of each class at one server and compares recent times
// with it. A class that takes longer alone has slow statements; if all classes take longer, the
// server is slow. A full server has usual times and a queue. A Window finds the number of
// statements at once with which a server does most work.
//
// An Estimate only affects where requests go and how many run at once, never whether an answer
// is correct.
//
// The package is pure: it starts no goroutines, reads no clock and is not safe for
// concurrent use. Callers pass the current time as an argument.
package gwspeed
