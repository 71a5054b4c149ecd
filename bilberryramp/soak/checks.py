"""Compare the observations of a soak with the guarantees of the system.

Each check is a generator that yields a text for each violation. The checks in
`SAFETY` must pass on a machine of any speed. Those in `TIMING` assert time
limits that a slow machine can exceed, so CI does not run them.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.soak import (
    budget_checks,
    fault_periods,
    observations,
    stop_checks,
)

__all__ = ["SAFETY", "TIMING", "Violation", "find_violations"]

# HTTP statuses that guarantee that the request did not and will not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Limit for an accepted document to take effect; equal to
# `NodeSettings.apply_ms` in the soak.
MAX_APPLY_DELAY_MS = 2000
# Limit for requests to a draining engine to end; equal to
# `NodeSettings.drain_ms` in the soak.
MAX_DRAIN_MS = 2000
# Time during which only one node may order an engine; equal to
# `NodeSettings.order_lease_ms` in the soak.
ORDER_LEASE_MS = 3000
# A request that was sent at least this long before its connection broke was
# read by the node.
MAX_READ_DELAY_MS = 200
# A node accepts connections for this long after the signal to stop.
LISTEN_AFTER_STOP_MS = 2500
# Number of engines that a body and a part of prompts may crash, and the number
# of times that it may reach engines later than `STABLE_WINDOW_MS` after the
# last of these crashes. The platform's rules state them.
MAX_CRASHES = 3
MAX_CRASHES_OF_PART = 5
MAX_LATE_ARRIVALS = 3
# Equal to `NodeSettings.stable_window_ms` in the soak.
STABLE_WINDOW_MS = 3000
# Code of the failure of a request that is refused because it crashes engines.
QUARANTINED = "quarantined"


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A violation of a guarantee.

    Attributes
    ----------
    check
        Name of the check that found it.
    detail
        Description, with the ids of the request, engine or document.
    """

    check: str
    detail: str


def find_violations(
    history: observations.History, checks
) -> Iterator[Violation]:
    """Run checks on the history of a soak.

    Parameters
    ----------
    history
        Observations of the soak.
    checks
        Checks to run, such as `SAFETY`.

    Yields
    ------
    Violation
        Each violation, in the order of the checks.
    """
    for check in checks:
        for detail in check(history):
            yield Violation(check.__name__, detail)


def runs_at_most_once(history: observations.History) -> Iterator[str]:
    """Check that a request that must not be repeated runs at most once."""
    not_repeatable = {
        s.request_id
        for s in history.of_class(observations.RequestSent)
        if not s.may_repeat
    }
    runs = collections.Counter(
        r.request_id for r in history.of_class(observations.RunStarted)
    )
    for request_id, count in runs.items():
        if count > 1 and request_id in not_repeatable:
            yield f"{request_id} ran {count} times"


def refused_requests_never_ran(history: observations.History) -> Iterator[str]:
    """Check that a request refused as not executed never ran."""
    ran = {r.request_id for r in history.of_class(observations.RunStarted)}
    for answer in history.of_class(observations.AnswerReceived):
        if answer.status in NOT_EXECUTED_STATUSES and answer.request_id in ran:
            yield f"{answer.request_id} got {answer.status} and ran"


def answers_match_requests(history: observations.History) -> Iterator[str]:
    """Check that a successful answer is complete and matches its request.

    An answer whose connection broke has status 0, so an incomplete body with
    status 200 looked complete to its caller.
    """
    ran = {r.request_id for r in history.of_class(observations.RunStarted)}
    for answer in history.of_class(observations.AnswerReceived):
        if answer.status != 200:
            continue
        if not answer.is_whole:
            yield f"{answer.request_id} got 200 with an incomplete body"
        elif answer.owner != answer.request_id:
            yield f"{answer.request_id} got the answer of {answer.owner}"
        if answer.request_id not in ran:
            yield f"{answer.request_id} got 200 but never ran"


def documents_are_kept(history: observations.History) -> Iterator[str]:
    """Check that a read returns no version older than one accepted before it.

    A version may take `MAX_APPLY_DELAY_MS` to become visible, except in the
    final reads. The content must be the one accepted under this version.
    """
    accepted = history.of_class(observations.DocumentAccepted)
    bodies = {a.version: a.body for a in accepted}
    for read in history.of_class(observations.DocumentRead):
        accepted_before_ms = read.sent_ms - (
            0 if read.is_last else MAX_APPLY_DELAY_MS
        )
        due_versions = [
            a.version for a in accepted if a.at_ms < accepted_before_ms
        ]
        if read.version < max(due_versions, default=-1):
            yield (
                f"version {read.version} was read after version "
                f"{max(due_versions)} was accepted"
            )
        if bodies.get(read.version, read.body) != read.body:
            yield f"version {read.version} was read with different content"


