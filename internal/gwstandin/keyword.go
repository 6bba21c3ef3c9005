package gwstandin

import "strings"

// action is the way to execute a statement; the leading keyword determines it.
type action uint8

const (
	actionSQLite action = iota // executed by SQLite, which also determines whether it writes
	actionEmpty
	actionBegin
	actionCommit
	actionRollback
	actionSavepoint
	actionRollbackTo
	actionSet
	actionDeallocate
	actionShow
	actionControl
	actionRefused
)

var actions = map[string]action{
	"":            actionEmpty,
	"BEGIN":       actionBegin,
	"START":       actionBegin,
	"COMMIT":      actionCommit,
	"END":         actionCommit,
	"ROLLBACK":    actionRollback,
	"ABORT":       actionRollback,
	"SAVEPOINT":   actionSavepoint,
	"RELEASE":     actionSavepoint,
	"SET":         actionSet,
	"RESET":       actionSet,
	"DISCARD":     actionDeallocate,
	"DEALLOCATE":  actionDeallocate,
	"SHOW":        actionShow,
	"GENTIANWARD": actionControl,
	"ATTACH":      actionRefused,
	"DETACH":      actionRefused,
	"PRAGMA":      actionRefused,
	"VACUUM":      actionRefused,
}

// classify returns the leading keyword in upper case and the action.
func classify(sql string) (keyword string, a action) {
	keyword, _ = leadingKeyword(sql)
	a = actions[keyword]
	if a == actionRollback {
		for _, word := range operands(sql) {
			if strings.EqualFold(word, "to") {
				return keyword, actionRollbackTo
			}
		}
	}
	return keyword, a
}

// leadingKeyword skips white space and empty statements and returns the first word of plain
// SQL in upper case and the text that follows it.
func leadingKeyword(sql string) (keyword, rest string) {
	for {
		token, rest := cutToken(sql)
		if token != ";" {
			return strings.ToUpper(token), rest
		}
		sql = rest
	}
}

// cutStatement splits off the first statement of plain SQL.
func cutStatement(sql string) (first, rest string) {
	_, after := leadingKeyword(sql)
	for {
		token, next := cutToken(after)
		if token == "" || token == ";" {
			end := len(sql) - len(after)
			return sql[:end], sql[end:]
		}
		after = next
	}
}

// commandTag returns the command tag of a statement that SQLite executed; counted
// reports whether the number of rows is to be appended.
func commandTag(keyword, sql string, readOnly bool) (tag string, counted bool) {
	switch keyword {
	case "INSERT", "REPLACE":
		return "INSERT 0 ", true
	case "UPDATE", "DELETE":
		return keyword + " ", true
	case "CREATE", "DROP", "ALTER":
		_, rest := leadingKeyword(sql)
		object, _ := leadingKeyword(rest)
		return strings.TrimSpace(keyword + " " + object), false
	}
	switch {
	case readOnly:
		return "SELECT ", true
	case keyword == "WITH":
		return "INSERT 0 ", true
	default:
		return keyword, false
	}
}
