"""Tells the story of one request from the logs of several processes."""

import json
from collections.abc import Iterable, Iterator

__all__ = ["read_events", "format_timeline"]

# Fields that every line has and that tell nothing about the request.
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
# The events that say how a request left its entry.
_OUTCOME_EVENTS = ("call.attempt", "call.refused", "call.failed", "call.left")
_START_EVENTS = ("call.placed", "call.refused")


def read_events(lines: Iterable[str], request_id: str) -> Iterator[dict]:
    """Pick the events of one request.

    Parameters
    ----------
    lines
        Of one or more logs; anything before the JSON of a line, such as a
        time that a collector adds, is passed over.
    request_id
        The request.

    Yields
    ------
    dict
        Decoded events, in the order of the lines.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            # A line that a full pipe cut off.
            continue
        if event.get("request_id") == request_id:
            yield event


def format_timeline(events: Iterable[dict]) -> Iterator[str]:
    """Tell what happened to a request.

    Parameters
    ----------
    events
        From `read_events`.

    Yields
    ------
    str
        A line for each event in order of time, then what is missing.
    """
    ordered = sorted(events, key=lambda event: event["timestamp"])
    if not ordered:
        yield "no line names this request: it reached no entry whose log"
        yield "is given, or its lines were left out (lines_dropped_before)"
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
        yield "missing: where it was placed, or why it was refused"
    if not any(name in _OUTCOME_EVENTS for name in names):
        yield "missing: how it ended"
