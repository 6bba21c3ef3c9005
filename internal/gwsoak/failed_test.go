package gwsoak

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var runFailed = flag.Bool("soak.failed", false, "run the seeds and schedules that have failed")

const (
	causeLateCall      = "a call to the platform came after the next leader's, with a lower fence (issue 32)"
	causeNewID         = "a crashed server that returned with its log under a new id was waited for without end (issue 33)"
	causeUnseenPrimary = "as above, for a server that crashed before the control instances had seen that it led (issue 33)"
	causeNoVote        = "a successor that started beside its predecessor had no vote when that one ended (issue 39)"
	causeOldVotes      = "predecessors voted beside their successors, and too few voters were left when several ended (issue 39)"
	causeAdded         = "an added instance took the seat of the older one of its data centre, which did not get it back when that one was removed (issue 39)"
	causeTwoChanges    = "a leader was lost between the two changes that replace a voter, and the next disk after that (issue 36)"
	causeBusy          = "processes stood still again and again on a busy machine; not traced (issue 36)"
	causeHistory       = "a new member was sent the history of the log before it could vote (issue 42)"
	causeStandstill    = "all processes stood still for 0.5 to 2.3 s in the first 4 s of a newcomer; not traced further (issue 42)"
	causeSlowSyncs     = "a voter did nothing else while it synced, so that no leader lasted (issue 36)"
)

// failedSeeds has the seeds of named scenarios that failed.
var failedSeeds = []struct {
	scenario string
	seed     uint64
	cause    string
}{
	{"stoppedCaller", 1, causeLateCall},
	{"stoppedCaller", 2, causeLateCall},
	{"stoppedConfirming", 1, causeLateCall},
	{"stoppedConfirming", 2, causeLateCall},
	{"stoppedConfirming", 3, causeLateCall},
	{"flappingLinks", 1, causeNewID},
	{"flappingLinks", 2, causeNewID},
	{"slowDisks", 1, causeSlowSyncs},
	{"slowDisks", 2, causeSlowSyncs},
	{"replacedSlow", 1, causeSlowSyncs},
	{"replacedSlow", 2, causeBusy},
	{"replacedSlow", 3, causeBusy},
	{"replacedSlow", 24, causeTwoChanges},
	{"replacedControl", 24, causeTwoChanges},
	{"besideControl", 1, causeNoVote},
	{"besideControl", 2, causeNoVote},
	{"besideControl", 7, causeNoVote},
	{"longHistory", 31, causeHistory},
	{"longHistory", 32, causeHistory},
	{"longHistory", 33, causeHistory},
	{"longHistory", 110, causeStandstill},
	{"longHistory", 111, causeStandstill},
	{"replacedControl", 601, causeStandstill},
}

// failedBeforeBeside has seeds of random schedules that failed before there were memberKinds.
var failedBeforeBeside = []struct {
	seed        uint64
	total, sync time.Duration
	cause       string
}{
	{202, time.Minute, 100 * time.Millisecond, "the first configuration took 7.4 s; not traced (issue 36)"},
	{309, 12 * time.Second, 0, causeBusy},
	{310, 12 * time.Second, 0, causeBusy},
	{312, 12 * time.Second, 0, causeBusy},
	{321, 12 * time.Second, 0, causeBusy},
}

