// Package gwoutcome states what became of a request and decides what follows.
//
// A request ends as NotRun, Done or Unknown. Whether it may be retried, whether
// the attempt counts as a failure of the backend server and whether the server
// is ejected from routing are three separate decisions with a table each; none
// is derived from another. Sharing one classification between such decisions
// has led to mistakes in other proxies, as described in "Rework gorouter error
// classifiers and retry logic" (cloudfoundry/gorouter).
package gwoutcome
