"""Checks of planned stops and reloads, as the platform's rules state them.

They judge requests whose bodies are sent in pieces, of which the client knows
when the last byte was written.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.soak import fault_periods, observations

__all__ = [
    "reloads_cut_no_request",
    "reloads_lose_no_request",
    "stops_cut_no_request",
    "stops_end_in_time",
    "stops_lose_no_request",
    "summary",
]

# Equal to `NodeSettings.grace_ms` and `NodeSettings.apply_ms` in the soak.
GRACE_MS = 8000
APPLY_MS = 2000
# Time after the grace period, or the effect of a reload, in which a
# connection that ends still counts as ended by it.
AFTER_GRACE_MS = 1000
# A request whose last byte was written this long before its connection ended
# was read by the node, and one whose first byte was does not merely cross the
# close of an idle connection.
LOSS_SLACK_MS = 200
# Equal to `NodeSettings.stable_window_ms` in the soak.
STABLE_WINDOW_MS = 3000
# From this long after the signal on, an engine may still be at work on a
# request that began up to `LATE_REQUEST_MS` after the signal.
LAST_SIXTH_MS = GRACE_MS * 5 // 6
LATE_REQUEST_MS = 3000
# Bodies that take at most `MAX_SPAN_MS` and begin up to `READ_AFTER_STOP_MS`
# after the signal can be read within the grace period.
MAX_SPAN_MS = 1500
READ_AFTER_STOP_MS = 2000
# `timeoutMs` of the routes in the soak's documents.
ROUTE_TIMEOUT_MS = 6000
_Kind = observations.FaultKind
# Faults by which an engine ends, or a part of its answer is lost.
ENGINE_LOSSES = frozenset(
    {
        _Kind.ENGINE_CRASH,
        _Kind.ENGINE_DRAIN,
        _Kind.ENGINE_LEAVE,
        _Kind.RESET,
        _Kind.SILENT,
        _Kind.ONE_WAY,
        _Kind.DELAY,
    }
)


@dataclasses.dataclass(slots=True)
class _Runs:
    """What engines saw of the requests that were sent in pieces.

    Attributes
    ----------
    upstream_ids
        By request, the ids of the engines that it arrived at.
    spans
        By request, the start and the end of each run; the end is None while
        the engine is at work.
    broken
        Requests of which an engine broke its answer off.
    """

    upstream_ids: dict[str, set[str]]
    spans: dict[str, list[tuple[int, int | None]]]
    broken: set[str]


def _collect_runs(history: observations.History) -> _Runs:
    runs = _Runs(
        collections.defaultdict(set), collections.defaultdict(list), set()
    )
    for arrived in history.of_class(observations.RequestArrived):
        runs.upstream_ids[arrived.request_id].add(arrived.upstream_id)
    ends = {
        (e.request_id, e.upstream_id): e
        for e in history.of_class(observations.RunEnded)
    }
    for begun in history.of_class(observations.RunStarted):
        ended = ends.get((begun.request_id, begun.upstream_id))
        span = begun.at_ms, ended.at_ms if ended is not None else None
        runs.spans[begun.request_id].append(span)
        if ended is not None and ended.broke_off:
            runs.broken.add(begun.request_id)
    return runs


def stops_lose_no_request(history: observations.History) -> Iterator[str]:
    """Check that a stopping node answers each request that it has read.

    It has read a request that an engine got, or whose last byte was written
    `LOSS_SLACK_MS` before its connection ended. Connections count that end
    from the signal until `AFTER_GRACE_MS` after the grace period.
    """
    runs = _collect_runs(history)
    for stop in _signals(history, "SIGTERM"):
        until_ms = stop.at_ms + GRACE_MS + AFTER_GRACE_MS
        for sent in _lost(history, runs, stop, until_ms):
            if not _is_late_at_engine(runs, stop, sent):
                yield f"{_text(sent, stop)}: {_how_lost(runs, sent)}"


def reloads_lose_no_request(history: observations.History) -> Iterator[str]:
    """Check that a reload of settings loses no request, as for a stop.

    Requests count that were sent up to `APPLY_MS` after the signal.
    """
    runs = _collect_runs(history)
    for reload in _signals(history, "SIGHUP"):
        until_ms = reload.at_ms + APPLY_MS + ROUTE_TIMEOUT_MS
        for sent in _lost(history, runs, reload, until_ms):
            if sent.began_ms <= reload.at_ms + APPLY_MS and not _has_stopped(
                history, sent
            ):
                yield f"{_text(sent, reload)}: {_how_lost(runs, sent)}"


def stops_cut_no_request(history: observations.History) -> Iterator[str]:
    """Check that a stopping node reads requests for which it has the time.

    Bodies count that take at most `MAX_SPAN_MS` and begin up to
    `READ_AFTER_STOP_MS` after the signal, and that are cut before the last
    sixth of the grace period.
    """
    for stop in _signals(history, "SIGTERM"):
        for sent in _cut(history, stop, stop.at_ms + LAST_SIXTH_MS):
            if (
                sent.span_ms <= MAX_SPAN_MS
                and sent.began_ms <= stop.at_ms + READ_AFTER_STOP_MS
            ):
                yield f"{_text(sent, stop)}: {_how_cut(sent)}"


def reloads_cut_no_request(history: observations.History) -> Iterator[str]:
    """Check that a reload of settings cuts no request, as for a stop."""
    for reload in _signals(history, "SIGHUP"):
        until_ms = reload.at_ms + APPLY_MS + ROUTE_TIMEOUT_MS
        for sent in _cut(history, reload, until_ms):
            if sent.began_ms <= reload.at_ms + APPLY_MS and not _has_stopped(
                history, sent
            ):
                yield f"{_text(sent, reload)}: {_how_cut(sent)}"


def stops_end_in_time(history: observations.History) -> Iterator[str]:
    """Check that programs end with code 0 within the grace period.

    Programs that another fault hits meanwhile are left out.
    """
    for stop, ended in _stops(history):
        took_ms = ended.at_ms - stop.at_ms
        if (took_ms > GRACE_MS or ended.code != 0) and _is_calm(
            history, stop.name, stop.at_ms, ended.at_ms
        ):
            yield f"{stop.name} ended after {took_ms} ms, code {ended.code}"


def _stops(history) -> Iterator[tuple]:
    """Yield each signal to stop, with the end of its program.

    A program that was killed instead is left out.
    """
    pending: dict[str, observations.SignalSent] = {}
    for event in history.events:
        if isinstance(event, observations.SignalSent):
            if event.signal == "SIGTERM":
                pending[event.name] = event
        elif (
            isinstance(event, observations.ProgramEnded)
            and event.name in pending
        ):
            yield pending.pop(event.name), event


def _signals(history, name: str) -> Iterator[observations.SignalSent]:
    return (
        s
        for s in history.of_class(observations.SignalSent)
        if s.signal == name
    )


def _lost(
    history, runs: _Runs, work: observations.SignalSent, until_ms: int
) -> Iterator[observations.PiecesSent]:
    """Yield the requests that a node read and left without an answer.

    Their connections ended between the signal and a given time, and neither
    an engine nor another fault nor a time limit ended them.
    """
    for sent in history.of_class(observations.PiecesSent):
        limit_ms = min(sent.deadline_ms, ROUTE_TIMEOUT_MS)
        if (
            sent.node == work.name
            and sent.has_closed
            and not sent.is_whole
            and sent.written_ms >= 0
            and work.at_ms < sent.ended_ms <= until_ms
            and (
                sent.request_id in runs.upstream_ids
                or sent.ended_ms - sent.written_ms > LOSS_SLACK_MS
            )
            and sent.ended_ms - sent.began_ms < limit_ms
            and not _did_engine_break_off(history, runs, sent)
            and _is_calm(history, sent.node, sent.began_ms, sent.ended_ms)
        ):
            yield sent


def _cut(
    history, work: observations.SignalSent, until_ms: int
) -> Iterator[observations.PiecesSent]:
    """Yield the requests whose bodies a node cut after a signal.

    One that merely crosses the close of an idle connection is left out.
    """
    for sent in history.of_class(observations.PiecesSent):
        if (
            sent.node == work.name
            and sent.has_closed
            and sent.written_ms < 0
            and work.at_ms < sent.ended_ms < until_ms
            and sent.ended_ms - sent.began_ms > LOSS_SLACK_MS
            and _is_calm(history, sent.node, sent.began_ms, sent.ended_ms)
        ):
            yield sent


def _is_calm(history, name: str, from_ms: int, to_ms: int) -> bool:
    """Return whether a node had no unplanned disturbance in a period.

    None may have been active since `STABLE_WINDOW_MS` before it either.
    """
    return not fault_periods.was_hit(
        history.of_class(observations.Fault),
        fault_periods.UNPLANNED_KINDS,
        name,
        from_ms - STABLE_WINDOW_MS,
        to_ms,
    )


def _did_engine_break_off(history, runs: _Runs, sent) -> bool:
    """Return whether an engine, or its link, may have ended an answer."""
    if sent.request_id in runs.broken:
        return True
    upstream_ids = runs.upstream_ids.get(sent.request_id, ())
    if upstream_ids and any(
        sent.began_ms < cleared.at_ms <= sent.ended_ms
        for cleared in history.of_class(observations.FaultsCleared)
    ):
        return True
    faults = history.of_class(observations.Fault)
    return any(
        crashed.upstream_id in upstream_ids
        and sent.began_ms < crashed.at_ms <= sent.ended_ms
        for crashed in history.of_class(observations.EngineCrashed)
    ) or any(
        fault_periods.was_hit(
            faults,
            ENGINE_LOSSES,
            upstream_id.rpartition("-")[0],
            sent.began_ms - LOSS_SLACK_MS,
            sent.ended_ms,
        )
        for upstream_id in upstream_ids
    )


def _is_late_at_engine(
    runs: _Runs, stop: observations.SignalSent, sent
) -> bool:
    """Return whether an engine was at work near the grace period's end."""
    last_ms = stop.at_ms + LAST_SIXTH_MS
    return sent.began_ms <= stop.at_ms + LATE_REQUEST_MS and any(
        from_ms <= stop.at_ms + GRACE_MS and (to_ms is None or to_ms > last_ms)
        for from_ms, to_ms in runs.spans.get(sent.request_id, ())
    )