// failedSchedules has the random schedules that failed, step by step, since a seed stands for
// another schedule once a kind of fault is added. A cause that occurred often has two.
var failedSchedules = []struct {
	name  string
	seed  uint64
	cause string
	steps []Step
}{
	{"random seed 11", 11, causeNewID, []Step{
		{0 * time.Millisecond, 2634 * time.Millisecond, SlowPlatform{By: 3898610337}},
		{1173 * time.Millisecond, 4194 * time.Millisecond, Pause{Instance: 0}},
		{1882 * time.Millisecond, 873 * time.Millisecond, CrashServer{Group: 2, Server: 2}},
		{3145 * time.Millisecond, 3751 * time.Millisecond, Terminate{Instance: 1}},
		{3677 * time.Millisecond, 708 * time.Millisecond, CrashPrimary{Group: 0}},
		{4181 * time.Millisecond, 682 * time.Millisecond, Pause{Instance: 2}},
		{4345 * time.Millisecond, 4152 * time.Millisecond, Pause{Instance: 1}},
		{4618 * time.Millisecond, 1976 * time.Millisecond, Kill{Instance: 4}},
		{5336 * time.Millisecond, 3028 * time.Millisecond, CrashServer{Group: 1, Server: 0}},
		{6347 * time.Millisecond, 2609 * time.Millisecond, Kill{Instance: 6}},
		{6634 * time.Millisecond, 416 * time.Millisecond, CrashPrimary{Group: 1}},
		{6737 * time.Millisecond, 2215 * time.Millisecond, Pause{Instance: 3}},
		{7169 * time.Millisecond, 3031 * time.Millisecond, Pause{Instance: 0}},
		{7966 * time.Millisecond, 449 * time.Millisecond, CrashPrimary{Group: 2}},
		{8135 * time.Millisecond, 792 * time.Millisecond, Isolate{Control: 2}},
		{8608 * time.Millisecond, 3037 * time.Millisecond, CrashPrimary{Group: 2}},
		{9192 * time.Millisecond, 742 * time.Millisecond, Pause{Instance: 1}},
		{10492 * time.Millisecond, 394 * time.Millisecond, Isolate{Control: 2}},
		{11303 * time.Millisecond, 3837 * time.Millisecond, Pause{Instance: 0}},
		{11910 * time.Millisecond, 1323 * time.Millisecond, CutControl{Control: 1, OneWay: false}},
	}},
	{"random seed 13", 13, causeNewID, []Step{
		{0 * time.Millisecond, 3240 * time.Millisecond, CrashPrimary{Group: 0}},
		{943 * time.Millisecond, 3659 * time.Millisecond, Isolate{Control: 1}},
		{1036 * time.Millisecond, 3155 * time.Millisecond, CrashPrimary{Group: 1}},
		{1844 * time.Millisecond, 1275 * time.Millisecond, SlowPlatform{By: 3117451063}},
		{1983 * time.Millisecond, 3484 * time.Millisecond, Isolate{Control: 0}},
		{2049 * time.Millisecond, 1975 * time.Millisecond, CutZone{Zone: 1}},
		{2854 * time.Millisecond, 3865 * time.Millisecond, CrashPrimary{Group: 2}},
		{3968 * time.Millisecond, 244 * time.Millisecond, CrashPrimary{Group: 2}},
		{4770 * time.Millisecond, 1133 * time.Millisecond, Isolate{Control: 2}},
		{5942 * time.Millisecond, 2115 * time.Millisecond, CrashServer{Group: 1, Server: 1}},
		{6275 * time.Millisecond, 1216 * time.Millisecond, SlowPlatform{By: 3661460102}},
		{7548 * time.Millisecond, 3728 * time.Millisecond, CrashPrimary{Group: 1}},
		{8157 * time.Millisecond, 867 * time.Millisecond, Kill{Instance: 0}},
		{8791 * time.Millisecond, 2683 * time.Millisecond, HoldCalls{Control: 2, Silent: true}},
		{9936 * time.Millisecond, 2925 * time.Millisecond, CrashServer{Group: 1, Server: 2}},
		{10825 * time.Millisecond, 3167 * time.Millisecond, CutControl{Control: 0, OneWay: true}},
		{11090 * time.Millisecond, 1725 * time.Millisecond, Isolate{Control: 2}},
		{11252 * time.Millisecond, 1286 * time.Millisecond, CutZone{Zone: 0}},
	}},
	{"random seed 6", 6, causeUnseenPrimary, []Step{
		{0 * time.Millisecond, 1213 * time.Millisecond, Kill{Instance: 5}},
		{564 * time.Millisecond, 1592 * time.Millisecond, CrashPrimary{Group: 2}},
		{660 * time.Millisecond, 2978 * time.Millisecond, Pause{Instance: 4}},
		{1356 * time.Millisecond, 1369 * time.Millisecond, CrashPrimary{Group: 0}},
		{1445 * time.Millisecond, 4027 * time.Millisecond, SlowPlatform{By: 3151353758}},
		{1935 * time.Millisecond, 2144 * time.Millisecond, KillControl{}},
		{3271 * time.Millisecond, 2000 * time.Millisecond, Pause{Instance: 3}},
		{3374 * time.Millisecond, 1318 * time.Millisecond, Kill{Instance: 3}},
		{4147 * time.Millisecond, 1016 * time.Millisecond, CrashServer{Group: 1, Server: 1}},
		{4604 * time.Millisecond, 3078 * time.Millisecond, CrashPrimary{Group: 1}},
		{5181 * time.Millisecond, 901 * time.Millisecond, CrashPrimary{Group: 2}},
		{5946 * time.Millisecond, 2551 * time.Millisecond, KillControl{}},
		{7341 * time.Millisecond, 3057 * time.Millisecond, CrashPrimary{Group: 0}},
		{8266 * time.Millisecond, 469 * time.Millisecond, CutControl{Control: 2, OneWay: true}},
		{8621 * time.Millisecond, 1913 * time.Millisecond, Kill{Instance: 8}},
		{9012 * time.Millisecond, 3703 * time.Millisecond, ResetLinks{Control: 1}},
		{9651 * time.Millisecond, 910 * time.Millisecond, Kill{Instance: 6}},
		{10004 * time.Millisecond, 1897 * time.Millisecond, CutControl{Control: 1, OneWay: false}},
		{10559 * time.Millisecond, 2764 * time.Millisecond, CutZone{Zone: 0}},
		{11905 * time.Millisecond, 1025 * time.Millisecond, Kill{Instance: 6}},
	}},
	{"random seed 33", 33, causeOldVotes, []Step{
		{0 * time.Millisecond, 990 * time.Millisecond, Busy{Loops: 6}},
		{2701 * time.Millisecond, 3082 * time.Millisecond, LargeConfigurations{Bytes: 103186}},
		{4019 * time.Millisecond, 1101 * time.Millisecond, ReplaceBeside{Control: 1, Ending: Ending{After: catchUpLimit, Kill: true}, Seeds: 0x1}},
		{7447 * time.Millisecond, 1316 * time.Millisecond, ReplaceBeside{Control: 4, Ending: Ending{After: 341145701, Kill: true, Silent: true}, Seeds: 0x1}},
		{7887 * time.Millisecond, 2834 * time.Millisecond, LoseDisk{Control: 1}},
		{11025 * time.Millisecond, 1233 * time.Millisecond, LoseNext{Control: 0, Replace: true}},
		{14599 * time.Millisecond, 305 * time.Millisecond, PauseCaller{}},
	}},
	{"random seed 31", 31, causeOldVotes, []Step{
		{0 * time.Millisecond, 1206 * time.Millisecond, Isolate{Control: 2}},
		{436 * time.Millisecond, 552 * time.Millisecond, Kill{Instance: 6}},
		{1241 * time.Millisecond, 2030 * time.Millisecond, HoldCalls{Control: 2}},
		{1488 * time.Millisecond, 1290 * time.Millisecond, ReplaceControl{Control: 1, Seeds: 0x2}},
		{2141 * time.Millisecond, 2072 * time.Millisecond, CrashPrimary{Group: 2}},
		{2418 * time.Millisecond, 3230 * time.Millisecond, AddControl{Zone: 0, Ending: Ending{After: catchUpLimit, Kill: false}, Seeds: 0x2}},
		{3555 * time.Millisecond, 2978 * time.Millisecond, Pause{Instance: 0}},
		{4919 * time.Millisecond, 355 * time.Millisecond, PauseCaller{}},
		{5276 * time.Millisecond, 746 * time.Millisecond, ReplaceBeside{Control: 2, Ending: Ending{After: 3165355481, Kill: false, Silent: true}, Seeds: 0x1}},
		{6648 * time.Millisecond, 1282 * time.Millisecond, CutControl{Control: 0, OneWay: false}},
		{7523 * time.Millisecond, 1122 * time.Millisecond, CrashPrimary{Group: 0}},
		{7918 * time.Millisecond, 3559 * time.Millisecond, Isolate{Control: 2}},
		{9183 * time.Millisecond, 1721 * time.Millisecond, SlowDisks{Control: 2, By: 56752619}},
		{9458 * time.Millisecond, 3094 * time.Millisecond, AddControl{Zone: 2, Ending: Ending{After: catchUpLimit, Kill: true, Silent: true}, Seeds: 0x2}},
		{10853 * time.Millisecond, 624 * time.Millisecond, ReplaceBeside{Control: 3, Ending: Ending{After: catchUpLimit, Kill: false, Silent: true}, Seeds: 0x2}},
		{11778 * time.Millisecond, 812 * time.Millisecond, CrashPrimary{Group: 2}},
		{12189 * time.Millisecond, 2832 * time.Millisecond, CutControl{Control: 1, OneWay: true}},
		{12259 * time.Millisecond, 3819 * time.Millisecond, CutControl{Control: 0, OneWay: false}},
		{12876 * time.Millisecond, 507 * time.Millisecond, SlowPlatform{By: 3654357516}},
		{13291 * time.Millisecond, 4008 * time.Millisecond, CrashPrimary{Group: 0}},
		{13727 * time.Millisecond, 882 * time.Millisecond, CrashPrimary{Group: 0}},
		{14365 * time.Millisecond, 2821 * time.Millisecond, Kill{Instance: 7}},
	}},
	{"random seed 103", 103, causeAdded, []Step{
		{0 * time.Millisecond, 453 * time.Millisecond, Isolate{Control: 2}},
		{949 * time.Millisecond, 4066 * time.Millisecond, AddControl{Zone: 1, Ending: Ending{After: catchUpLimit, Silent: true}, Seeds: 0x2}},
		{1609 * time.Millisecond, 1201 * time.Millisecond, Kill{Instance: 8}},
		{1670 * time.Millisecond, 812 * time.Millisecond, HoldCalls{Control: 0}},
		{2943 * time.Millisecond, 413 * time.Millisecond, ReplaceControl{Control: 2, Silent: true, Seeds: 0x0}},
		{4340 * time.Millisecond, 3813 * time.Millisecond, CrashPrimary{Group: 2}},
		{5178 * time.Millisecond, 3149 * time.Millisecond, LoseNext{Control: 6, Replace: false}},
		{6074 * time.Millisecond, 1645 * time.Millisecond, CutControl{Control: 2, OneWay: true}},
		{6488 * time.Millisecond, 4175 * time.Millisecond, KillControl{}},
		{7217 * time.Millisecond, 297 * time.Millisecond, SlowDisks{Control: 2, By: 136479832}},
		{7708 * time.Millisecond, 1651 * time.Millisecond, HoldCalls{Control: 0, Silent: true}},
		{7991 * time.Millisecond, 321 * time.Millisecond, CutControl{Control: 2, OneWay: false}},
		{8024 * time.Millisecond, 661 * time.Millisecond, Kill{Instance: 8}},
		{9162 * time.Millisecond, 1248 * time.Millisecond, StallDisk{Control: 0}},
		{10344 * time.Millisecond, 3829 * time.Millisecond, SlowDisks{Control: -1, By: 164752741}},
		{10598 * time.Millisecond, 3233 * time.Millisecond, LoseDisk{Control: 2}},
		{11606 * time.Millisecond, 1048 * time.Millisecond, CutControl{Control: 0, OneWay: true}},
		{11908 * time.Millisecond, 1239 * time.Millisecond, CrashPrimary{Group: 0}},
		{12193 * time.Millisecond, 2354 * time.Millisecond, CrashPrimary{Group: 0}},
		{12884 * time.Millisecond, 1886 * time.Millisecond, CrashPrimary{Group: 1}},
		{13591 * time.Millisecond, 1950 * time.Millisecond, CutZone{Zone: 1}},
		{14313 * time.Millisecond, 682 * time.Millisecond, PauseCaller{}},
		{14401 * time.Millisecond, 3970 * time.Millisecond, ResetLinks{Control: 1}},
		{14630 * time.Millisecond, 953 * time.Millisecond, Isolate{Control: 0}},
	}},
}

