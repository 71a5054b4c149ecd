"""Upstream membership as seen by the leader, and the commands it proposes.

The leader learns of heartbeats from the digests of the control replicas. It
proposes to add upstreams that report themselves, to remove silent ones, and
to change the placement of model replicas when tables, reports or demand have
changed. In this module "busy" requests are those that run or wait.
"""

import collections
import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.control import demand, placement, placement_state
from bilberryramp.decisions.shared import commands, feed_messages, views

__all__ = [
    "DEMAND_INTERVAL_MS",
    "PROPOSAL_INTERVAL_MS",
    "SILENCE_TIMEOUT_MS",
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
    """Liveness of one upstream.

    Attributes
    ----------
    last_heartbeat_ms
        Time of the last heartbeat on the leader's clock in milliseconds.
    report
        Last report of the upstream; None until this leader receives one.
    """

    last_heartbeat_ms: int
    report: feed_messages.UpstreamReport | None = None


@dataclasses.dataclass(slots=True)
class Membership:
    """State of the leader that is not in the log and ends with its term.

    Attributes
    ----------
    upstreams
        Liveness of each upstream, by upstream id.
    proposal_due_ms
        When commands are next due, in milliseconds; commands that were
        proposed before have until then to commit.
    report_count
        Number of reports received in this term; a change shows that there
        is a new report.
    settled_plan_inputs
        Change index and report count for which the last plan needed no
        changes, so that it is not computed again for them; empty after the
        targets have changed.
    busy_by_replica
        For each control replica id, the number of busy requests by model
        in its last digest.
    tracker
        Demand of each model; None if the number of its replicas is taken
        from the routes only.
    targets
        Target number of model replicas by model, as last computed from
        `tracker`.
    demand_due_ms
        When the targets are next due for an update, in milliseconds.
    last_tick_ms
        Time of the last tick in milliseconds. A pause between ticks of
        more than `STALL_THRESHOLD_MS` is a stall of the leader and does not
        count as silence of the upstreams.
    """

    upstreams: dict[str, UpstreamStatus] = dataclasses.field(
        default_factory=dict
    )
    proposal_due_ms: int = 0
    report_count: int = 0
    settled_plan_inputs: tuple = ()
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
    """Create the membership state of a new leader.

    Every upstream in the view counts as having just sent a heartbeat.

    Parameters
    ----------
    view
        The leader's current view.
    now_ms
        Current time in milliseconds.
    demand_cfg
        Thresholds of scaling with demand; None to take the number of model
        replicas from the routes only.

    Returns
    -------
    Membership
        State without reports.
    """
    statuses = {
        upstream_id: UpstreamStatus(now_ms) for upstream_id in view.upstreams
    }
    members = Membership(statuses, now_ms + PROPOSAL_INTERVAL_MS)
    members.last_tick_ms = now_ms
    if demand_cfg is not None:
        initial_demand = _initial_demand(view)
        members.tracker = demand.DemandTracker(demand_cfg, initial_demand)
        members.targets = {m: d.replicas for m, d in initial_demand.items()}
    # No model replica is removed before the control replicas have reported
    # the busy requests.
    members.demand_due_ms = now_ms + SILENCE_TIMEOUT_MS
    return members


def on_digest(
    members: Membership, now_ms: int, digest: feed_messages.Digest
) -> None:
    """Record the heartbeats collected by a control replica.

    Parameters
    ----------
    members
        Modified in place.
    now_ms
        Current time in milliseconds.
    digest
        Upstreams with a heartbeat, new reports and busy requests of the
        processes that subscribe to the control replica.
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
    """Yield the commands that adapt the view to the heartbeats.

    Parameters
    ----------
    members
        Modified in place.
    now_ms
        Current time in milliseconds.
    view
        The leader's current view.
    change_index
        Log index of the view's last change. The placement is planned again
        only after the view, the reports or the targets have changed.

    Yields
    ------
    command
        `JoinUpstream` and `RemoveUpstream`, or, if there are none of them,
        `PlaceReplicas`.
    """
    _discount_stall(members, now_ms)
    if now_ms < members.proposal_due_ms:
        return
    proposals = list(_membership_changes(members, now_ms, view))
    _update_targets(members, now_ms, view)
    plan_inputs = (change_index, members.report_count)
    if not proposals and members.settled_plan_inputs != plan_inputs:
        resident = resident_replicas(members)
        max_spares = _spare_budget(members, view, resident)
        proposals = list(
            placement.plan(view, resident, members.targets, max_spares)
        )
        if not proposals:
            members.settled_plan_inputs = plan_inputs
    if proposals:
        members.proposal_due_ms = now_ms + PROPOSAL_INTERVAL_MS
    yield from proposals


def resident_replicas(members: Membership) -> placement_state.Resident:
    """Return the model replicas that each upstream reported as resident.

    Parameters
    ----------
    members
        Membership state of the leader.

    Returns
    -------
    dict
        For each upstream id with a report, its resident replicas by model.
    """
    return {
        upstream_id: {place.model: place for place in status.report.resident}
        for upstream_id, status in members.upstreams.items()
        if status.report is not None
    }


def _spare_budget(members: Membership, view: views.View, resident) -> int:
    """Return how many more loads the weight store can serve at full speed."""
    if members.tracker is None:
        return 0
    loading = sum(
        place.model not in resident.get(upstream_id, ())
        for upstream_id, placed in view.placements.items()
        for place in placed.replicas
    )
    return max(members.tracker.cfg.loads_at_once - loading, 0)


def _discount_stall(members: Membership, now_ms: int) -> None:
    """Extend the upstreams' silence timeouts by a stall of the leader."""
    pause_ms = now_ms - members.last_tick_ms
    if pause_ms > STALL_THRESHOLD_MS:
        for status in members.upstreams.values():
            status.last_heartbeat_ms += pause_ms
    members.last_tick_ms = now_ms


def _initial_demand(view: views.View) -> dict[str, demand.ModelDemand]:
    """Return targets equal to the numbers of model replicas now placed.

    A new leader starts from them so that it does not move any replica.
    """
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
        members.targets, members.settled_plan_inputs = targets, ()


def _membership_changes(members, now_ms, view) -> Iterator:
    for upstream_id, status in list(members.upstreams.items()):
        current = view.upstreams.get(upstream_id)
        if now_ms - status.last_heartbeat_ms > SILENCE_TIMEOUT_MS:
            del members.upstreams[upstream_id]
            if current is not None:
                yield commands.RemoveUpstream(upstream_id, current.incarnation)
        elif status.report is not None and _needs_join(current, status.report):
            yield commands.JoinUpstream(status.report.upstream)


def _needs_join(current: views.Upstream | None, report) -> bool:
    """Return whether an upstream must be added or updated in the view."""
    upstream = report.upstream
    if current is None:
        return not upstream.leaving
    # An operator's drain remains in force until the upstream restarts.
    same_process = current.incarnation == upstream.incarnation
    if same_process and current.leaving:
        return False
    return current != upstream
