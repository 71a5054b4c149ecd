"""Timeline of one request, assembled from the logs of several processes."""

import json
from collections.abc import Iterable, Iterator

__all__ = ["read_events", "format_timeline"]

# Fields left out of a timeline's details: they are on every line, and the
# useful ones are shown separately.
_COMMON_FIELDS = {
    "number",
    "timestamp",
    "task_uuid",
    "task_level",
    "message_type",
    "program",
    "instance",
    "request_id",
}
# Events that report how a request, or one attempt at it, ended.
_OUTCOME_EVENTS = ("call.attempt", "call.refused", "call.failed", "call.left")
# Events that report where a request was placed, or that it never was.
_START_EVENTS = ("call.placed", "call.refused")


def read_events(lines: Iterable[str], request_id: str) -> Iterator[dict]:
    """Read the events of one request from log lines.

    Parameters
    ----------
    lines
        Lines of one or more logs. Text before the JSON object of a line,
        such as a collector's timestamp, is ignored, and so are lines without
        a valid JSON object.
    request_id
        Identifier of the request.

    Yields
    ------
    dict
        Decoded events of the request, in the order of the lines.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # The line is truncated, for example by a full pipe.
            continue
        if event.get("request_id") == request_id:
            yield event


def format_timeline(events: Iterable[dict]) -> Iterator[str]:
    """Format the events of one request as the lines of a timeline.

    Parameters
    ----------
    events
        Events of the request, as read by `read_events`, in any order.

    Yields
    ------
    str
        One line per event in order of time, with the milliseconds since the
        first event; then one line for each stage, placement and outcome, that
        no event reports.
    """
    ordered = sorted(events, key=lambda event: event["timestamp"])
    if not ordered:
        yield "no line has this request ID: its node's log was not given,"
        yield "or its lines were dropped (see lines_dropped_before)"
        return
    first = ordered[0]["timestamp"]
    for event in ordered:
        offset_ms = round(1000 * (event["timestamp"] - first))
        fields = " ".join(
            f"{name}={value}"
            for name, value in event.items()
            if name not in _COMMON_FIELDS
        )
        source = event.get("instance", "?")
        yield f"{offset_ms:>7} ms  {source}  {event['message_type']}  {fields}"
    names = [event["message_type"] for event in ordered]
    if not any(name in _START_EVENTS for name in names):
        yield "missing: placement or refusal of the request"
    if not any(name in _OUTCOME_EVENTS for name in names):
        yield "missing: outcome of the request"