def _has_stopped(history, sent) -> bool:
    """Return whether a node was stopped before a request ended."""
    return any(
        stop.name == sent.node
        and sent.ended_ms - GRACE_MS - AFTER_GRACE_MS
        <= stop.at_ms
        < sent.ended_ms
        for stop in _signals(history, "SIGTERM")
    )


def _text(sent, work: observations.SignalSent) -> str:
    return (
        f"{sent.request_id} to {sent.node}, begun "
        f"{sent.began_ms - work.at_ms} ms after {work.signal}"
    )


def _how_lost(runs: _Runs, sent) -> str:
    waited_ms = sent.ended_ms - sent.written_ms
    engine = "ran" if sent.request_id in runs.spans else "did not run"
    return f"lost {waited_ms} ms after its last byte, {engine}"


def summary(history: observations.History) -> str:
    """Return counts of the requests in pieces, and the times of stops."""
    sent = history.of_class(observations.PiecesSent)
    statuses = collections.Counter(s.status for s in sent if s.is_whole)
    closed = [s for s in sent if s.has_closed]
    is_whole = [s for s in closed if s.written_ms >= 0]
    given_up = sum(not s.is_whole and not s.has_closed for s in sent)
    stops = sorted(ended.at_ms - stop.at_ms for stop, ended in _stops(history))
    return (
        f"{len(sent)} sent, whole answers {dict(sorted(statuses.items()))}, "
        f"closed without one {len(closed)} ({len(is_whole)} after the last "
        f"byte), {given_up} given up; {len(stops)} stops in "
        f"{stops[0] if stops else 0} to {stops[-1] if stops else 0} ms"
    )


def _how_cut(sent) -> str:
    return f"cut after {sent.ended_ms - sent.began_ms} ms of its body"
