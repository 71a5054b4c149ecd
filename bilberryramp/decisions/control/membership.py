"""The leader's watch over upstreams, and the commands it calls for."""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.control import demand, placement, placement_state
from bilberryramp.decisions.shared import commands, feed_messages, views

__all__ = [
    "SILENCE_TIMEOUT_MS",
    "DEMAND_INTERVAL_MS",
    "PROPOSAL_INTERVAL_MS",
    "STALL_THRESHOLD_MS",
    "Membership",
    "UpstreamStatus",
    "on_digest",
    "on_tick",
    "resident_replicas",
    "start_term",
]

SILENCE_TIMEOUT_MS = 5000
PROPOSAL_INTERVAL_MS = 300
DEMAND_INTERVAL_MS = 1000
STALL_THRESHOLD_MS = 1000


@dataclasses.dataclass(slots=True)
class UpstreamStatus:
    """When an upstream last sent a heartbeat, and its last report."""

    last_heartbeat_ms: int
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
        When the leader last looked; a pause longer than `STALL_THRESHOLD_MS` is its
        own and not the upstreams' silence.
    """

    upstreams: dict[str, UpstreamStatus] = dataclasses.field(
        default_factory=dict
    )
    proposal_due_ms: int = 0
    report_count: int = 0
    settled_state: tuple = ()
    busy_by_replica: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    tracker: demand.DemandTracker | None = None
    targets: dict[str, int] = dataclasses.field(default_factory=dict)
    demand_due_ms: int = 0
    last_tick_ms: int = 0


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
    statuses = {
        upstream_id: UpstreamStatus(now_ms) for upstream_id in view.upstreams
    }
    members = Membership(statuses, now_ms + PROPOSAL_INTERVAL_MS)
    members.last_tick_ms = now_ms
    if demand_cfg is not None:
        placed = _placed_counts(view)
        members.tracker = demand.DemandTracker(demand_cfg, placed)
        members.targets = {m: d.replicas for m, d in placed.items()}
    # Until the replicas have told what is busy, nothing is given up.
    members.demand_due_ms = now_ms + SILENCE_TIMEOUT_MS
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
    members.busy_by_replica[digest.sender] = digest.busy
    for upstream_id in digest.alive:
        members.upstreams.setdefault(
            upstream_id, UpstreamStatus(now_ms)
        ).last_heartbeat_ms = now_ms
    for report in digest.reports:
        upstream_id = report.upstream.upstream_id
        members.upstreams[upstream_id] = UpstreamStatus(now_ms, report)
        members.report_count += 1


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
    _discount_stall(members, now_ms)
    if now_ms < members.proposal_due_ms:
        return
    proposals = list(_membership_changes(members, now_ms, view))
    _update_targets(members, now_ms, view)
    state = (change_index, members.report_count)
    if not proposals and members.settled_state != state:
        resident = resident_replicas(members)
        max_spares = _spare_budget(members, view, resident)
        proposals = list(
            placement.plan(view, resident, members.targets, max_spares)
        )
        if not proposals:
            members.settled_state = state
    if proposals:
        members.proposal_due_ms = now_ms + PROPOSAL_INTERVAL_MS
    yield from proposals


def resident_replicas(members: Membership) -> placement_state.Resident:
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
        upstream_id: {place.model: place for place in status.report.resident}
        for upstream_id, status in members.upstreams.items()
        if status.report is not None
    }


def _spare_budget(members: Membership, view: views.View, resident) -> int:
    """Count the loads that the weight store could carry besides."""
    if members.tracker is None:
        return 0
    loading = sum(
        place.model not in resident.get(upstream_id, ())
        for upstream_id, placed in view.placements.items()
        for place in placed.replicas
    )
    return max(members.tracker.cfg.loads_at_once - loading, 0)


def _discount_stall(members: Membership, now_ms: int) -> None:
    pause_ms = now_ms - members.last_tick_ms
    if pause_ms > STALL_THRESHOLD_MS:
        for status in members.upstreams.values():
            status.last_heartbeat_ms += pause_ms
    members.last_tick_ms = now_ms


def _placed_counts(view: views.View) -> dict[str, demand.ModelDemand]:
    """Start from the replicas there are: a new leader moves nothing."""
    counts = collections.Counter(
        place.model
        for placed in view.placements.values()
        for place in placed.replicas
    )
    return {
        model: demand.ModelDemand(count) for model, count in counts.items()
    }


def _update_targets(members: Membership, now_ms: int, view) -> None:
    if members.tracker is None or now_ms < members.demand_due_ms:
        return
    members.demand_due_ms = now_ms + DEMAND_INTERVAL_MS
    busy: collections.Counter[str] = collections.Counter()
    for counts in members.busy_by_replica.values():
        busy.update(counts)
    targets = demand.update_targets(
        members.tracker, now_ms, view.tables, busy, len(view.upstreams)
    )
    if targets != members.targets:
        members.targets, members.settled_state = targets, ()


def _membership_changes(members, now_ms, view) -> Iterator:
    for upstream_id, status in list(members.upstreams.items()):
        known = view.upstreams.get(upstream_id)
        if now_ms - status.last_heartbeat_ms > SILENCE_TIMEOUT_MS:
            del members.upstreams[upstream_id]
            if known is not None:
                yield commands.RemoveUpstream(upstream_id, known.incarnation)
        elif status.report is not None and _needs_join(known, status.report):
            yield commands.JoinUpstream(status.report.upstream)


def _needs_join(known: views.Upstream | None, report) -> bool:
    upstream = report.upstream
    if known is None:
        return not upstream.leaving
    # An operator's drain holds until the upstream process starts anew.
    same_process = known.incarnation == upstream.incarnation
    if same_process and known.leaving:
        return False
    return known != upstream