def orders_come_from_one_holder(
    history: observations.History,
) -> Iterator[str]:
    """Check that the fencing tokens of an engine's orders never decrease.

    Orders with equal fencing tokens must come from the same holder, and two
    holders must not order an engine within the order lease.
    """
    last_orders: dict[str, observations.OrderAccepted] = {}
    for order in history.of_class(observations.OrderAccepted):
        last = last_orders.get(order.upstream_id)
        if last is not None and order.fence < last.fence:
            fences = f"{order.fence} after {last.fence}"
            yield f"{order.upstream_id}: fencing token {fences}"
        elif last is not None and (
            order.fence == last.fence and order.holder != last.holder
        ):
            yield f"{order.upstream_id}: two holders with token {order.fence}"
        elif last is not None and (
            order.holder != last.holder
            and order.at_ms - last.at_ms < ORDER_LEASE_MS
        ):
            yield (
                f"{order.upstream_id}: ordered by {order.holder} "
                f"{order.at_ms - last.at_ms} ms after {last.holder}"
            )
        last_orders[order.upstream_id] = order


def programs_stay_up(history: observations.History) -> Iterator[str]:
    """Check that programs end only on request, and with exit code 0."""
    for ended in history.of_class(observations.ProgramEnded):
        if not ended.was_requested or ended.code != 0:
            yield f"{ended.name} ended with code {ended.code}"


def drained_engines_stay_idle(history: observations.History) -> Iterator[str]:
    """Check that no request starts to run on an engine that has drained.

    An engine has drained `MAX_DRAIN_MS` after a node acknowledged the drain.
    Runs are not checked if a fault of a node or link was active from
    `fault_periods.FAULT_FREE_MS` before the acknowledgment until the run.
    """
    drain_acked_ms = {
        d.upstream_id: d.at_ms
        for d in history.of_class(observations.DrainAcknowledged)
    }
    for run in history.of_class(observations.RunStarted):
        at_ms = drain_acked_ms.get(run.upstream_id)
        if at_ms is None or run.at_ms <= at_ms + MAX_DRAIN_MS:
            continue
        if _is_fault_free(
            history, at_ms - fault_periods.FAULT_FREE_MS, run.at_ms
        ):
            after_ms = run.at_ms - at_ms
            yield f"{run.request_id} ran {after_ms} ms after the drain"


def leaving_answers_end_requests(
    history: observations.History,
) -> Iterator[str]:
    """Check that an engine gets no requests after it said that it leaves.

    It says so in an answer that a node passes on. Requests that callers send
    to that node later than `MAX_DRAIN_MS` after it must not reach the engine,
    unless the node was restarted or suspended since.
    """
    sent = {
        s.request_id: s for s in history.of_class(observations.RequestSent)
    }
    passed_ms: dict[tuple[str, str], int] = {}
    for answer in history.of_class(observations.AnswerReceived):
        if answer.leaving_id:
            key = sent[answer.request_id].node, answer.leaving_id
            passed_ms.setdefault(key, answer.at_ms)
    for run in history.of_class(observations.RunStarted):
        request = sent.get(run.request_id)
        if request is None:
            continue
        at_ms = passed_ms.get((request.node, run.upstream_id))
        if (
            at_ms is not None
            and request.at_ms > at_ms + MAX_DRAIN_MS
            and not fault_periods.was_hit(
                history.of_class(observations.Fault),
                fault_periods.INTERRUPTIONS,
                request.node,
                at_ms,
                run.at_ms,
            )
        ):
            yield (
                f"{run.request_id} was sent to {request.node} "
                f"{request.at_ms - at_ms} ms after an answer of "
                f"{run.upstream_id} that it leaves, and ran there"
            )


