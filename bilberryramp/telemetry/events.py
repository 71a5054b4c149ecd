"""Numbered log events, written by eliot as one JSON object a line.

Every event is declared here once; ``docs/events.md`` is made from these
declarations and a test compares the two.
"""

import dataclasses
import os
import sys

import eliot

from bilberryramp.telemetry import bounded_log

__all__ = [
    "EVENTS_BY_NAME",
    "Event",
    "render_reference",
    "emit",
    "start_bounded_logging",
    "start_logging",
    "trace",
]


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """A kind of log line.

    Attributes
    ----------
    number
        Unique and never reused; 1xxx programs, 2xxx control, 3xxx entry,
        4xxx upstream process.
    name
        Short name with dots.
    meaning
        What happened and, where it helps, what to do.
    """

    number: int
    name: str
    summary: str


EVENTS_BY_NAME: dict[str, Event] = {}


def _declare(number: int, name: str, summary: str) -> Event:
    event = Event(number, name, summary)
    EVENTS_BY_NAME[name] = event
    return event


STARTED = _declare(1001, "program.started", "A program is up and listening.")
STOPPING = _declare(
    1002, "program.stopping", "A planned stop began; running work finishes."
)
STOPPED = _declare(1003, "program.stopped", "The program ends with success.")
TASK_FAILED = _declare(
    1004, "task.failed", "A task ended with a defect; the program exits."
)
FRAME_DROPPED = _declare(
    1005, "frame.dropped", "A frame could not be decoded and was dropped."
)
ROLE_CHANGED = _declare(
    2001, "control.role", "A control replica changed its role or leader."
)
LOG_TAIL_TRUNCATED = _declare(
    2002, "control.tail_cut", "An incomplete last log record was cut off."
)
RECOVERING = _declare(
    2003,
    "control.recovering",
    "The disk is new; the replica waits to be readmitted by a majority.",
)
TABLES_ACCEPTED = _declare(
    2004, "control.tables_accepted", "Submitted tables are in force."
)
TABLES_REFUSED = _declare(
    2005, "control.tables_refused", "Submitted tables were refused."
)
UPSTREAM_JOINED = _declare(
    2006, "control.upstream_joined", "An upstream announced itself."
)
UPSTREAM_REMOVED = _declare(
    2007, "control.upstream_removed", "An upstream fell silent or has left."
)
REPLICAS_PLACED = _declare(
    2008, "control.replicas_placed", "The models of an upstream were set."
)
REPLICA_READMITTED = _declare(
    2009, "control.replica_readmitted", "A replica's new disk may vote."
)
SNAPSHOT_TAKEN = _declare(
    2010, "control.snapshot", "A snapshot was written and the log cut."
)
FRESHNESS_CHANGED = _declare(
    3001, "view.freshness", "The lease on the view was gained or ran out."
)
CALL_ENDED = _declare(3002, "call.ended", "A caller's request is over.")
LINK_LOST = _declare(
    3003, "link.lost", "The connection to an upstream process broke."
)
ENGINE_FOUND = _declare(
    4001, "engine.found", "The engine answers and told what it holds."
)
ENGINE_LOST = _declare(4002, "engine.lost", "The engine does not answer.")
ORDER_SENT = _declare(4003, "order.sent", "An order went to the engine.")
ORDER_ENDED = _declare(
    4004, "order.ended", "An order was confirmed, refused or not answered."
)
STREAM_RESUMED = _declare(
    4005, "stream.resumed", "A broken answer is read on at the engine."
)
REGISTER_LEADER = _declare(
    5001, "register.leader", "A node gained or lost leadership, or found it."
)
ROSTER_CHANGED = _declare(
    5002, "register.roster", "The nodes heard lately or the voters changed."
)
STORE_WRITE_FAILED = _declare(
    5003,
    "store.refused",
    "A write to the store failed; the node says nothing until one succeeds.",
)
DOCUMENT_IN_FORCE = _declare(
    5004, "document.in_force", "A version of the document is in force here."
)
DOCUMENT_SUBMITTED = _declare(
    5005, "document.submitted", "An operator sent a document; its outcome."
)
OPERATOR_CALL_MALFORMED = _declare(
    5006, "operator.unreadable", "A call of an operator was not understood."
)
READINESS_CHANGED = _declare(
    5007, "node.readiness", "The node wants new connections, or not."
)
SETTINGS_RELOADED = _declare(
    5008, "node.reloaded", "Settings were read again."
)
SETTINGS_UNREADABLE = _declare(
    5009, "node.settings_unreadable", "Changed settings could not be read."
)
METRICS_UNAVAILABLE = _declare(
    5010, "node.metrics_unavailable", "The metrics address cannot be used."
)
UPSTREAM_ANNOUNCED = _declare(
    5101, "upstream.seen", "An upstream announced itself for the first time."
)
UPSTREAM_LEAVING = _declare(
    5102, "upstream.leaving", "An upstream drains or has left."
)
CALL_PLACED = _declare(
    5103, "call.placed", "A request goes to an upstream; why it was chosen."
)
CALL_ATTEMPT = _declare(
    5104, "call.attempt", "A request's attempt at an upstream ended."
)
CALL_REFUSED = _declare(
    5105, "call.refused", "A request was refused without being run."
)
CALL_FAILED = _declare(
    5106, "call.failed", "A request that may have run has no answer."
)
CALL_ABANDONED = _declare(
    5107, "call.left", "A client closed its connection before its answer."
)
FLEET_ORDER_SENT = _declare(
    5201, "order.sent_to_engine", "An agent gave an order to its engine."
)
PLACEMENT_PLANNED = _declare(
    5203, "placement.planned", "The leader wants a model at an engine, or not."
)
FLEET_ORDER_ANSWERED = _declare(
    5202, "order.answered", "An engine answered an order, or did not."
)


