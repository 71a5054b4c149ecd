"""Compares what was seen during a soak with the promises.

Each check is a generator of violations. Those in `SAFETY` hold whatever the
machine does; those in `TIMING` depend on its pace and are left out in CI.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.soak import observations

__all__ = ["SAFETY", "TIMING", "Violation", "find_violations"]

# Statuses that promise that a request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Time in which an accepted document must be in force (settings of the soak).
MAX_APPLY_DELAY_MS = 2000
# Time in which requests to a leaving engine must end, and how long all must
# have been calm for a time bound to hold.
MAX_DRAIN_MS = 2000
FAULT_FREE_MS = 3000
# A request that reached a node this long before its connection broke was read.
MAX_READ_DELAY_MS = 200
# After the signal to stop, connections are accepted for this long.
LISTEN_AFTER_STOP_MS = 2500
NODE_OR_LINK_FAULTS = frozenset(observations.FaultKind) - {
    observations.FaultKind.ENGINE_DRAIN,
    observations.FaultKind.ENGINE_CRASH,
}


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A promise that was not kept."""

    check: str
    detail: str


def find_violations(
    history: observations.History, checks
) -> Iterator[Violation]:
    """Run checks over a history.

    Parameters
    ----------
    history
        What was seen.
    checks
        `SAFETY`, or `SAFETY` and `TIMING`.

    Yields
    ------
    Violation
        In the order of the checks.
    """
    for check in checks:
        for detail in check(history):
            yield Violation(check.__name__, detail)


def runs_at_most_once(history: observations.History) -> Iterator[str]:
    """Check that a request that may not repeat runs at most once."""
    once = {
        s.request_id
        for s in history.of(observations.RequestSent)
        if not s.may_repeat
    }
    runs = collections.Counter(
        r.request_id for r in history.of(observations.RunStarted)
    )
    for request_id, count in runs.items():
        if count > 1 and request_id in once:
            yield f"{request_id} ran {count} times"


def refused_requests_never_ran(history: observations.History) -> Iterator[str]:
    """Check that what was refused as not run never ran."""
    ran = {r.request_id for r in history.of(observations.RunStarted)}
    for answer in history.of(observations.AnswerReceived):
        if answer.status in NOT_EXECUTED_STATUSES and answer.request_id in ran:
            yield f"{answer.request_id} got {answer.status} and ran"


def answers_match_requests(history: observations.History) -> Iterator[str]:
    """Check that a success is whole and belongs to its request."""
    ran = {r.request_id for r in history.of(observations.RunStarted)}
    for answer in history.of(observations.AnswerReceived):
        if answer.status != 200:
            continue
        if not answer.is_whole:
            yield f"{answer.request_id} got a part that looked complete"
        elif answer.owner != answer.request_id:
            yield f"{answer.request_id} got the answer of {answer.owner}"
        if answer.request_id not in ran:
            yield f"{answer.request_id} got 200 and never ran"


def documents_are_kept(history: observations.History) -> Iterator[str]:
    """Check that no read is older than what was accepted before."""
    accepted = history.of(observations.DocumentAccepted)
    bodies = {a.version: a.body for a in accepted}
    for read in history.of(observations.DocumentRead):
        bound_ms = read.sent_ms - (0 if read.is_last else MAX_APPLY_DELAY_MS)
        due = [a.version for a in accepted if a.at_ms < bound_ms]
        if read.version < max(due, default=-1):
            yield f"read {read.version} after {max(due)} was accepted"
        if bodies.get(read.version, read.body) != read.body:
            yield f"version {read.version} was read with other content"


def orders_come_from_one_holder(
    history: observations.History,
) -> Iterator[str]:
    """Check that the fences of an engine's orders never go back."""
    last_orders: dict[str, observations.OrderAccepted] = {}
    for order in history.of(observations.OrderAccepted):
        last = last_orders.get(order.upstream_id)
        if last is not None and order.fence < last.fence:
            fences = f"{order.fence} after {last.fence}"
            yield f"{order.upstream_id}: fence {fences}"
        elif last is not None and (
            order.fence == last.fence and order.holder != last.holder
        ):
            yield f"{order.upstream_id}: two holders with fence {order.fence}"
        last_orders[order.upstream_id] = order


def programs_stay_up(history: observations.History) -> Iterator[str]:
    """Check that no program ends by itself, or badly when it is stopped."""
    for ended in history.of(observations.ProgramEnded):
        if not ended.was_requested or ended.code != 0:
            yield f"{ended.name} ended with code {ended.code}"


def drained_engines_stay_idle(history: observations.History) -> Iterator[str]:
    """Check that an engine gets nothing more once it has left."""
    drain_acked_ms = {
        d.upstream_id: d.at_ms
        for d in history.of(observations.DrainAcknowledged)
    }
    for run in history.of(observations.RunStarted):
        at_ms = drain_acked_ms.get(run.upstream_id)
        if at_ms is None or run.at_ms <= at_ms + MAX_DRAIN_MS:
            continue
        if _is_fault_free(history, at_ms - FAULT_FREE_MS, run.at_ms):
            after_ms = run.at_ms - at_ms
            yield f"{run.request_id} ran {after_ms} ms after the drain's ack"


def stops_abort_no_request(history: observations.History) -> Iterator[str]:
    """Check that a planned stop breaks off no request that was read."""
    answers = {
        a.request_id: a for a in history.of(observations.AnswerReceived)
    }
    for stop in history.of(observations.Fault):
        if stop.kind is not observations.FaultKind.STOP:
            continue
        until_ms = stop.from_ms + LISTEN_AFTER_STOP_MS
        for sent in history.of(observations.RequestSent):
            answer = answers.get(sent.request_id)
            if (
                sent.node == stop.target
                and stop.from_ms - FAULT_FREE_MS < sent.at_ms < until_ms
                and answer is not None
                and answer.status == 0
                and answer.at_ms
                > max(sent.at_ms + MAX_READ_DELAY_MS, stop.from_ms)
                and _is_fault_free(
                    history,
                    sent.at_ms - FAULT_FREE_MS,
                    answer.at_ms,
                    ignored=stop,
                )
            ):
                yield f"{sent.request_id} was cut by the stop of {stop.target}"


def _is_fault_free(history, from_ms: int, to_ms: int, ignored=None) -> bool:
    kinds = (
        NODE_OR_LINK_FAULTS
        if ignored is None
        else frozenset(observations.FaultKind)
    )
    return not any(
        fault.kind in kinds and fault.from_ms < to_ms and fault.to_ms > from_ms
        for fault in history.of(observations.Fault)
        if fault != ignored
    )


SAFETY = (
    runs_at_most_once,
    refused_requests_never_ran,
    answers_match_requests,
    documents_are_kept,
    orders_come_from_one_holder,
    programs_stay_up,
)
TIMING = (drained_engines_stay_idle, stops_abort_no_request)
