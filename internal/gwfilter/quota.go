package gwfilter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianward.example/gentianward/internal/gwowner"
	"gentianward.example/gentianward/pkg/gwoutcome"
	"gentianward.example/gentianward/pkg/gwsession"
)

// Quota limits the operations of customers over all instances. It is safe for concurrent use.
type Quota interface {
	// Admit counts one operation of a customer before it is sent to a server. An error refuses
	// the operation, which is then not counted; a *QuotaError also tells when to try again.
	Admit(ctx context.Context, customer string) error
	// Return takes back the count of an operation that certainly did not run.
	Return(customer string)
}

// QuotaError is the error of Quota.Admit for a customer that has reached its limit.
type QuotaError struct {
	// RetryAfter is the time until the customer has capacity for one operation.
	RetryAfter time.Duration
	// Unchecked means that no instance that can be reached may admit operations of the
	// customer now; RetryAfter is then when the next one may.
	Unchecked bool
}

// Error implements error.
func (e *QuotaError) Error() string {
	at := time.Now().Add(e.RetryAfter).UTC()
	text := "the customer is above its limit; it has capacity in %d ms, at %s"
	if e.Unchecked {
		text = "the limit of the customer could not be checked; try again in %d ms, at %s"
	}
	return fmt.Sprintf(text,
		e.RetryAfter.Milliseconds(), at.Format("2006-01-02T15:04:05.000Z"))
}

// admit counts the operation of a customer before anything is sent for it, and takes the
// count back if the operation certainly did not run. The statements of an open transaction
// belong to the operation that its first statement began.
func (e *Entry) admit(next handler) handler {
	return func(ctx context.Context, r *request) gwowner.Result {
		if r.session.transaction != nil {
			return next(ctx, r)
		}
		if err := e.takeQuota(ctx, r); err != nil {
			return overQuota(err)
		}
		res := next(ctx, r)
		// Not deferred: an attempt that ends in a panic may have run.
		e.returnQuota(r)
		return res
	}
}

// maxReturnedCount is the age up to which a count is returned. Quotas cannot tell whether an older
// one would have been lost at a customer that has not used its limit since.
const maxReturnedCount = 2 * time.Second

// takeQuota counts an attempt of the request unless the count of an earlier attempt, which
// certainly did not run, is still held. It may be old, as when the request has waited for a change
// of primary: an operation counts in a window only if it was also sent in it, and the count is
// taken after that.
func (e *Entry) takeQuota(ctx context.Context, r *request) error {
	if e.Quota == nil || r.session.customer == "" || r.admitted || !r.executes {
		return nil
	}
	began := e.Clock.Now()
	if err := e.Quota.Admit(ctx, r.session.customer); err != nil {
		return err
	}
	r.admitted, r.admittedAt = true, began
	return nil
}

// spendQuota uses up the count if the attempt that ended with res may have run.
func (r *request) spendQuota(res gwowner.Result) {
	if _, notRun := gwoutcome.Of(res.Event, gwsession.Position{}).(gwoutcome.NotRun); !notRun {
		r.admitted = false
	}
}

// returnQuota takes back a count that no attempt has used up.
func (e *Entry) returnQuota(r *request) {
	if r.admitted {
		r.admitted = false
		if e.Clock.Since(r.admittedAt) <= maxReturnedCount {
			e.Quota.Return(r.session.customer)
		}
	}
}

// overQuota returns the result of a request that its customer's limit refused.
func overQuota(err error) gwowner.Result {
	reason := "the limit of the customer could not be checked"
	var limit *QuotaError
	if errors.As(err, &limit) {
		reason = limit.Error()
	}
	return notRun(gwoutcome.OverQuota, reason)
}
