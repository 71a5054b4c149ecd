"""Messages between control replicas and the followers of the view."""

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
    "WholeView",
]


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamReport:
    """What an upstream process tells control about itself.

    Attributes
    ----------
    upstream
        The upstream as announced.
    resident
        Replicas confirmed resident, in order of their models.
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
        The sender's clock, echoed in the answer.
    index
        Log index of the sender's view; -1 while it has none.
    report
        Sent when it changed or control asked for it; None else.
    busy
        Requests running or waiting here, by model; zeros left out.
    """

    sender: str
    sent_ms: int
    index: int
    report: UpstreamReport | None = None
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Delta:
    """Entries that bring a follower's view forward.

    Attributes
    ----------
    after_index
        The view must be at this index or later for the entries to apply.
    entries
        In order; possibly none.
    heartbeat_sent_ms
        Echo of the beat that is answered; -1 on a push. An answered beat
        means that nothing committed before it is missing.
    want_report
        Whether the next beat should carry the report.
    """

    sender: str
    after_index: int
    entries: tuple[control_state.Entry, ...]
    heartbeat_sent_ms: int = -1
    want_report: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class WholeView:
    """The view itself, for followers too far behind for a delta.

    It says nothing of any one follower, so that one encoding serves all; a
    `Delta` that answers the follower's beat comes after it.
    """

    sender: str
    view: views.View


@dataclasses.dataclass(slots=True, frozen=True)
class Digest:
    """Heartbeats gathered by a replica, passed to the leader.

    Attributes
    ----------
    alive
        Upstreams that sent a beat since the last digest.
    reports
        Reports that changed or are new to this leader.
    busy
        Sum of the followers' busy requests, by model.
    """

    sender: str
    alive: tuple[str, ...]
    reports: tuple[UpstreamReport, ...]
    busy: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class CommandRequest:
    """A command that a process wants committed."""

    sender: str
    command_id: str
    command: object


@dataclasses.dataclass(slots=True, frozen=True)
class CommandReply:
    """The result of an `CommandRequest`, one of `commands`."""

    command_id: str
    result: object
