package gwpeer

import (
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// operatorUnit is the organizational unit in the certificates of operators.
// Certificates of instances have none.
const operatorUnit = "operator"

// CodeForbidden is the code of the error of a call that the caller's
// certificate does not permit.
const CodeForbidden = "forbidden"

// isOperator reports whether a certificate is that of an operator.
func isOperator(cert *x509.Certificate) bool {
	return slices.Contains(cert.Subject.OrganizationalUnit, operatorUnit)
}

// allows returns an error unless the peer may use a kind: operators use the
// kinds that are marked so and nothing else, instances all other kinds.
func (l *link) allows(id uint16) error {
	open := l.node.handlers.forOperators(id)
	switch {
	case l.operator && !open:
		return errors.Newf("%s is not open to operators", Kind{ID: id})
	case !l.operator && open:
		return errors.Newf("%s needs an operator certificate", Kind{ID: id})
	default:
		return nil
	}
}