def trace(name: str, fields: dict) -> None:
    """Write one log line for a decision.

    Parameters
    ----------
    name
        The name of a declared event.
    fields
        The inputs that decided it, and the outcome.
    """
    emit(EVENTS_BY_NAME[name], **fields)


def emit(event: Event, **fields) -> None:
    """Write one log line.

    Parameters
    ----------
    event
        A declared event.
    **fields
        JSON values; durations and sizes carry their unit in the name.
    """
    eliot.log_message(event.name, number=event.number, **fields)


def start_bounded_logging(program: str, name: str) -> bounded_log.BoundedLog:
    """Send log lines to standard output, within a budget.

    Parameters
    ----------
    program, name
        Added to every line.

    Returns
    -------
    BoundedLog
        Counts the lines that were left out.
    """
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    log = bounded_log.BoundedLog(fd)
    eliot.add_destinations(lambda message: bounded_log.write(log, message))
    eliot.add_global_fields(program=program, instance=name)
    return log


def start_logging(program: str, name: str, path: str = "") -> None:
    """Send log lines to standard error, or to a file.

    Parameters
    ----------
    program, name
        Added to every line.
    path
        A file to append to; empty for standard error.
    """
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    eliot.to_file(stream)
    eliot.add_global_fields(program=program, instance=name)


def render_reference() -> str:
    """Render the catalogue for the docs.

    Returns
    -------
    str
        Markdown; ``docs/events.md`` holds exactly this.
    """
    rows = sorted(EVENTS_BY_NAME.values(), key=lambda event: event.number)
    lines = (f"| {e.number} | `{e.name}` | {e.summary} |" for e in rows)
    head = (
        "# Log events\n\nEvery log line is one JSON object with `number`, "
        "`message_type`, `program`, `instance` and `timestamp`.\n\n"
        "| number | name | meaning |\n| --- | --- | --- |\n"
    )
    return head + "\n".join(lines) + "\n"
