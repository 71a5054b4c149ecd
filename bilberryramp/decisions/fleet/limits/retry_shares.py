"""Division of the slack of the retry budgets among the nodes.

The leader of the register counts the processes that answer its heartbeats,
and states their number in each heartbeat. A node that can prove that the
statement is recent holds a lease on an equal part of the slack. The states of
a node are those of ``retry_share.yaml``.

The parts that were spent in any span of `Times.span_ms` must add up to no more
than the slack, over restarts, cuts and changes of the leader. It is enough
that each lease counts every process that may spend a part within a span
before or after it does:

- A process spends none until it has been counted for `Times.join_ms`. By then
  each lease that does not count it has ended, and what was spent under such a
  lease is older than a span.
- A process is counted until `Times.forget_ms` after it was last heard. By then
  its lease has ended, and what it spent is older than a span.
- A process whose lease has ended needs no new wait within `Times.memory_ms`,
  since it is still counted. The wait of those that join a new leader begins
  only when this time has passed since the last lease of its predecessor. By
  then it has heard all that need no wait.
- A new leader states at least the number in the last lease that it held
  itself. Without a lease within a span before its election, it states none
  until `Times.join_ms` after the election.

``now_ms`` must come from a clock that continues to run while the instance is
suspended.
"""

import dataclasses

from bilberryramp.decisions.shared import charting

__all__ = [
    "LEASE_MS",
    "Share",
    "Shares",
    "Statement",
    "Times",
    "accept_statement",
    "actions",
    "current_share",
    "fleet_size_at",
    "guards",
    "make_times",
    "new_shares",
    "record_process",
    "review",
    "start_leading",
    "state_size",
]

# Time for which a lease holds, several times the interval of the leader's
# heartbeats to learners.
LEASE_MS = 2000
# Time for which silent processes are counted beyond what is needed.
FORGET_RESERVE_MS = 1000


@dataclasses.dataclass(slots=True, frozen=True)
class Times:
    """Durations that follow from the span of the retry budget.

    Attributes
    ----------
    span_ms
        Time within which the retries of all nodes are added up.
    join_ms
        Time for which a process is counted before it may spend a part.
    memory_ms
        Time after the end of a lease within which the next one needs no wait.
    forget_ms
        Time without an answer after which a process is no longer counted.
    """

    span_ms: int
    join_ms: int
    memory_ms: int
    forget_ms: int


