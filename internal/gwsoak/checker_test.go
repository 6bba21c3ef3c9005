package gwsoak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"gentianward.example/gentianward/platform/platformtest"
)

// Guards against a soak that holds because its checks see nothing.
func TestCheckerFindsViolations(t *testing.T) {
	call := func(server, holder string, fence uint64) platformtest.Call {
		return platformtest.Call{Group: "db1", Server: server, Holder: holder, Fence: fence}
	}
	promotion := func(c platformtest.Call, ids ...string) platformtest.Promotion {
		return platformtest.Promotion{Call: c, Has: func(id string) bool {
			for _, have := range ids {
				if id == have {
					return true
				}
			}
			return false
		}}
	}
	for _, test := range []struct {
		name string
		see  func(c *Checker)
		want []Rule
	}{
		{"fences that rise", func(c *Checker) {
			c.called(call("i-1", "a", 3))
			c.called(call("i-1", "a", 3))
			c.called(call("i-2", "b", 4))
		}, nil},
		{"a lower fence", func(c *Checker) {
			c.called(call("i-1", "b", 4))
			c.called(call("i-1", "a", 3))
		}, []Rule{RuleOne}},
		{"two holders of one fence", func(c *Checker) {
			c.called(call("i-1", "a", 3))
			c.called(call("i-1", "b", 3))
		}, []Rule{RuleOne}},
		{"a promotion that takes effect late", func(c *Checker) {
			c.tookEffect(promotion(call("i-2", "b", 4)))
			c.tookEffect(promotion(call("i-1", "a", 3)))
		}, []Rule{RuleOne}},
		{"a promoted server without an acknowledged write", func(c *Checker) {
			c.acked["db1"] = map[string]time.Time{"w1": time.Now(), "w2": time.Now()}
			c.tookEffect(promotion(call("i-1", "a", 3), "w1"))
		}, []Rule{RuleLost}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newChecker()
			test.see(c)
			var got []Rule
			for _, v := range c.violations {
				got = append(got, v.Rule)
			}
			assert.Equal(t, test.want, got)
		})
	}
}