def fatal_requests_stop_arriving(
    history: observations.History,
) -> Iterator[str]:
    """Check that a body or part that crashed a few engines is kept away.

    Arrivals are not counted while a fault of a node or link is active, or
    was from `fault_periods.FAULT_FREE_MS` before.
    """
    crashes: dict[tuple[str, bool], list[int]] = {}
    for crashed in history.of_class(observations.EngineCrashed):
        key = crashed.cause, crashed.is_part
        crashes.setdefault(key, []).append(crashed.at_ms)
    for (cause, is_part), times_ms in crashes.items():
        max_crashes = MAX_CRASHES_OF_PART if is_part else MAX_CRASHES
        if len(times_ms) < max_crashes:
            continue
        allowed_ms = times_ms[max_crashes - 1] + STABLE_WINDOW_MS
        late = [
            at_ms
            for at_ms in times_ms
            if at_ms > allowed_ms
            and _is_fault_free(
                history, at_ms - fault_periods.FAULT_FREE_MS, at_ms
            )
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield (
                f"{cause} reached engines {len(late)} times after its crash "
                f"number {max_crashes}, {len(times_ms)} engines crashed"
            )


def sound_requests_pass(history: observations.History) -> Iterator[str]:
    """Check that only requests that crash engines are quarantined."""
    fatal = tuple(
        f"{crashed.cause}-"
        for crashed in history.of_class(observations.EngineCrashed)
    )
    for answer in history.of_class(observations.AnswerReceived):
        is_fatal = bool(fatal) and answer.request_id.startswith(fatal)
        if answer.error == QUARANTINED and not is_fatal:
            yield f"{answer.request_id} is sound and was quarantined"


def stops_abort_no_request(history: observations.History) -> Iterator[str]:
    """Check that a graceful stop aborts no request that the node has read.

    A request is checked if it was sent shortly before the stop, or while the
    node still accepted connections, and if no other fault was active. Those
    whose bodies come in pieces are left to `stop_checks`, which knows when
    their last bytes were written.
    """
    in_pieces = {
        s.request_id for s in history.of_class(observations.PiecesSent)
    }
    answers = {
        a.request_id: a for a in history.of_class(observations.AnswerReceived)
    }
    for stop in history.of_class(observations.Fault):
        if stop.kind is not observations.FaultKind.STOP:
            continue
        until_ms = stop.from_ms + LISTEN_AFTER_STOP_MS
        for sent in history.of_class(observations.RequestSent):
            answer = answers.get(sent.request_id)
            if (
                sent.node == stop.target
                and sent.request_id not in in_pieces
                and stop.from_ms - fault_periods.FAULT_FREE_MS
                < sent.at_ms
                < until_ms
                and answer is not None
                and answer.status == 0
                and answer.at_ms
                > max(sent.at_ms + MAX_READ_DELAY_MS, stop.from_ms)
                and _is_fault_free(
                    history,
                    sent.at_ms - fault_periods.FAULT_FREE_MS,
                    answer.at_ms,
                    ignored=stop,
                )
            ):
                yield f"{sent.request_id} was aborted as {stop.target} stopped"


def _is_fault_free(history, from_ms: int, to_ms: int, ignored=None) -> bool:
    """Return whether no fault of a node or link was active in a period.

    If `ignored` is a fault, this fault is skipped, but faults of engines and
    crashes under fatal requests count as well.
    """
    if ignored is not None and any(
        from_ms < crashed.at_ms < to_ms
        for crashed in history.of_class(observations.EngineCrashed)
    ):
        return False
    faults = history.of_class(observations.Fault)
    if ignored is None:
        return fault_periods.is_fault_free(faults, from_ms, to_ms)
    return fault_periods.is_fault_free(
        (fault for fault in faults if fault != ignored),
        from_ms,
        to_ms,
        frozenset(observations.FaultKind) - fault_periods.PLANNED_KINDS,
    )


SAFETY = (
    runs_at_most_once,
    refused_requests_never_ran,
    answers_match_requests,
    documents_are_kept,
    orders_come_from_one_holder,
    programs_stay_up,
    sound_requests_pass,
    leaving_answers_end_requests,
    budget_checks.repeats_stay_within_budget,
    budget_checks.attempts_stay_within_limit,
    stop_checks.stops_lose_no_request,
    stop_checks.stops_cut_no_request,
    stop_checks.reloads_lose_no_request,
    stop_checks.reloads_cut_no_request,
)
TIMING = (
    drained_engines_stay_idle,
    stops_abort_no_request,
    stop_checks.stops_end_in_time,
    fatal_requests_stop_arriving,
    budget_checks.pauses_are_obeyed,
    budget_checks.deadlines_shrink,
    budget_checks.other_engines_serve,
)
