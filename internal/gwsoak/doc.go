// Package gwsoak runs the real programs as separate processes on one machine, injects faults
// from outside them and checks the promises of the pages while they run.
//
// A Run starts three control and some entry instances, each a process of its own, on
// loopback addresses. The platform, its backend servers, the operator and the callers are
// simulated in the calling process (package platformtest). All links between instances and
// the calls of each control instance to the platform pass through proxies (Network), which
// delay, hold, cut and reset them. Processes are stopped, continued, killed and restarted by
// signals to their ids. They run the code of package gwprogram with a Disk, which is slow, stalls
// and loses what is not synced when its process is killed.
//
// What is done comes from a named Scenario or from a random Schedule of a seed. The Checker
// judges only what callers, backend servers, the platform and the operator see.
package gwsoak
