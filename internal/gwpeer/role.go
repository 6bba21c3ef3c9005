package gwpeer

import (
	"crypto/x509"
	"slices"

	"github.com/cockroachdb/errors"
)

// operatorUnit is the organizational unit in certificates of operators. Certificates
// of instances have none.
const operatorUnit = "operator"

// CodeForbidden is the error code of a call that the caller's certificate does not
// permit.
const CodeForbidden = "forbidden"

// isOperator reports whether a certificate was issued to an operator.
func isOperator(cert *x509.Certificate) bool {
	return slices.Contains(cert.Subject.OrganizationalUnit, operatorUnit)
}

// authorize returns an error unless the peer may use a kind: operators may use only
// operator-only kinds, instances all others.
func (l *link) authorize(id uint16) error {
	operatorOnly := l.node.handlers.isOperatorOnly(id)
	switch {
	case l.operator && !operatorOnly:
		return errors.Newf("%s is not open to operators", Kind{ID: id})
	case !l.operator && operatorOnly:
		return errors.Newf("%s needs an operator certificate", Kind{ID: id})
	default:
		return nil
	}
}
