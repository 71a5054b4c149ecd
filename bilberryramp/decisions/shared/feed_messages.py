"""Messages between control replicas and the subscribers of the view.

The subscribers are the entry and upstream processes.
"""

import dataclasses

from bilberryramp.decisions.control import control_state
from bilberryramp.decisions.shared import views

__all__ = [
    "CommandRequest",
    "CommandReply",
    "Heartbeat",
    "Delta",
    "Digest",
    "UpstreamReport",
    "FullView",
]


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamReport:
    """The state of an upstream, reported to control by its process.

    Attributes
    ----------
    upstream
        The announcement of the upstream.
    resident
        Replicas that the engine has confirmed as resident, sorted by model.
    """

    upstream: views.Upstream
    resident: tuple[views.ReplicaPlace, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """A heartbeat of an entry or upstream process.

    Attributes
    ----------
    sender
        Name of the process.
    sent_ms
        Time of sending in milliseconds on the sender's clock, echoed in the
        answer.
    index
        Log index of the sender's view; -1 if it has no view yet.
    report
        The upstream's state if it changed or control requested it; None
        otherwise and for entries.
    busy
        Number of requests by model: in an entry those without an attempt
        in progress, in an upstream process those that run or wait. Models
        without requests are left out.
    """

    sender: str
    sent_ms: int
    index: int
    report: UpstreamReport | None = None
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Delta:
    """Log entries that update a subscriber's view.

    Attributes
    ----------
    sender
        Id of the control replica.
    after_index
        Lowest index of a view to which the entries can be applied.
    entries
        The entries in log order; may be empty.
    heartbeat_sent_ms
        `Heartbeat.sent_ms` of the heartbeat that the message answers; -1 if
        it answers none. After an answer the view includes every entry that
        was committed before the heartbeat was sent.
    want_report
        Whether the next heartbeat should include the report.
    """

    sender: str
    after_index: int
    entries: tuple[control_state.Entry, ...]
    heartbeat_sent_ms: int = -1
    want_report: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class FullView:
    """The complete view, for subscribers too far behind for a `Delta`.

    The message contains nothing specific to one subscriber, so that it is
    encoded once for all of them. The heartbeat is answered by the `Delta` that
    is sent after it.

    Attributes
    ----------
    sender
        Id of the control replica.
    view
        The control replica's view.
    """

    sender: str
    view: views.View


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """Summary of the heartbeats that a replica received, for the leader.

    Attributes
    ----------
    sender
        Id of the control replica.
    alive
        Ids of the upstreams that sent a heartbeat since the last digest.
    reports
        Reports that changed or that this leader has not received yet.
    busy
        Sum of the subscribers' `Heartbeat.busy`, by model.
    """

    sender: str
    alive: tuple[str, ...]
    reports: tuple[UpstreamReport, ...]
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class CommandRequest:
    """Request of a process to commit a command.

    Attributes
    ----------
    sender
        Name of the process.
    command_id
        Identifies the command, repeated in the reply.
    command
        One of the commands in `commands`.
    """

    sender: str
    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class CommandReply:
    """The reply to a `CommandRequest`.

    Attributes
    ----------
    command_id
        Id of the command.
    result
        One of the results in `commands`.
    """

    command_id: str
    result: object
