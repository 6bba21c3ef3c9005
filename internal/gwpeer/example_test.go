package gwpeer

import (
	"context"
	"fmt"
)

func ExampleCall() {
	kind := Kind{ID: 1, Name: "greet"}
	ca, _ := NewAuthority("example")
	listen := func(instance string) *Node {
		src, _ := ca.IssueSource(instance)
		n, _ := Listen(context.Background(), Options{Address: "127.0.0.1:0", TLS: src, Instance: instance})
		return n
	}
	a, b := listen("a"), listen("b")
	defer a.Close()
	defer b.Close()
	Handle(b, kind, func(_ context.Context, from, name string) (string, error) {
		return "hello " + name + " from " + from, nil
	})
	text, err := Call[string, string](context.Background(), a, b.Address(), kind, "world")
	fmt.Println(text, err)
	// Output: hello world from a <nil>
}
