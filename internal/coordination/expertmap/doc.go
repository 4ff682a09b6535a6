/*
Package expertmap decides when the ranks of an expert-parallel group change
from one expert map to another.

# Concept

The ranks of a group run in lock-step on one expert map. A change to another
map takes place at one step, the switch step S, on all ranks: a step that runs
with two maps gives wrong results. A [Record] holds what the replicated log has
decided on a group: the newest version decided on, and the maps with their
switch steps. The map of a step is a function of the record alone (see
[Record.MapAt]), so a rank that has received every decision with a switch step
up to its own step uses the same map as all others.

A change runs in this order:

 1. The [Coordinator] on the control leader takes the next version v and orders
    all ranks to stage it, that is, to load its weights.
 2. When all have staged v, it chooses S above the steps that they have
    reached, by a margin, and requests a promise from each rank: not to start S
    without the decision on v. A rank that has started S refuses.
 3. With all promises it commits "v at S" through the log; after a refusal, a
    restart of a rank or a timeout it commits that v is abandoned. Orders that
    announce a decision are made from the applied record only.
 4. A rank that has promised and has not received the decision holds at S.
    Since ranks run in lock-step, the group waits with it.

# Why no step runs with two maps

Each decision compares and swaps the newest version, so each version is decided
once, for one placement. "v at S" is committed only if every rank has promised
not to start S without the decision. Two cases remain.

A new leader has only the committed decisions. Before anything else it commits
that the next version is abandoned. A commit of that version by an earlier
leader then fails, or was applied first and is in the record.

A promise ends with the incarnation of the backend server that gave it. A
restarted rank has no map and starts no step until control has sent it one.
The coordinator sends it only while no change is open: an open change is
abandoned first, or, if its commit may be in the log, awaited. Orders name the
incarnation they are for, so that a restarted rank does not take an order for
its earlier incarnation as its own. The order to a restarted rank is safe only
if leadership was confirmed with a quorum after the rank's report was received;
see Use.

A restarted rank gets the newest map and the one before it in one order. In two
orders, a lost message would leave it with the old map alone, and a repeated
one could take it back to the old map.

# Use

The control role creates a Coordinator when it has become leader and has applied
all earlier entries, and drops it when it loses leadership:

	c := expertmap.New(expertmap.DefaultConfig(), records)

It calls [Coordinator.Step] with a [Tick] about ten times per second, with
[Applied] after each applied group decision, with [Proposed] for a new map, and
with [Reported] for the acknowledgements of each renewal. For an effect
[Decide] it proposes the group_decision command, whose compare-and-swap is that
of [Record.Apply]; after an error, a later Tick repeats the effect. For the
answer to a renewal it

 1. passes the acknowledgements to Step,
 2. confirms its leadership with a quorum,
 3. calls [Coordinator.Orders] with the backend servers of the renewal.

The agent keeps one [Follower] for each backend server with ranks. It checks
orders before they are forwarded, and its [Follower.Ack] is sent with each
renewal. The rules for the ranks themselves are in [Engine], which the stand-in
for model engines runs.
*/
package expertmap
