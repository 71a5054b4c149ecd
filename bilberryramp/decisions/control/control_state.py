"""The deterministic state machine behind control's replicated log."""

import dataclasses

from bilberryramp.decisions.control import idempotency, placement, quarantine
from bilberryramp.decisions.shared import commands, tables, views

__all__ = [
    "MAX_SUBMISSIONS",
    "ControlState",
    "Entry",
    "apply",
    "apply_to_view",
    "changes_view",
]

MAX_SUBMISSIONS = 10_000


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """One entry of the replicated log; `command` is of `commands`."""

    term: int
    index: int
    command: object


@dataclasses.dataclass(slots=True)
class ControlState:
    """Everything the log builds up.

    Attributes
    ----------
    view
        The part that every process follows.
    keys
        Records of requests not to be repeated.
    submissions
        Accepted submissions by id, oldest first, for resends.
    admitted
        The disk incarnation with which each control replica may vote.
    """

    view: views.View = dataclasses.field(default_factory=views.View)
    keys: idempotency.KeyTable = dataclasses.field(
        default_factory=idempotency.KeyTable
    )
    submissions: dict[str, commands.SubmitAccepted] = dataclasses.field(
        default_factory=dict
    )
    admitted: dict[str, str] = dataclasses.field(default_factory=dict)


def apply(state: ControlState, entry: Entry):
    """Apply a committed entry.

    Parameters
    ----------
    state
        Changed in place.
    entry
        The entry after the last one applied.

    Returns
    -------
    object
        The result for whoever proposed it, one of `commands`.
    """
    command = entry.command
    result = commands.Done(entry.index)
    if isinstance(command, commands.SubmitTables):
        result = _submit(state, entry)
    elif isinstance(command, commands.ReserveKey):
        result = idempotency.reserve(state.keys, entry.index, command)
    elif isinstance(command, commands.FinishKey):
        idempotency.finish(state.keys, command)
    elif isinstance(command, commands.ReleaseKey):
        idempotency.release(state.keys, command)
    elif isinstance(command, commands.ReadmitReplica):
        state.admitted[command.replica_id] = command.incarnation
    else:
        _change_view(state.view, entry)
    state.view.term, state.view.index = entry.term, entry.index
    return result


def changes_view(result, command) -> bool:
    """Tell whether followers of the view need an applied entry.

    Parameters
    ----------
    result
        What `apply` returned for it.
    command
        Its command.

    Returns
    -------
    bool
        False for idempotency records and refused submissions.
    """
    if isinstance(command, commands.SubmitTables):
        return isinstance(result, commands.SubmitAccepted)
    return isinstance(
        command,
        commands.JoinUpstream
        | commands.RemoveUpstream
        | commands.DrainUpstream
        | commands.PlaceReplicas
        | commands.ReportStrike,
    )


def apply_to_view(view: views.View, entry: Entry) -> bool:
    """Apply an entry from the feed to a follower's view.

    Parameters
    ----------
    view
        Changed in place.
    entry
        A committed entry for which `changes_view` holds; an accepted
        submission arrives as `ChangeTables`.

    Returns
    -------
    bool
        False when the view is already at or past the entry.
    """
    if entry.index <= view.index:
        return False
    command = entry.command
    if isinstance(command, commands.ChangeTables):
        merged = tables.apply_change(view.tables, command.change)
        _put_in_force(view, merged, command.submitter)
    else:
        _change_view(view, entry)
    view.term, view.index = entry.term, entry.index
    return True


def _submit(state: ControlState, entry: Entry):
    command = entry.command
    first = state.submissions.get(command.submission_id)
    if first is not None:
        return first
    view = state.view
    if command.base_version != view.version:
        return commands.SubmitConflict(view.version, view.submitted_by)
    problems = _problems(view, command.tables)
    if problems:
        return commands.SubmitRefused(problems)
    _put_in_force(view, command.tables, command.submitter)
    result = commands.SubmitAccepted(view.version, entry.term, entry.index)
    state.submissions[command.submission_id] = result
    if len(state.submissions) > MAX_SUBMISSIONS:
        del state.submissions[next(iter(state.submissions))]
    return result


def _put_in_force(view: views.View, wanted, submitter: str) -> None:
    view.tables = wanted
    view.version += 1
    view.submitted_by = submitter


def _problems(view, wanted: tables.Tables) -> tuple[tables.Problem, ...]:
    faults = tuple(tables.find_problems(wanted))
    if faults:
        return faults
    return tuple(
        tables.Problem(
            path=f"routes[{wanted.routes.index(short.route)}].memory_mib",
            seen=f"{short.accelerators} x {short.memory_mib} MiB",
            expected=(
                f"room on {short.route.service}, where one accelerator has "
                f"at most {short.free_mib} MiB free"
            ),
        )
        for short in placement.shortfalls(view, wanted)
    )


def _change_view(view: views.View, entry: Entry) -> None:
    command = entry.command
    if isinstance(command, commands.JoinUpstream):
        _join(view, entry.index, command.upstream)
    elif isinstance(command, commands.RemoveUpstream):
        _remove(view, command)
    elif isinstance(command, commands.DrainUpstream):
        _drain(view, command.upstream_id)
    elif isinstance(command, commands.PlaceReplicas):
        _place(view, entry.index, command)
    elif isinstance(command, commands.ReportStrike):
        quarantine.strike(view, command)


def _join(view: views.View, index: int, upstream: views.Upstream) -> None:
    """Take in an upstream; a new process gets a fence of its own."""
    upstream_id = upstream.upstream_id
    view.upstreams[upstream_id] = upstream
    placed = view.placements.get(upstream_id)
    if placed is not None:
        placed = views.Placement(index, placed.replicas)
        view.placements[upstream_id] = placed


def _remove(view: views.View, command: commands.RemoveUpstream) -> None:
    known = view.upstreams.get(command.upstream_id)
    if known is not None and known.incarnation == command.incarnation:
        del view.upstreams[command.upstream_id]
        view.placements.pop(command.upstream_id, None)


def _drain(view: views.View, upstream_id: str) -> None:
    known = view.upstreams.get(upstream_id)
    if known is not None:
        view.upstreams[upstream_id] = dataclasses.replace(known, leaving=True)


def _place(view: views.View, index: int, command) -> None:
    if command.upstream_id in view.upstreams:
        view.placements[command.upstream_id] = views.Placement(
            index, command.replicas
        )
