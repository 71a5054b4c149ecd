"""Deterministic state machine that applies control's replicated log."""

import dataclasses

from bilberryramp.decisions.control import idempotency, placement, quarantine
from bilberryramp.decisions.shared import charting, commands, tables, views

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
    """An entry of the replicated log.

    Attributes
    ----------
    term
        Election term of the leader that created the entry.
    index
        Position in the log; the first entry has index 1.
    command
        Instance of a command class of the module `commands`.
    """

    term: int
    index: int
    command: object


@dataclasses.dataclass(slots=True)
class ControlState:
    """State that results from applying the log's entries in order.

    Attributes
    ----------
    view
        The part of the state that is replicated to every process.
    keys
        Idempotency keys and the requests that hold them.
    submissions
        Results of accepted submissions by submission id, oldest first; a
        resent submission gets the same result.
    admitted
        Disk incarnation with which each control replica may vote, by
        replica id.
    """

    view: views.View = dataclasses.field(default_factory=views.View)
    keys: idempotency.KeyTable = dataclasses.field(
        default_factory=idempotency.KeyTable
    )
    submissions: dict[str, commands.SubmitAccepted] = dataclasses.field(
        default_factory=dict
    )
    admitted: dict[str, str] = dataclasses.field(default_factory=dict)


def apply(state: ControlState, entry: Entry, suspect_chart: charting.Chart):
    """Apply a committed entry to the state.

    Parameters
    ----------
    state
        Modified in place.
    entry
        The entry that follows the last applied one.
    suspect_chart
        Bound ``suspect`` chart.

    Returns
    -------
    object
        Result for the proposer; an instance of a result class of the
        module `commands`.
    """
    command = entry.command
    result = commands.Done(entry.index)
    if isinstance(command, commands.SubmitTables):
        result = _submit_tables(state, entry)
    elif isinstance(command, commands.ReserveKey):
        result = idempotency.reserve(state.keys, entry.index, command)
    elif isinstance(command, commands.FinishKey):
        idempotency.finish(state.keys, command)
    elif isinstance(command, commands.ReleaseKey):
        idempotency.release(state.keys, command)
    elif isinstance(command, commands.ReadmitReplica):
        state.admitted[command.replica_id] = command.incarnation
    else:
        _change_view(state.view, entry, suspect_chart)
    state.view.term, state.view.index = entry.term, entry.index
    return result


def changes_view(result, command) -> bool:
    """Return whether an applied entry changes the replicated view.

    Parameters
    ----------
    result
        Return value of `apply` for the entry.
    command
        The entry's command.

    Returns
    -------
    bool
        False for commands that affect only idempotency keys, control
        replicas or the log, and for submissions that were not accepted.
    """
    if isinstance(command, commands.SubmitTables):
        return isinstance(result, commands.SubmitAccepted)
    return isinstance(
        command,
        commands.JoinUpstream
        | commands.RemoveUpstream
        | commands.DrainUpstream
        | commands.PlaceReplicas
        | commands.ReportStrike
        | commands.LiftQuarantine,
    )


def apply_to_view(
    view: views.View, entry: Entry, suspect_chart: charting.Chart
) -> bool:
    """Apply an entry received from the feed to a subscriber's view.

    Parameters
    ----------
    view
        Modified in place.
    entry
        A committed entry for which `changes_view` returned True; an
        accepted submission is received as `ChangeTables`.
    suspect_chart
        Bound ``suspect`` chart.

    Returns
    -------
    bool
        False if the view already includes the entry.
    """
    if entry.index <= view.index:
        return False
    command = entry.command
    if isinstance(command, commands.ChangeTables):
        merged = tables.apply_change(view.tables, command.change)
        _set_tables(view, merged, command.submitter)
    else:
        _change_view(view, entry, suspect_chart)
    view.term, view.index = entry.term, entry.index
    return True


def _submit_tables(state: ControlState, entry: Entry):
    command = entry.command
    earlier_result = state.submissions.get(command.submission_id)
    if earlier_result is not None:
        return earlier_result
    view = state.view
    if command.base_version != view.version:
        return commands.SubmitConflict(view.version, view.submitted_by)
    problems = _find_problems(view, command.tables)
    if problems:
        return commands.SubmitRefused(problems)
    _set_tables(view, command.tables, command.submitter)
    result = commands.SubmitAccepted(view.version, entry.term, entry.index)
    state.submissions[command.submission_id] = result
    if len(state.submissions) > MAX_SUBMISSIONS:
        del state.submissions[next(iter(state.submissions))]
    return result


def _set_tables(view: views.View, new_tables, submitter: str) -> None:
    view.tables = new_tables
    view.version += 1
    view.submitted_by = submitter


def _find_problems(
    view, new_tables: tables.Tables
) -> tuple[tables.Problem, ...]:
    problems = tuple(tables.find_problems(new_tables))
    if problems:
        return problems
    return tuple(
        tables.Problem(
            path=(
                f"routes[{new_tables.routes.index(shortfall.route)}]"
                ".memory_mib"
            ),
            seen=f"{shortfall.accelerators} x {shortfall.memory_mib} MiB",
            expected=(
                f"room on {shortfall.route.service}, where one accelerator "
                f"has at most {shortfall.free_mib} MiB free"
            ),
        )
        for shortfall in placement.shortfalls(view, new_tables)
    )


def _change_view(
    view: views.View, entry: Entry, suspect_chart: charting.Chart
) -> None:
    command = entry.command
    if isinstance(command, commands.JoinUpstream):
        _join(view, entry.index, command.upstream)
    elif isinstance(command, commands.RemoveUpstream):
        _remove_upstream(view, command)
    elif isinstance(command, commands.DrainUpstream):
        _drain_upstream(view, command.upstream_id)
    elif isinstance(command, commands.PlaceReplicas):
        _place_replicas(view, entry.index, command)
    elif isinstance(command, commands.ReportStrike):
        quarantine.record_strike(view, command, suspect_chart)
    elif isinstance(command, commands.LiftQuarantine):
        quarantine.lift(view, command.fingerprint)


def _join(view: views.View, index: int, upstream: views.Upstream) -> None:
    """Record an upstream and raise the `fence` of its placement.

    The orders of a new process of the upstream thereby get higher fencing
    tokens than those of the previous process.
    """
    upstream_id = upstream.upstream_id
    view.upstreams[upstream_id] = upstream
    placed = view.placements.get(upstream_id)
    if placed is not None:
        placed = views.Placement(index, placed.replicas)
        view.placements[upstream_id] = placed


def _remove_upstream(
    view: views.View, command: commands.RemoveUpstream
) -> None:
    current = view.upstreams.get(command.upstream_id)
    if current is not None and current.incarnation == command.incarnation:
        del view.upstreams[command.upstream_id]
        view.placements.pop(command.upstream_id, None)


def _drain_upstream(view: views.View, upstream_id: str) -> None:
    current = view.upstreams.get(upstream_id)
    if current is not None:
        view.upstreams[upstream_id] = dataclasses.replace(
            current, leaving=True
        )


def _place_replicas(view: views.View, index: int, command) -> None:
    if command.upstream_id in view.upstreams:
        view.placements[command.upstream_id] = views.Placement(
            index, command.replicas
        )
