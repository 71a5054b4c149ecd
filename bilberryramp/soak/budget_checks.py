"""Checks of the limits of repeated requests and of pauses of engines.

The platform's rules state the limits.
"""

import collections
import itertools
from collections.abc import Iterator

from bilberryramp.soak import fault_periods, observations, repeats

__all__ = [
    "attempts_stay_within_limit",
    "deadlines_shrink",
    "other_engines_serve",
    "pauses_are_obeyed",
    "repeats_stay_within_budget",
    "worst_windows",
]

# Equal to the retry budget in the settings of the soak's nodes.
BUDGET = repeats.Limits(ratio=0.2, slack=60, window_ms=10_000)
# Number of requests that may run on more engines than their route allows.
MAX_EXCESSIVE_REQUESTS = 3
# Time by which a deadline may be exceeded, and after which a request counts as
# sent once more late. More requests than this number, and more than this share
# of those that are so late or handed too much, break the rule.
DEADLINE_SLACK_MS = 500
MAX_LONG_REQUESTS = 20
MAX_LONG_SHARE = 0.2
# Share of requests that may be refused or fail, and the number from which on
# it is judged.
MAX_FAILED_SHARE = 0.6
MIN_JUDGED_REQUESTS = 20
# Engines of this service need a model to serve, which a sound one may lack;
# its requests are streams.
MODEL_SERVICE = "svc-llm"
_Kind = observations.FaultKind
# Faults of an engine's link by which its answer may not reach the node.
ANSWER_LOSSES = frozenset({_Kind.RESET, _Kind.SILENT})
# Faults by which an engine ends or is cut off.
ENGINE_LOSSES = frozenset(
    {
        _Kind.ENGINE_CRASH,
        _Kind.ENGINE_DRAIN,
        _Kind.ENGINE_LEAVE,
        _Kind.RESET,
        _Kind.SILENT,
        _Kind.ONE_WAY,
    }
)


def pauses_are_obeyed(history: observations.History) -> Iterator[str]:
    """Check that an engine gets few requests while it wants a pause.

    Answers that extend a pause count both together and one by one. A restart,
    suspension or cut of the node excuses it. An answer that a fault of the
    engine's link may have kept from the node begins no pause.
    """
    faults = history.of_class(observations.Fault)
    arrivals = repeats.arrivals_by_pair(history)
    for pair, spans in repeats.pauses_by_pair(history).items():
        for joined in repeats.join_pauses(spans):
            for pause in (repeats.whole_pause(joined), *joined):
                count = repeats.count_in_pause(pause, arrivals.get(pair, ()))
                if count <= repeats.MAX_IN_PAUSE or _is_excused(
                    faults, pair, pause
                ):
                    continue
                yield (
                    f"{pair[1]} got {count} requests from {pair[0]} in a "
                    f"pause of {pause[1] - pause[0]} ms"
                )
                break


def _is_excused(faults, pair: tuple[str, str], pause) -> bool:
    """Return whether a node may not know of a pause of an engine."""
    node, upstream_id = pair
    from_ms, to_ms = pause
    return fault_periods.was_hit(
        faults,
        fault_periods.INTERRUPTIONS | fault_periods.CUTS,
        node,
        from_ms,
        to_ms,
    ) or fault_periods.was_hit(
        faults,
        ANSWER_LOSSES,
        _host(upstream_id),
        from_ms - repeats.LEAD_MS,
        from_ms + repeats.LEAD_MS,
    )


def worst_windows(
    history: observations.History,
) -> Iterator[tuple[str, repeats.Window]]:
    """Find the window with the most repeats beyond the budget, by service.

    Parameters
    ----------
    history
        Observations of a soak.

    Yields
    ------
    tuple
        Service and window, for each service with repeats.
    """
    services = {
        s.request_id: s.service
        for s in history.of_class(observations.RequestSent)
    }
    sent_ms = collections.defaultdict(list)
    for sent in history.of_class(observations.RequestSent):
        sent_ms[sent.service].append(sent.at_ms)
    arrivals = collections.defaultdict(list)
    for arrival in history.of_class(observations.RequestArrived):
        if arrival.request_id in services:
            arrivals[services[arrival.request_id]].append(
                (arrival.request_id, arrival.at_ms)
            )
    for service, pairs in arrivals.items():
        worst = repeats.worst_window(
            sent_ms[service], list(repeats.find_repeats(pairs)), BUDGET
        )
        if worst is not None:
            yield service, worst


def repeats_stay_within_budget(
    history: observations.History,
) -> Iterator[str]:
    """Check the repeats at each service in every window, over all nodes."""
    for service, worst in worst_windows(history):
        if worst.repeats > worst.bound:
            yield (
                f"{service} got {worst.repeats} repeats in the window from "
                f"{worst.from_ms} ms, allowed are {worst.bound:.1f}"
            )