// Guards against faults that the soak has found before. It takes half a minute per seed and
// is run by hand.
func TestFailedSeeds(t *testing.T) {
	if !*runFailed {
		t.Skip("run by hand with -soak.failed")
	}
	for _, test := range failedSeeds {
		t.Run(test.scenario, func(t *testing.T) {
			s, _ := FindScenario(test.scenario)
			assert.Empty(t, play(t, s, test.seed, 15*time.Second).Violations, "seed %d failed before: %s", test.seed, test.cause)
		})
	}
	for _, test := range failedBeforeBeside {
		t.Run(fmt.Sprintf("random seed %d before besideControl", test.seed), func(t *testing.T) {
			steps := scheduleOf(kinds, test.seed, test.total, stepInterval)
			s := Scenario{Name: "random", play: func(ctx context.Context, r *Run) { r.playSteps(ctx, steps) }}
			assert.Empty(t, playWith(t, s, test.seed, test.total, test.sync).Violations, "failed before: %s", test.cause)
		})
	}
	for _, test := range failedSchedules {
		t.Run(test.name, func(t *testing.T) {
			s := Scenario{Name: test.name, play: func(ctx context.Context, r *Run) { r.playSteps(ctx, test.steps) }}
			assert.Empty(t, play(t, s, test.seed, 12*time.Second).Violations, "failed before: %s", test.cause)
		})
	}
}
