"""Count repeated requests and requests to pausing engines.

Times are in milliseconds. Windows include their start and exclude their end.
"""

import bisect
import collections
import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from bilberryramp.soak import observations

__all__ = [
    "LEAD_MS",
    "MAX_IN_PAUSE",
    "Limits",
    "Window",
    "arrivals_by_pair",
    "count_in_pause",
    "find_repeats",
    "join_pauses",
    "pauses_by_pair",
    "whole_pause",
    "worst_window",
]

# Requests that reach an engine this soon after it asked for a pause are not
# counted, and this number of later ones is allowed in a pause. The platform's
# rules state them.
LEAD_MS = 500
MAX_IN_PAUSE = 2


@dataclasses.dataclass(slots=True, frozen=True)
class Limits:
    """Limits of the repeats that a service may get from all nodes.

    Attributes
    ----------
    ratio
        Repeats allowed per request.
    slack
        Additional repeats per window.
    window_ms
        Length of the sliding window in milliseconds.
    """

    ratio: float
    slack: float
    window_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Window:
    """Repeats in one position of the sliding window.

    Attributes
    ----------
    from_ms
        Start of the window.
    repeats
        Number of repeats in it.
    bound
        Number of repeats allowed in it.
    """

    from_ms: int
    repeats: int
    bound: float


def find_repeats(arrivals: Iterable[tuple[str, int]]) -> Iterator[int]:
    """Find the arrivals beyond the first one of each request.

    Parameters
    ----------
    arrivals
        Pairs of the id of a request and the time at which it reached any
        engine of a service, in order of time.

    Yields
    ------
    int
        Times of the further arrivals, in order.
    """
    seen: set[str] = set()
    for request_id, at_ms in arrivals:
        if request_id in seen:
            yield at_ms
        seen.add(request_id)


def worst_window(
    sent_ms: Sequence[int], repeats_ms: Sequence[int], limits: Limits
) -> Window | None:
    """Find the window in which repeats exceed their bound by most.

    The bound depends on the number of requests in the window itself, in the
    one before it or in the one half a window before it, whichever is highest.

    Parameters
    ----------
    sent_ms
        Times at which callers sent requests for the service, in order.
    repeats_ms
        Times of the arrivals beyond the first of each request, in order.
    limits
        Limits of the service.

    Returns
    -------
    Window or None
        First of the worst windows over all starts in whole milliseconds;
        None without repeats.
    """
    if not repeats_ms:
        return None
    starts = range(repeats_ms[0] - limits.window_ms + 1, repeats_ms[-1] + 1)
    windows = (
        _window(sent_ms, repeats_ms, limits, start_ms) for start_ms in starts
    )
    return max(windows, key=lambda w: w.repeats - w.bound)


def _window(sent_ms, repeats_ms, limits: Limits, from_ms: int) -> Window:
    length_ms = limits.window_ms
    requests = max(
        _count(sent_ms, from_ms - earlier_ms, from_ms - earlier_ms + length_ms)
        for earlier_ms in (0, length_ms // 2, length_ms)
    )
    return Window(
        from_ms,
        _count(repeats_ms, from_ms, from_ms + length_ms),
        limits.ratio * requests + limits.slack,
    )


def _count(times_ms: Sequence[int], from_ms: int, to_ms: int) -> int:
    """Return how many of the times, which are in order, are in a window."""
    first = bisect.bisect_left(times_ms, from_ms)
    return bisect.bisect_left(times_ms, to_ms) - first


def join_pauses(
    pauses: Sequence[tuple[int, int]],
) -> Iterator[list[tuple[int, int]]]:
    """Join pauses of which a later answer extends an earlier one.

    Parameters
    ----------
    pauses
        Times at which an engine gave answers to a node that ask for a pause,
        and the ends of these pauses, in order of the answers.

    Yields
    ------
    list
        Pauses that follow each other without a gap.
    """
    joined: list[tuple[int, int]] = []
    for pause in pauses:
        if joined and pause[0] >= max(to_ms for _, to_ms in joined):
            yield joined
            joined = []
        joined.append(pause)
    if joined:
        yield joined


def whole_pause(joined: Sequence[tuple[int, int]]) -> tuple[int, int]:
    """Return the first answer and the last end of joined pauses."""
    return joined[0][0], max(to_ms for _, to_ms in joined)


def count_in_pause(pause: tuple[int, int], arrivals_ms: Sequence[int]) -> int:
    """Count the requests in a pause that an engine asked a node for.

    Parameters
    ----------
    pause
        Time of the answer that asks for the pause, and its end.
    arrivals_ms
        Times at which requests of the node reached the engine, in order.

    Returns
    -------
    int
        Number of requests from `LEAD_MS` after the answer until the end.
    """
    from_ms, to_ms = pause
    return max(_count(arrivals_ms, from_ms + LEAD_MS, to_ms), 0)


def pauses_by_pair(
    history: observations.History,
) -> dict[tuple[str, str], list[tuple[int, int]]]:
    """Return the pauses that engines asked nodes for.

    Parameters
    ----------
    history
        Observations of a soak.

    Returns
    -------
    dict
        Start and end of each pause, in order, by node and id of the engine.
    """
    pauses = collections.defaultdict(list)
    nodes = _nodes(history)
    for pause in history.of_class(observations.PauseRequested):
        if pause.pause_ms and pause.request_id in nodes:
            span = pause.at_ms, pause.at_ms + pause.pause_ms
            pair = nodes[pause.request_id], pause.upstream_id
            pauses[pair].append(span)
    return dict(pauses)


def arrivals_by_pair(
    history: observations.History,
) -> dict[tuple[str, str], list[int]]:
    """Return the times at which requests of nodes reached engines.

    Parameters
    ----------
    history
        Observations of a soak.

    Returns
    -------
    dict
        Times in order, by node and id of the engine.
    """
    arrivals = collections.defaultdict(list)
    nodes = _nodes(history)
    for arrival in history.of_class(observations.RequestArrived):
        if arrival.request_id in nodes:
            pair = nodes[arrival.request_id], arrival.upstream_id
            arrivals[pair].append(arrival.at_ms)
    return dict(arrivals)


def _nodes(history: observations.History) -> dict[str, str]:
    """Return the node of each request. No id is sent to two nodes."""
    return {
        s.request_id: s.node
        for s in history.of_class(observations.RequestSent)
    }
