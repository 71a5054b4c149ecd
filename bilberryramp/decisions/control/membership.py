"""The leader's watch over upstreams, and the commands it calls for."""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.control import demand, placement, placement_state
from bilberryramp.decisions.shared import commands, feed_messages, views

__all__ = [
    "FORGET_MS",
    "OBSERVE_MS",
    "PROPOSAL_PAUSE_MS",
    "STALL_MS",
    "Membership",
    "Seen",
    "on_digest",
    "on_tick",
    "resident_places",
    "start_term",
]

FORGET_MS = 5000
PROPOSAL_PAUSE_MS = 300
OBSERVE_MS = 1000
STALL_MS = 1000


@dataclasses.dataclass(slots=True)
class Seen:
    """When an upstream last sent a heartbeat, and its last report."""

    seen_ms: int
    report: feed_messages.UpstreamReport | None = None


@dataclasses.dataclass(slots=True)
class Membership:
    """What the leader knows beyond the log; lost with its term.

    Attributes
    ----------
    seen
        By upstream id; times on the leader's clock in milliseconds.
    quiet_until_ms
        No commands before then, so that earlier ones can commit.
    reports
        Counts reports, to tell whether any is new.
    planned_for
        Change index and report count of the last plan that changed
        nothing; empty once the targets are others.
    busy
        Busy requests by model, as each control replica last told them.
    watch
        What demand calls for; None where replicas follow the routes only.
    targets
        Replicas by model that it called for last.
    observe_due_ms
        When demand is looked at next.
    ticked_ms
        When the leader last looked; a pause longer than `STALL_MS` is its
        own and not the upstreams' silence.
    """

    seen: dict[str, Seen] = dataclasses.field(default_factory=dict)
    quiet_until_ms: int = 0
    reports: int = 0
    planned_for: tuple = ()
    busy: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    tracker: demand.DemandTracker | None = None
    targets: dict[str, int] = dataclasses.field(default_factory=dict)
    observe_due_ms: int = 0
    ticked_ms: int = 0


def start_term(
    view: views.View,
    now_ms: int,
    demand_cfg: demand.DemandSettings | None = None,
) -> Membership:
    """Begin a leader's watch, counting each known upstream as just seen.

    Parameters
    ----------
    view
        The view in force.
    now_ms
        The leader's clock in milliseconds.
    demand_cfg
        How replicas follow demand; None if they do not.

    Returns
    -------
    Membership
        Without reports yet.
    """
    seen = {upstream_id: Seen(now_ms) for upstream_id in view.upstreams}
    members = Membership(seen, now_ms + PROPOSAL_PAUSE_MS)
    members.ticked_ms = now_ms
    if demand_cfg is not None:
        placed = _models_placed(view)
        members.tracker = demand.DemandTracker(demand_cfg, placed)
        members.targets = {m: d.replicas for m, d in placed.items()}
    # Until the replicas have told what is busy, nothing is given up.
    members.observe_due_ms = now_ms + FORGET_MS
    return members


def on_digest(
    members: Membership, now_ms: int, digest: feed_messages.Digest
) -> None:
    """Take in heartbeats gathered by a replica.

    Parameters
    ----------
    members
        Changed in place.
    now_ms
        The leader's clock in milliseconds.
    digest
        The heartbeats.
    """
    members.busy[digest.sender] = digest.busy
    for upstream_id in digest.alive:
        members.seen.setdefault(upstream_id, Seen(now_ms)).seen_ms = now_ms
    for report in digest.reports:
        upstream_id = report.upstream.upstream_id
        members.seen[upstream_id] = Seen(now_ms, report)
        members.reports += 1


def on_tick(
    members: Membership, now_ms: int, view: views.View, change_index: int
) -> Iterator:
    """Yield the commands that bring the log in line with what is seen.

    Parameters
    ----------
    members
        Changed in place.
    now_ms
        The leader's clock in milliseconds.
    view
        The view in force.
    change_index
        Log index of its newest change; the plan is made anew only when
        this or a report changed.

    Yields
    ------
    command
        Joins and removals first; placements only when there are none.
    """
    _forgive_stall(members, now_ms)
    if now_ms < members.quiet_until_ms:
        return
    wanted = list(_membership_changes(members, now_ms, view))
    _observe_demand(members, now_ms, view)
    state = (change_index, members.reports)
    if not wanted and members.planned_for != state:
        resident = resident_places(members)
        spares = _spares(members, view, resident)
        wanted = list(placement.plan(view, resident, members.targets, spares))
        if not wanted:
            members.planned_for = state
    if wanted:
        members.quiet_until_ms = now_ms + PROPOSAL_PAUSE_MS
    yield from wanted


def resident_places(members: Membership) -> placement_state.Resident:
    """Map each upstream seen to the replicas it reported resident.

    Parameters
    ----------
    members
        The leader's watch.

    Returns
    -------
    dict
        For each upstream id, its replicas by model.
    """
    return {
        upstream_id: {place.model: place for place in seen.report.resident}
        for upstream_id, seen in members.seen.items()
        if seen.report is not None
    }


def _spares(members: Membership, view: views.View, resident) -> int:
    """Count the loads that the weight store could carry besides."""
    if members.tracker is None:
        return 0
    under_way = sum(
        place.model not in resident.get(upstream_id, ())
        for upstream_id, placed in view.placements.items()
        for place in placed.replicas
    )
    return max(members.tracker.cfg.loads_at_once - under_way, 0)


def _forgive_stall(members: Membership, now_ms: int) -> None:
    pause_ms = now_ms - members.ticked_ms
    if pause_ms > STALL_MS:
        for seen in members.seen.values():
            seen.seen_ms += pause_ms
    members.ticked_ms = now_ms


def _models_placed(view: views.View) -> dict[str, demand.ModelDemand]:
    """Start from the replicas there are: a new leader moves nothing."""
    counts = collections.Counter(
        place.model
        for placed in view.placements.values()
        for place in placed.replicas
    )
    return {
        model: demand.ModelDemand(count) for model, count in counts.items()
    }


def _observe_demand(members: Membership, now_ms: int, view) -> None:
    if members.tracker is None or now_ms < members.observe_due_ms:
        return
    members.observe_due_ms = now_ms + OBSERVE_MS
    busy: collections.Counter[str] = collections.Counter()
    for counts in members.busy.values():
        busy.update(counts)
    targets = demand.update_targets(
        members.tracker, now_ms, view.tables, busy, len(view.upstreams)
    )
    if targets != members.targets:
        members.targets, members.planned_for = targets, ()


def _membership_changes(members, now_ms, view) -> Iterator:
    for upstream_id, seen in list(members.seen.items()):
        known = view.upstreams.get(upstream_id)
        if now_ms - seen.seen_ms > FORGET_MS:
            del members.seen[upstream_id]
            if known is not None:
                yield commands.RemoveUpstream(upstream_id, known.incarnation)
        elif seen.report is not None and _differs(known, seen.report):
            yield commands.JoinUpstream(seen.report.upstream)


def _differs(known: views.Upstream | None, report) -> bool:
    upstream = report.upstream
    if known is None:
        return not upstream.leaving
    # An operator's drain holds until the upstream process starts anew.
    same_process = known.incarnation == upstream.incarnation
    if same_process and known.leaving:
        return False
    return known != upstream