def attempts_stay_within_limit(
    history: observations.History,
) -> Iterator[str]:
    """Check that few requests run on more engines than their route allows.

    Engines that ended or were cut off between the first and the last run of
    the request do not count.
    """
    limits = {
        s.request_id: s.max_attempts
        for s in history.of_class(observations.RequestSent)
    }
    runs = collections.defaultdict(list)
    for run in history.of_class(observations.RunStarted):
        if run.request_id in limits:
            runs[run.request_id].append(run)
    excessive = [
        request_id
        for request_id, started in runs.items()
        if len({r.upstream_id for r in started}) > limits[request_id]
        and len(_remaining(history, started)) > limits[request_id]
    ]
    if len(excessive) > MAX_EXCESSIVE_REQUESTS:
        yield (
            f"{len(excessive)} requests ran on more engines than allowed: "
            f"{', '.join(excessive[:5])}"
        )


def _remaining(history, runs: list) -> set[str]:
    """Return the engines of runs that lasted until the last of the runs."""
    faults = history.of_class(observations.Fault)
    crashes = history.of_class(observations.EngineCrashed)
    first_ms, last_ms = runs[0].at_ms, runs[-1].at_ms
    engines = {run.upstream_id for run in runs}
    ended = {
        c.upstream_id for c in crashes if first_ms <= c.at_ms <= last_ms
    } | {
        upstream_id
        for upstream_id in engines
        if fault_periods.was_hit(
            faults, ENGINE_LOSSES, _host(upstream_id), first_ms, last_ms
        )
    }
    return engines - ended


def deadlines_shrink(history: observations.History) -> Iterator[str]:
    """Check that engines are not handed more time than callers allow.

    A request that is sent once more has what is left of its time. Streams are
    not checked, nor arrivals shortly after a fault of a node or link.
    """
    faults = history.of_class(observations.Fault)
    sent = {
        s.request_id: s
        for s in history.of_class(observations.RequestSent)
        if s.service != MODEL_SERVICE
    }
    firsts: dict[str, observations.RequestArrived] = {}
    too_long: set[str] = set()
    late: set[str] = set()
    for arrival in history.of_class(observations.RequestArrived):
        request = sent.get(arrival.request_id)
        if request is None:
            continue
        first = firsts.setdefault(arrival.request_id, arrival)
        if not fault_periods.is_fault_free(
            faults, arrival.at_ms - fault_periods.FAULT_FREE_MS, arrival.at_ms
        ):
            continue
        is_late = arrival.at_ms > first.at_ms + DEADLINE_SLACK_MS
        if is_late:
            late.add(arrival.request_id)
        if _is_too_long(request, first, arrival, is_late):
            too_long.add(arrival.request_id)
    limit = max(MAX_LONG_REQUESTS, MAX_LONG_SHARE * len(too_long | late))
    if len(too_long) > limit:
        yield (
            f"{len(too_long)} requests were handed more time than was left, "
            f"{len(late)} were sent once more late"
        )


def _is_too_long(request, first, arrival, is_late: bool) -> bool:
    if arrival.deadline_ms < 0:
        return True
    if arrival.deadline_ms > request.deadline_ms + DEADLINE_SLACK_MS:
        return True
    end_ms = max(
        first.at_ms + first.deadline_ms, request.at_ms + request.deadline_ms
    )
    return is_late and (
        arrival.at_ms + arrival.deadline_ms > end_ms + DEADLINE_SLACK_MS
    )


def other_engines_serve(history: observations.History) -> Iterator[str]:
    """Check that callers are served while a single engine pauses.

    Counted are the requests for a plain service during which exactly one of
    its engines paused, without any other fault.
    """
    sent = history.of_class(observations.RequestSent)
    services = {s.request_id: s.service for s in sent}
    spans = [
        (services[p.request_id], _host(p.upstream_id), p.at_ms, p.pause_ms)
        for p in history.of_class(observations.PauseRequested)
        if p.pause_ms and p.request_id in services
    ]
    answers = {
        a.request_id: a for a in history.of_class(observations.AnswerReceived)
    }
    disturbed = _disturbances(history)
    results = collections.defaultdict(list)
    for request in sent:
        answer = answers.get(request.request_id)
        if answer is None or request.service == MODEL_SERVICE:
            continue
        pausing = {
            host
            for service, host, from_ms, pause_ms in spans
            if service == request.service
            and from_ms < answer.at_ms
            and from_ms + pause_ms > request.at_ms
        }
        calm_ms = request.at_ms - fault_periods.FAULT_FREE_MS
        if len(pausing) == 1 and not any(
            from_ms < answer.at_ms and to_ms > calm_ms
            for from_ms, to_ms in disturbed
        ):
            results[request.service].append(answer.status == 200)
    for service, served in results.items():
        failed = served.count(False)
        if len(
            served
        ) >= MIN_JUDGED_REQUESTS and failed > MAX_FAILED_SHARE * len(served):
            yield (
                f"{failed} of {len(served)} requests for {service} were not "
                "served while one of its engines paused"
            )


def _disturbances(history) -> list[tuple[int, int]]:
    """Return the periods of faults other than pauses, and of crashes."""
    return list(
        itertools.chain(
            (
                (fault.from_ms, fault.to_ms)
                for fault in history.of_class(observations.Fault)
                if fault.kind is not _Kind.ENGINE_PAUSE
            ),
            (
                (crash.at_ms, crash.at_ms + 1)
                for crash in history.of_class(observations.EngineCrashed)
            ),
        )
    )


def _host(upstream_id: str) -> str:
    """Return the name of the host whose engine has an id."""
    return upstream_id.rpartition("-")[0]
