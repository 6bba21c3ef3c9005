// Package gwoutcome classifies how requests end and decides on retries and ejection.
//
// The outcome of a request is NotRun, Done or Unknown. Whether the request may be
// retried, whether the attempt counts as a failure of the backend server and whether the
// server is ejected from routing are three separate decisions. Each has its own column in
// the table of events; none is derived from another. Sharing one classification between
// such decisions has led to mistakes in other proxies, as described in "Rework gorouter
// error classifiers and retry logic" (cloudfoundry/gorouter).
package gwoutcome
