package gwdaemon

import (
	"net/http"

	"gentianward.example/gentianward/internal/gwfilter"
	"gentianward.example/gentianward/pkg/gwsession"
)

// PlacementPath is the path at which an instance explains where a request would go.
const PlacementPath = "/v1/placement"

// ServePlacement answers where a request would go now. The request is given by the parameters
// database, kind (read or write, read if empty) and position (term/offset, none if empty). Nothing is
// sent to a server or another instance.
func (i *Instance) ServePlacement(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	q := gwfilter.PlacementQuery{Database: values.Get("database")}
	switch values.Get("kind") {
	case "", "read":
	case "write":
		q.Write = true
	default:
		http.Error(w, "kind must be read or write", http.StatusBadRequest)
		return
	}
	if text := values.Get("position"); text != "" {
		p, err := gwsession.ParsePosition(text)
		if err != nil {
			http.Error(w, "position must be of the form term/offset", http.StatusBadRequest)
			return
		}
		q.Position = p
	}
	p, err := i.entry.ExplainPlacement(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if age, known := i.client.ContactAge(); known {
		p.ControlAgeMillis = age.Milliseconds()
	}
	writeJSON(w, p)
}
