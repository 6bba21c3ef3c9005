package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a mistyped -delay that runs load or gaps without delays.
func TestDelayIsChecked(t *testing.T) {
	assert.ErrorContains(t, (&loadCmd{delay: "of"}).run(t.Context()), "accepted: on, off")
	_, err := (&gapsCmd{delay: "of"}).run(t.Context())
	assert.ErrorContains(t, err, "accepted: on, off")
}
