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
	keyword, rest := leadingKeyword(sql)
	a = actions[keyword]
	if a == actionRollback {
		for _, word := range strings.Fields(strings.ToUpper(rest)) {
			if word == "TO" {
				return keyword, actionRollbackTo
			}
		}
	}
	return keyword, a
}

// leadingKeyword skips white space, comments and empty statements and returns the
// first word in upper case and the text that follows it.
func leadingKeyword(sql string) (keyword, rest string) {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n\f;")
		var end string
		switch {
		case strings.HasPrefix(sql, "--"):
			end = "\n"
		case strings.HasPrefix(sql, "/*"):
			end = "*/"
		default:
			n := 0
			for n < len(sql) && (sql[n]|0x20 >= 'a' && sql[n]|0x20 <= 'z') {
				n++
			}
			if n == 0 && sql != "" {
				n = 1 // such as an opening parenthesis; SQLite parses it
			}
			return strings.ToUpper(sql[:n]), sql[n:]
		}
		_, after, ok := strings.Cut(sql, end)
		if !ok {
			return "", ""
		}
		sql = after
	}
}

// cutStatement splits off the first statement if SQLite does not execute it. The
// statement ends at a semicolon or a comment. Quotes are ignored, because no such
// statement needs these characters in quotes.
func cutStatement(sql string) (first, rest string) {
	_, after := leadingKeyword(sql)
	end := len(sql)
	for _, mark := range []string{";", "--", "/*"} {
		if i := strings.Index(after, mark); i >= 0 {
			end = min(end, len(sql)-len(after)+i)
		}
	}
	return sql[:end], sql[end:]
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
