"""Catalog of numbered log events, written by eliot as JSON, one per line.

Every event is declared here once. ``docs/events.md`` is generated from these
declarations, and a test compares the two.
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
    """Declaration of one type of log line.

    Attributes
    ----------
    number
        Unique number, never reused: 1xxx for all programs, 2xxx for control
        replicas, 3xxx for entries, 4xxx for upstream processes, 50xx for
        fleet nodes, 51xx for requests and upstreams in a fleet and 52xx for
        engine orders and placement in a fleet.
    name
        Dotted name, written as ``message_type``.
    summary
        What happened and, where it helps, what an operator should check.
    """

    number: int
    name: str
    summary: str


EVENTS_BY_NAME: dict[str, Event] = {}


def _declare(number: int, name: str, summary: str) -> Event:
    event = Event(number, name, summary)
    EVENTS_BY_NAME[name] = event
    return event


STARTED = _declare(
    1001,
    "program.started",
    "The program has started and accepts work.",
)
STOPPING = _declare(
    1002,
    "program.stopping",
    "A stop signal was received. Work in progress is completed before the "
    "program exits.",
)
STOPPED = _declare(
    1003,
    "program.stopped",
    "The program stopped as requested and exits with code 0.",
)
TASK_FAILED = _declare(
    1004,
    "task.failed",
    "A task ended with an unexpected exception, so the program exits. "
    "Report the `reason` as a defect.",
)
FRAME_DROPPED = _declare(
    1005,
    "frame.dropped",
    "A received message could not be decoded and was dropped. Check that "
    "all processes run compatible versions.",
)
PROFILE = _declare(
    1006,
    "program.profile",
    "The functions that took the most processor time since the last such "
    "line. Written only if profiling was requested by a flag.",
)
CONNECTION_ENDED = _declare(
    1007,
    "connection.ended",
    "A connection ended while the program was stopping. `state` says what it "
    "was doing and `reason` why it ended. A `state` other than `idle` and "
    "`closing` with the reason `grace_over` is a request without an answer: "
    "check whether `grace_ms` suits the requests.",
)
GRACE_OVER = _declare(
    1008,
    "program.grace_over",
    "The time for a planned stop, `grace_ms`, is almost over, and work is "
    "left. It is ended, with answers that say so, and the program exits.",
)
REQUEST_MALFORMED = _declare(
    1009,
    "request.malformed",
    "A request could not be read as HTTP and got `status`; `reason` names the "
    "kind of fault. Its text is not logged, since it may hold a secret.",
)
CLIENT_ENDED = _declare(
    1010,
    "client.ended",
    "A client's connection, or the reading of its request, was ended. The "
    "`reason` `memory` means that memory for clients ran short and this one, "
    "which held `held_bytes`, made no progress; the others that it took too "
    "long. A few are logged at a time; `client_refusals_total` counts all.",
)
ROLE_CHANGED = _declare(
    2001,
    "control.role",
    "The role, term or known leader of a control replica changed. If this "
    "recurs, check the network between the replicas and their load.",
)
LOG_TAIL_TRUNCATED = _declare(
    2002,
    "control.tail_cut",
    "An incomplete record at the end of the log, usually from a crash "
    "during a write, was truncated at startup. It was never acknowledged; "
    "no action is needed.",
)
RECOVERING = _declare(
    2003,
    "control.recovering",
    "The data folder was not formatted when the cluster was created. The "
    "replica votes only after a majority has readmitted this folder.",
)
TABLES_ACCEPTED = _declare(
    2004,
    "control.tables_accepted",
    "Submitted tables were committed and are in force.",
)
TABLES_REFUSED = _declare(
    2005,
    "control.tables_refused",
    "Submitted tables were rejected, because they are invalid or based on "
    "an outdated version. The previous tables stay in force.",
)
UPSTREAM_JOINED = _declare(
    2006,
    "control.upstream_joined",
    "An upstream registered with the control replicas.",
)
UPSTREAM_REMOVED = _declare(
    2007,
    "control.upstream_removed",
    "An upstream was removed, because its heartbeats stopped or it left.",
)
REPLICAS_PLACED = _declare(
    2008,
    "control.replicas_placed",
    "The set of models placed on an upstream was changed.",
)
REPLICA_READMITTED = _declare(
    2009,
    "control.replica_readmitted",
    "A control replica with a new data folder was readmitted and may vote.",
)
SNAPSHOT_TAKEN = _declare(
    2010,
    "control.snapshot",
    "A snapshot of the control state was written, and older log entries "
    "were discarded.",
)
FRESHNESS_CHANGED = _declare(
    3001,
    "view.freshness",
    "The lease on the view was acquired or expired (`fresh`). While it is "
    "expired, routes with `when_stale: refuse` reject requests; check the "
    "connection to the control replicas.",
)
CALL_ENDED = _declare(
    3002,
    "call.ended",
    "A request failed. `code` gives the reason and `outcome` says whether "
    "the request may have run.",
)
LINK_LOST = _declare(
    3003,
    "link.lost",
    "The connection to an upstream process was lost, or could not be opened"
    " (`opened` is false).",
)
ENGINE_FOUND = _declare(
    4001,
    "engine.found",
    "The engine responds and has reported its resident models.",
)
ENGINE_LOST = _declare(
    4002,
    "engine.lost",
    "The engine stopped responding, and the upstream refuses requests until"
    " it responds again. Check the engine's process.",
)
ORDER_SENT = _declare(
    4003,
    "order.sent",
    "An order to load or unload a model was sent to the engine.",
)
ORDER_ENDED = _declare(
    4004,
    "order.ended",
    "The engine confirmed or refused an order, or did not answer it "
    "(`outcome`).",
)
STREAM_RESUMED = _declare(
    4005,
    "stream.resumed",
    "The stream of an answer broke, and reading resumed at the engine after"
    " the last event received. The request is not run again.",
)
ENGINE_ANSWER_FOREIGN = _declare(
    4006,
    "engine.answer_foreign",
    "The engine sent an answer that belongs to another attempt. It was not "
    "forwarded, the connection was closed and the attempt's outcome is "
    "unknown. Check the engine.",
)
ENGINE_PAUSED = _declare(
    4009,
    "engine.paused",
    "The engine answered the attempt with 429 or 503 and `Retry-After` "
    "(`status`), so it receives no requests for `pause_ms`. `refused` counts "
    "the queued requests that cannot begin in time and were refused. If it "
    "recurs, the engine is overloaded.",
)
ENGINE_RETURNED = _declare(
    4010,
    "engine.returned",
    "The pause of the engine ended, because its time elapsed or because the "
    "engine restarted (`restarted`). Requests return step by step. `refused` "
    "counts the attempts that were refused because of the pause.",
)
ANSWER_EXCESSIVE = _declare(
    4008,
    "answer.excessive",
    "An upstream sent more informational responses, bytes of a head or bytes "
    "of framing (`part`) than an answer can need. The connection was closed "
    "and the attempt failed. Check the upstream.",
)
ANSWER_MALFORMED = _declare(
    4011,
    "answer.malformed",
    "The head of an upstream's answer breaks the HTTP protocol in its status, "
    "reason phrase, header names or values (`part`). Nothing of it was "
    "forwarded, the connection was closed and the attempt failed. Check the "
    "upstream.",
)
RUN_FAILED = _declare(
    4007,
    "run.failed",
    "An unexpected exception ended one run; its outcome is unknown and other "
    "runs go on. Report the `reason` as a defect.",
)
REGISTER_LEADER = _declare(
    5001,
    "register.leader",
    "The node became leader, lost leadership or learned of another leader.",
)
ROSTER_CHANGED = _declare(
    5002,
    "register.roster",
    "The set of nodes heard recently, or the leader, changed. The line also"
    " lists the voters.",
)
STORE_WRITE_FAILED = _declare(
    5003,
    "store.refused",
    "A write to the files of the register, of the list of suspects or of a "
    "control replica failed and is retried. The process sends no messages "
    "about the register or the replica until a write succeeds; check the "
    "disk.",
)
DOCUMENT_IN_FORCE = _declare(
    5004,
    "document.in_force",
    "A version of the document is now in force on this node. `digest` tells "
    "documents of one version apart, and `record` is the term and sequence "
    "number of the record that committed it.",
)
DOCUMENT_SUBMITTED = _declare(
    5005,
    "document.submitted",
    "An operator submitted a document. `outcome` is accepted, redirected "
    "(to the leader) or unknown; after unknown, read the document before "
    "submitting it again.",
)
OPERATOR_CALL_MALFORMED = _declare(
    5006,
    "operator.unreadable",
    "An operator's call was malformed and was rejected; `reason` says why.",
)
READINESS_CHANGED = _declare(
    5007,
    "node.readiness",
    "The node's readiness for new connections changed (`ready`).",
)
SETTINGS_RELOADED = _declare(
    5008,
    "node.reloaded",
    "The settings were reloaded. Only a change of a node's `seeds` takes "
    "effect without a restart.",
)
SETTINGS_UNREADABLE = _declare(
    5009,
    "node.settings_unreadable",
    "The settings file could not be read or is invalid, and the previous "
    "settings stay in use. Correct what `reason` names.",
)
METRICS_UNAVAILABLE = _declare(
    5010,
    "node.metrics_unavailable",
    "The metrics address could not be bound, and the node runs without a "
    "metrics endpoint. Free the address and restart the node.",
)
GATEWAY_MESSAGE_FAILED = _declare(
    5011,
    "gateway.message_failed",
    "An unexpected exception ended the handling of one message of the type "
    "`message`; its call, if any, failed with an unknown outcome and other "
    "calls go on. Report the `reason` as a defect.",
)
UPSTREAM_ANNOUNCED = _declare(
    5101,
    "upstream.seen",
    "An upstream announced itself for the first time, after a restart or "
    "after it had left.",
)
UPSTREAM_LEAVING = _declare(
    5102,
    "upstream.leaving",
    "An upstream drains and gets no new requests, or has left. `source` says "
    "whether an announcement or an answer said so.",
)
CALL_PLACED = _declare(
    5103,
    "call.placed",
    "A request was assigned to an upstream. The fields give the inputs of "
    "the choice. `fingerprint` is the same for a request that is sent again "
    "under another id.",
)
CALL_ATTEMPT = _declare(
    5104,
    "call.attempt",
    "An attempt to run a request at an upstream ended (`end`). `parts` names "
    "the parts of its prompt that other requests may share. "
    "`longest_gap_ms` is the longest pause of its stream, `predicted_gap_ms` "
    "what was predicted when it was sent, and `gap_target_ms` the objective.",
)
CALL_REFUSED = _declare(
    5105,
    "call.refused",
    "A request was refused without being run; `reason` says why. With "
    "`unknown_key`, `cause` says what was wrong with its key, and "
    "`key_digest` names the key. With "
    "`usage_limit`, it needed `usage_needed` of the limit of its `workspace`; "
    "this node held `usage_held` and, for times without a leader, "
    "`usage_reserve`, its calls use `usage_demand_per_s`, and a leader last "
    "answered `usage_answered_ms_ago`.",
)
CALL_FAILED = _declare(
    5106,
    "call.failed",
    "A request that may have run has no complete answer. Its outcome is "
    "unknown.",
)
CALL_ABANDONED = _declare(
    5107,
    "call.left",
    "A client closed its connection before its answer was complete.",
)
ANSWER_UNMATCHED = _declare(
    5108,
    "answer.unmatched",
    "An upstream's answer does not carry the id of the request that was sent, "
    "so it may belong to another one. It was discarded, the connection was "
    "closed and the attempt's outcome is unknown.",
)
RELAY_FAILED = _declare(
    5147,
    "relay.failed",
    "An unexpected exception ended one attempt while its answer was relayed. "
    "The call ended, and the client's connection was closed if the answer had "
    "begun. Report the `reason` as a defect.",
)
LOSS_CONFIRMED = _declare(
    5109,
    "request.loss_confirmed",
    "An upstream ended while it ran a request, or soon after. `losses` counts "
    "the ends under the same content or part (`fingerprint`, `kind`) that "
    "followed one another; `sign` is `silent` if the upstream only sends no "
    "heartbeats.",
)
QUARANTINE_CHANGED = _declare(
    5110,
    "quarantine.changed",
    "A suspect, named by its `fingerprint`, entered another `state`. It is "
    "the content of a request, or a part of prompts (`kind`). Requests with a "
    "`restricted` one run one attempt at a time in the whole fleet, those "
    "with a `quarantined` one are refused for `remaining_ms`, those with an "
    "`observed` or `cleared` one run freely. `upstreams` ended, or may have "
    "ended, under it. Check who sends a quarantined content or part, or lift "
    "the quarantine.",
)
CALL_RECALLED = _declare(
    5111,
    "call.recalled",
    "An attempt was ended before its answer began, because an upstream ended "
    "under a part of its prompt (`parts`). Its outcome is unknown.",
)
CALL_RETRIED = _declare(
    5120,
    "call.retry",
    "A request is sent once more, after an attempt at `upstream` ended with "
    "`after`. The node had `spent` retries of the service's budget in "
    "`window_ms`, of `earned` by requests and a `share` of the slack, as one "
    "of `fleet_size` nodes; its process started at `started_ms`. The retry "
    "counts toward the budget if it is `counted`: the request may have "
    "arrived before.",
)
CALL_RETRY_REFUSED = _declare(
    5121,
    "call.retry_refused",
    "A request is not sent once more; `reason` says why: `budget` (the "
    "service's retry budget is spent), `attempts`, `deadline`, "
    "`not_repeatable` or `deadly_part`. The other fields are those of "
    "`call.retry`.",
)
RETRY_SHARE_CHANGED = _declare(
    5122,
    "retry.share_changed",
    "This node's `share` of the slack of the retry budgets changed, in "
    "retries for each service and window. It is one of `fleet_size` nodes, "
    "as the `leader` counts them, and has been counted for `counted_ms`. In "
    "all states but `granted` it retries only as often as its own requests "
    "allow: `waiting` (it joined or restarted), `expired` or `none` (it "
    "holds no lease; check whether there is a leader that it reaches).",
)
ENGINE_MEMORY_AWAITED = _declare(
    5123,
    "engine.memory_awaited",
    "A request waits for memory at the engine `upstream`, or goes to another: "
    "the claim on it, which took `took_ms`, was not granted. The `reason` is "
    "`full` (the requests of all nodes fill what claims may have), `unknown` "
    "(another node may order the engine) or `silent` (no answer came). With "
    "the last two, this node relies on the reports of the others for a "
    "second. Its requests without a claim occupy `unclaimed_tokens` there, of "
    "an equal part for each of `fleet_size` nodes.",
)
UPSTREAM_PAUSED = _declare(
    5130,
    "upstream.paused",
    "An upstream turned away a request (`request_id`; empty for an order or a "
    "report) with status 503 and asked for a pause of `pause_ms`. This node "
    "sends it nothing for `remaining_ms`. `is_extension` says that it already "
    "paused, `is_taken_over` that it has just started and may have sent the "
    "answer that was taken for one of its predecessor.",
)
UPSTREAM_RETURNED = _declare(
    5131,
    "upstream.returned",
    "An upstream has served the calls that it received one by one after a "
    "pause, which ended `after_ms` ago. Their number is no longer limited.",
)
CALL_WITHHELD = _declare(
    5132,
    "call.withheld",
    "A request was not sent after all: its upstream asked for a pause, or "
    "another process took its place, before the connection was available, or "
    "it is a retry, or charged to a usage limit, and waited too long for the "
    "connection, or a document took away or moved its key. Where it is sent "
    "is decided anew.",
)
CALL_JUDGED_ANEW = _declare(
    5140,
    "call.judged_anew",
    "A new `document` gives the key of a waiting request to another "
    "`workspace`, or no longer admits it. If `is_admitted` is false, the "
    "request is not sent (again); `workspace` is then the former one.",
)
USAGE_REFUSED = _declare(
    5145,
    "usage.refused",
    "The leader refused credit to calls at a `node` that the usage limit of "
    "their `workspace` does not cover. They `needed` an amount, and `granted` "
    "was issued. The bucket holds `level` of at most `depth` and fills by "
    "`rate` a second since this node became the leader, `led_ms` ago; "
    "`recently_refused` is what was refused in about the last second. The "
    "callers may return in `retry_after_ms`.",
)
USAGE_UNANSWERED = _declare(
    5146,
    "usage.unanswered",
    "The leader has not answered this node's ask for usage credit, made "
    "`asked_ms_ago`, after a last answer `answered_ms_ago`. Calls are charged "
    "to the `reserve` of their workspace and wait when it is spent; `waiting` "
    "do. Check whether there is a leader that this node reaches.",
)
HOLDERS_CHANGED = _declare(
    5204,
    "holders.changed",
    "The nodes that order engines changed. A node waits for the order lease "
    "before it orders an engine that another node held.",
)
FLEET_ORDER_SENT = _declare(
    5201,
    "order.sent_to_engine",
    "A holder or an agent sent an order to load or unload a model.",
)
PLACEMENT_PLANNED = _declare(
    5203,
    "placement.planned",
    "The leader planned to load a model on an upstream, in place of the "
    "models in `instead_of`.",
)
FLEET_ORDER_ANSWERED = _declare(
    5202,
    "order.answered",
    "An engine answered an order, or did not answer in time (`answer` is "
    "none).",
)


def trace(name: str, fields: dict) -> None:
    """Write one log line that explains a decision.

    Parameters
    ----------
    name
        Name of a declared event.
    fields
        Inputs and outcome of the decision, as JSON values.

    Raises
    ------
    KeyError
        When no event of this name is declared.
    """
    emit(EVENTS_BY_NAME[name], **fields)


def emit(event: Event, **fields) -> None:
    """Write one log line.

    Parameters
    ----------
    event
        Declared event.
    **fields
        Fields of the line, as JSON values. The name of a duration or size
        ends in its unit.
    """
    eliot.log_message(event.name, number=event.number, **fields)


def start_bounded_logging(program: str, name: str) -> bounded_log.BoundedLog:
    """Send log lines to standard output, limited in rate and never blocking.

    Parameters
    ----------
    program
        Name of the program, added to every line.
    name
        Name of the running instance, added to every line as ``instance``.

    Returns
    -------
    BoundedLog
        State of the output, with the number of dropped lines.
    """
    fd = sys.stdout.fileno()
    os.set_blocking(fd, False)
    log = bounded_log.BoundedLog(fd)
    eliot.add_destinations(lambda message: bounded_log.write(log, message))
    eliot.add_global_fields(program=program, instance=name)
    return log


def start_logging(program: str, name: str, path: str = "") -> None:
    """Send log lines to standard error or to a file.

    Parameters
    ----------
    program
        Name of the program, added to every line.
    name
        Name of the running instance, added to every line as ``instance``.
    path
        File to append to; empty for standard error.
    """
    stream = open(path, "a", encoding="utf-8") if path else sys.stderr  # noqa: SIM115
    eliot.to_file(stream)
    eliot.add_global_fields(program=program, instance=name)


def render_reference() -> str:
    """Render the reference page of all events.

    Returns
    -------
    str
        Content of ``docs/events.md``, in Markdown.
    """
    rows = sorted(EVENTS_BY_NAME.values(), key=lambda event: event.number)
    lines = (f"| {e.number} | `{e.name}` | {e.summary} |" for e in rows)
    head = (
        "# Log events\n\nEvery log line is one JSON object with `number`, "
        "`message_type`, `program`, `instance` and `timestamp`.\n\n"
        "| number | name | meaning |\n| --- | --- | --- |\n"
    )
    return head + "\n".join(lines) + "\n"