def make_times(span_ms: int) -> Times:
    """Derive the durations from the span of the retry budget.

    Parameters
    ----------
    span_ms
        Time within which the retries of all nodes are added up, as
        `retry_budget.span_ms` returns it.

    Returns
    -------
    Times
        Durations for which the parts never exceed the slack.
    """
    return Times(
        span_ms,
        LEASE_MS + span_ms,
        span_ms // 2,
        LEASE_MS + span_ms + FORGET_RESERVE_MS,
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Statement:
    """What the leader states to one process.

    Attributes
    ----------
    fleet_size
        Number of processes that share the slack; 0 if it is unknown.
    counted_ms
        For how long the process has been counted, in milliseconds.
    """

    fleet_size: int = 0
    counted_ms: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Share:
    """A node's part of the slack, as the register's task publishes it.

    Attributes
    ----------
    fleet_size
        Number of equal parts of the slack, of which the node may spend one;
        0 if it may spend none.
    valid_until_ms
        Last time at which the node may spend it.
    state
        State of ``retry_share.yaml``.
    counted_ms
        For how long the leader has counted the process, in milliseconds.
    """

    fleet_size: int = 0
    valid_until_ms: int = -1
    state: str = "none"
    counted_ms: int = 0


@dataclasses.dataclass(slots=True)
class CountedProcess:
    """A process that the leader counts.

    Attributes
    ----------
    process_number
        Number that distinguishes it from earlier ones at its address.
    since_ms
        Since when it is counted.
    heard_ms
        When it last answered.
    """

    process_number: int
    since_ms: int
    heard_ms: int


@dataclasses.dataclass(slots=True)
class Shares:
    """State of a node: its lease and, on the leader, its count of the nodes.

    Attributes
    ----------
    chart
        Bound ``retry_share`` chart.
    times
        Durations that follow from the retry budget.
    statement, as_of_ms
        Newest statement of a leader with a known size, and the latest time as
        of which it is proved.
    counted
        Processes of the other nodes by address; used by the leader only.
    led_since_ms
        When this node last became the leader.
    inherited_size
        Size in the lease that this node held then; 0 if it held none.
    key, phase, timer
        State of the chart: key of its timers, current state, and token of the
        current timer.
    """

    chart: charting.Chart
    times: Times
    statement: Statement = Statement()
    as_of_ms: int = -(10**9)
    counted: dict[str, CountedProcess] = dataclasses.field(
        default_factory=dict
    )
    led_since_ms: int = 0
    inherited_size: int = 0
    key: str = "retry_share"
    phase: str = "none"
    timer: int = 0


def new_shares(chart: charting.Chart, times: Times) -> Shares:
    """Create the state of a node that holds no lease.

    Parameters
    ----------
    chart
        Bound ``retry_share`` chart.
    times
        Durations that follow from the retry budget.

    Returns
    -------
    Shares
        State in the chart's initial state.
    """
    return Shares(chart, times, phase=chart.spec.initial)


# The leader's count of the processes.


def start_leading(shares: Shares, now_ms: int) -> None:
    """Start to count the processes, as a leader that was just elected.

    Parameters
    ----------
    shares
        State of the node. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    lease_end_ms = shares.as_of_ms + LEASE_MS
    is_recent = lease_end_ms >= now_ms - shares.times.span_ms
    shares.inherited_size = shares.statement.fleet_size if is_recent else 0
    shares.led_since_ms = now_ms
    shares.counted = {}


def record_process(
    shares: Shares, address: str, process_number: int, now_ms: int
) -> None:
    """Count a process that has answered the leader's heartbeat.

    Parameters
    ----------
    shares
        State of the leader. Modified in place.
    address
        Address of the node.
    process_number
        Number of its process.
    now_ms
        Current time in milliseconds.
    """
    counted = shares.counted.get(address)
    if counted is None or counted.process_number != process_number:
        shares.counted[address] = CountedProcess(
            process_number, now_ms, now_ms
        )
    else:
        counted.heard_ms = now_ms


def state_size(shares: Shares, address: str, now_ms: int) -> Statement:
    """Return what the leader states to a process.

    The caller must hold the lease of the register's leader.

    Parameters
    ----------
    shares
        State of the leader.
    address
        Address of the node to which it is stated; empty for the leader itself.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Statement
        With a size of 0 while this leader cannot know of all processes that
        its predecessors counted.
    """
    times = shares.times
    led_ms = now_ms - shares.led_since_ms
    size = len(shares.counted) + 1
    counts_from_ms = shares.led_since_ms
    if shares.inherited_size:
        counts_from_ms += LEASE_MS + times.memory_ms
    if led_ms < times.join_ms:
        if not shares.inherited_size:
            return Statement()
        size = max(size, shares.inherited_size)
    counted = shares.counted.get(address)
    if not address:
        since_ms = shares.led_since_ms
    else:
        since_ms = counted.since_ms if counted is not None else now_ms
    counted_ms = now_ms - max(since_ms, counts_from_ms)
    return Statement(size, max(counted_ms, 0))


# The lease of a node.


def accept_statement(
    shares: Shares, statement: Statement, as_of_ms: int, now_ms: int
) -> None:
    """Renew the lease by a statement of the leader.

    Parameters
    ----------
    shares
        State of the node. Modified in place.
    statement
        Statement of the leader to this process; without a size it is ignored.
    as_of_ms
        Time before which the leader cannot have made it.
    now_ms
        Current time in milliseconds.
    """
    review(shares, now_ms)
    is_valid = now_ms <= as_of_ms + LEASE_MS
    if statement.fleet_size and is_valid and as_of_ms >= shares.as_of_ms:
        shares.statement, shares.as_of_ms = statement, as_of_ms
        _fire_event(shares, "leased", now_ms)


def review(shares: Shares, now_ms: int) -> None:
    """Act on elapsed time.

    Parameters
    ----------
    shares
        State of the node. Modified in place.
    now_ms
        Current time in milliseconds.
    """
    lease_end_ms = shares.as_of_ms + LEASE_MS
    if now_ms > lease_end_ms:
        _fire_event(shares, "lease_ended", now_ms)
    if now_ms > lease_end_ms + shares.times.memory_ms:
        _fire_event(shares, "memory_ended", now_ms)
    forget_ms = shares.times.forget_ms
    if any(now_ms - p.heard_ms > forget_ms for p in shares.counted.values()):
        shares.counted = {
            address: process
            for address, process in shares.counted.items()
            if now_ms - process.heard_ms <= forget_ms
        }


def current_share(shares: Shares, now_ms: int) -> Share:
    """Return the part of the slack that this node may spend.

    Parameters
    ----------
    shares
        State of the node. Modified in place.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    Share
        The part, with the time until which it is valid.
    """
    review(shares, now_ms)
    if shares.phase != "granted":
        return Share(0, -1, shares.phase, shares.statement.counted_ms)
    return Share(
        shares.statement.fleet_size,
        shares.as_of_ms + LEASE_MS,
        shares.phase,
        shares.statement.counted_ms,
    )


def fleet_size_at(share: Share, now_ms: int) -> int:
    """Return among how many nodes the slack is shared.

    Parameters
    ----------
    share
        Newest published share of this node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    int
        Number of equal parts; 0 if this node may spend none.
    """
    return share.fleet_size if now_ms <= share.valid_until_ms else 0


def _fire_event(shares: Shares, event: str, now_ms: int) -> None:
    for _ in charting.fire(shares.chart, shares, event, now_ms, None):
        pass


def _is_counted(shares: Shares, _payload) -> bool:
    return shares.statement.counted_ms >= shares.times.join_ms


guards = {"is_counted": _is_counted}
actions: dict = {}
