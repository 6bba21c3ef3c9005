package gwstatement

import (
	"context"

	"gentianward.example/gentianward/internal/gwbackend"
)

// applyState sets the variables and prepared statements of the request and returns its text, see
// prepareAll. A failed transaction can only be ended, which needs neither.
func (c *Conn) applyState(ctx context.Context, stmt *gwbackend.StatementRequest, prepared []gwbackend.PreparedStatement) (start, arguments string, a answer, err error) {
	if c.status == 'E' {
		return stmt.Text, "", answer{}, nil
	}
	if a, err := c.applySession(ctx, stmt); err != nil || a.failure != nil {
		return "", "", a, err
	}
	return c.prepareAll(ctx, stmt.Text, prepared)
}

// applySession makes the variables of the server's session equal to those of the request. It
// discards the state of the server's session first if that has variables that the request
// does not set, or is not known.
func (c *Conn) applySession(ctx context.Context, stmt *gwbackend.StatementRequest) (answer, error) {
	if c.sessionUnknown && c.status != 'I' {
		return answer{}, gwbackend.ErrSessionUnknown
	}
	if c.sessionUnknown || c.hasExtraVariable(stmt.Variables) {
		a, err := c.runSessionControl(ctx, c.codec.DiscardText())
		if err != nil || a.failure != nil {
			return a, err
		}
		c.sessionUnknown = false
		clear(c.variables)
		c.prepared.clear()
	}
	for _, v := range stmt.Variables {
		name, value := digestOf(v.Name), digestOf(v.Value)
		if have, ok := c.variables[name]; ok && have == value {
			continue
		}
		text, err := c.codec.SetText(v.Name, v.Value)
		if err != nil {
			return answer{}, err
		}
		a, err := c.runSessionControl(ctx, text)
		if err != nil || a.failure != nil {
			return a, err
		}
		c.variables[name] = value
	}
	return answer{}, nil
}

// runSessionControl runs a statement that changes the state of the server's session. If it
// fails and may have run, that state is unknown.
func (c *Conn) runSessionControl(ctx context.Context, text string) (answer, error) {
	a, err := c.runControl(ctx, Position{}, text)
	if err != nil || a.failure != nil && refusalEvents[a.failure.Code] == 0 {
		c.sessionUnknown = true
	}
	return a, err
}

// hasExtraVariable reports whether the server's session has a variable that the
// caller's session has not set.
func (c *Conn) hasExtraVariable(variables []gwbackend.SessionVariable) bool {
	if len(c.variables) > len(variables) {
		return true
	}
	matched := 0
	for _, v := range variables {
		if _, ok := c.variables[digestOf(v.Name)]; ok {
			matched++
		}
	}
	return matched < len(c.variables)
}
