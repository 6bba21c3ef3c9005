package gwspeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// mixed is a load of 50 statements a second of two classes.
func mixed() []load {
	return []load{{class: "a", rate: 30, service: 24 * time.Millisecond}, {class: "b", rate: 20, service: 8 * time.Millisecond}}
}

// Guards against a slow server that is found late, or counts as slow long after it has
// recovered. The bounds of 1 s and 2 s at 50 statements a second are those of the page. A tenth is
// added to the first for exponentially distributed times, of which 50 may by chance be short.
func TestSlowdownIsFound(t *testing.T) {
	const (
		from, until      = 30 * time.Second, 50 * time.Second
		exponentialBound = 1100 * time.Millisecond
	)
	for _, tt := range []struct {
		name        string
		factor      float64
		loads       []load
		exponential bool
		bound       time.Duration // until it is found
	}{
		{name: "by 4", factor: 4, loads: mixed(), bound: time.Second},
		{name: "by 8", factor: 8, loads: mixed(), bound: time.Second},
		{name: "by 4, exponential times", factor: 4, loads: mixed(), exponential: true, bound: exponentialBound},
		{name: "by 8, exponential times", factor: 8, loads: mixed(), exponential: true, bound: exponentialBound},
		{name: "by 4, one class", factor: 4, loads: []load{{class: "a", rate: 50, service: 24 * time.Millisecond}}, bound: time.Second},
		{name: "by 8, one class", factor: 8, loads: []load{{class: "a", rate: 50, service: 24 * time.Millisecond}}, bound: time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				var found, ended time.Duration
				early := 0
				b := backend{slots: 5, loads: tt.loads, slowBy: during(tt.factor, from, until), exponential: tt.exponential, duration: 60 * time.Second}
				b.observe = func(e *Estimator, at time.Duration) {
					slow := e.Estimate(testNow.Add(at)).State == Slow
					switch {
					case at < from && slow:
						early++
					case at >= from && found == 0 && slow:
						found = at
					case at >= until && ended == 0 && !slow:
						ended = at
					}
				}
				_, _ = b.run(seed)
				assert.Zero(t, early, "seed %d: slow before the slowdown", seed)
				assert.True(t, found > 0 && found-from <= tt.bound, "seed %d: found after %s", seed, found-from)
				assert.True(t, ended > 0 && ended-until <= 2*time.Second, "seed %d: ended after %s", seed, ended-until)
			}
		})
	}
}

// Guards against a server that counts as slow although it is not: a class with slow statements,
// a full queue, unanswered statements and chance look alike in the average of all times.
func TestOtherCausesAreNotSlow(t *testing.T) {
	heavy := mixed()
	heavy[0].slowBy = during(6, 50*time.Second, time.Hour)
	for _, tt := range []struct {
		name    string
		backend backend
		want    State
		classes []string
	}{
		{name: "usual", backend: backend{loads: mixed()}, want: Normal},
		{name: "usual, exponential times", backend: backend{loads: mixed(), exponential: true}, want: Normal},
		{name: "slow statement", backend: backend{loads: heavy}, want: Normal, classes: []string{"a"}},
		{name: "full", backend: backend{loads: []load{{class: "a", rate: 300, service: 24 * time.Millisecond}}}, want: Full},
		{name: "fails three tenths", backend: backend{loads: mixed(), unanswered: 0.3}, want: Failing},
		{name: "just started", backend: backend{loads: mixed(), duration: 200 * time.Millisecond}, want: Cold},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(5) {
				b := tt.backend
				b.slots = 5
				if b.duration == 0 {
					b.duration = time.Minute
				}
				last, slow := time.Duration(0), 0
				b.observe = func(e *Estimator, at time.Duration) {
					last = at
					if e.Estimate(testNow.Add(at)).State == Slow {
						slow++
					}
				}
				e, _ := b.run(seed)
				now := testNow.Add(last)
				assert.Zero(t, slow, "seed %d", seed)
				if tt.want != Normal { // a queue may have formed by chance
					assert.Equal(t, tt.want, e.Estimate(now).State, "seed %d", seed)
				}
				assert.Equal(t, tt.classes, e.SlowClasses(now), "seed %d", seed)
			}
		})
	}
}

// Guards against a slowdown that becomes the usual speed while it lasts, so that the server
// counts as normal.
func TestLongSlowdownStaysFound(t *testing.T) {
	b := backend{slots: 5, loads: mixed(), slowBy: during(4, 30*time.Second, time.Hour), duration: 150 * time.Second}
	e, _ := b.run(1)
	assert.Equal(t, Slow, e.Estimate(testNow.Add(b.duration)).State)
}

// Guards against an old estimate that is trusted as much as a new one.
func TestConfidenceDecays(t *testing.T) {
	b := backend{slots: 5, loads: mixed(), duration: 10 * time.Second}
	e, _ := b.run(1)
	assert.InDelta(t, 1, e.Estimate(testNow.Add(b.duration)).Confidence, 0.1)
	later := e.Estimate(testNow.Add(b.duration + 20*time.Second))
	assert.Less(t, later.Confidence, 0.1)
	assert.GreaterOrEqual(t, later.Age, 20*time.Second)
	assert.Zero(t, NewEstimator(5).Estimate(testNow).Confidence)
}

// Guards against memory that grows with the names of classes or with statements that are never
// ended.
func TestMemoryIsBounded(t *testing.T) {
	e := NewEstimator(5)
	for i := range 1000 {
		e.Begin(string(rune('a'+i)), testNow)
	}
	e.Estimate(testNow.Add(2 * time.Minute))
	assert.LessOrEqual(t, len(e.classes), maxClasses+1)
	assert.Empty(t, e.running)
}

// Guards against an average of a slowdown that keeps requests away from a recovered server, and against
// a correction at servers that were not slow.
func TestServiceAfterSlowdown(t *testing.T) {
	b := backend{slots: 5, loads: mixed(), slowBy: during(8, 30*time.Second, 40*time.Second), duration: 60 * time.Second}
	var first time.Duration
	b.observe = func(e *Estimator, at time.Duration) {
		got := e.Estimate(testNow.Add(at)).Service
		switch {
		case at < 40*time.Second || at > 53*time.Second:
			assert.Zero(t, got, "%s", at)
		case got > 0 && first == 0:
			first = at
			assert.InDelta(t, 17.6, got.Seconds()*1000, 12, "the mean is 17.6 ms")
		}
	}
	b.run(1)
	assert.True(t, first > 0 && first < 42*time.Second, "%s", first)
}
