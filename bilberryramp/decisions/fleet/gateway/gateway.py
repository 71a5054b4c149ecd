"""Gateway logic: handles a request from its arrival to its end.

A call is a client's request while a gateway handles it. Its states are defined
in ``charts/exchange.yaml``. `step` maps (gateway, time, message) to effects
and performs no I/O.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.core import (
    calls,
    documents,
    hosts,
    presence,
    sharing,
)
from bilberryramp.decisions.fleet.core.traces import Trace
from bilberryramp.decisions.fleet.gateway import (
    admission,
    call_ends,
    call_events,
    call_queue,
    dispatch,
    gateway_state,
    queue_waits,
)
from bilberryramp.decisions.fleet.limits import (
    engine_memory,
    memory_claims,
    memory_use,
    retry_budget,
    retry_shares,
    usage_asks,
    usage_credits,
    usage_messages,
)
from bilberryramp.decisions.fleet.orders import agent, placement
from bilberryramp.decisions.fleet.quarantine import (
    coordinator_state,
    suspect_evidence,
    suspect_memory,
    suspect_publications,
    suspect_trials,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.queueing import turns
from bilberryramp.decisions.fleet.routing import (
    engine_speeds,
    health,
    stream_gaps,
    upstream_pauses,
)

__all__ = [
    "CoordinatorChanged",
    "DocumentInForce",
    "ExcessSeen",
    "LeavingSeen",
    "PauseSeen",
    "ShutdownStarted",
    "TellPeers",
    "Tick",
    "abandon_call",
    "is_idle",
    "is_ready",
    "step",
]

# Upstreams announce themselves one by one; a node that has just started
# regards discovery as complete after this time without a new upstream.
DISCOVERY_QUIET_MS = 250
# Minimum time since the queue was last served after which a report of a peer
# has it served again; in a large fleet, several hundred reports arrive a
# second.
REPORT_SERVE_INTERVAL_MS = 10


@dataclasses.dataclass(slots=True, frozen=True)
class DocumentInForce:
    """A document has come into force; older versions are ignored.

    Attributes
    ----------
    doc
        Decoded document.
    """

    doc: documents.Document


@dataclasses.dataclass(slots=True, frozen=True)
class CoordinatorChanged:
    """Another node coordinates the quarantine of requests.

    Attributes
    ----------
    address
        Address of the node; empty if there is none at present.
    """

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class ExcessSeen:
    """An answer to this node held more than any answer can need.

    Attributes
    ----------
    address
        Host and port of the upstream.
    """

    address: str


@dataclasses.dataclass(slots=True, frozen=True)
class LeavingSeen:
    """An answer to this node said that its upstream is leaving.

    Attributes
    ----------
    notice
        The upstream and its process.
    """

    notice: presence.LeavingNotice


@dataclasses.dataclass(slots=True, frozen=True)
class PauseSeen:
    """An answer to this node asked for a pause.

    Attributes
    ----------
    notice
        The upstream, its process, and the time.
    """

    notice: upstream_pauses.PauseNotice


@dataclasses.dataclass(slots=True, frozen=True)
class TellPeers:
    """Effect: send a message to all other nodes.

    Attributes
    ----------
    message
        Message of a type that the nodes exchange.
    """

    message: presence.LeavingNotice


@dataclasses.dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The process is about to end, so waiting calls must be refused."""


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic message that lets the gateway act on elapsed time."""


def is_ready(gw: gateway_state.Gateway, now_ms: int) -> bool:
    """Return whether the gateway is ready to serve requests.

    Parameters
    ----------
    gw
        State of the gateway.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    bool
        Whether a document is in force and the upstreams are known: either
        the discovery deadline has passed, or every service has an upstream
        and no upstream has joined within `DISCOVERY_QUIET_MS`.
    """
    if gw.doc is None:
        return False
    if now_ms >= gw.discovery_deadline_ms:
        return True
    announced = {
        upstream.announcement.service
        for upstream in gw.table.upstreams.values()
    }
    is_settled = now_ms - gw.table.last_joined_ms >= DISCOVERY_QUIET_MS
    return is_settled and announced >= set(gw.doc.services)


def is_idle(gw: gateway_state.Gateway) -> bool:
    """Return whether no call is in progress."""
    return not gw.active


def abandon_call(gw: gateway_state.Gateway, call_id: int, now_ms: int) -> None:
    """Remove a call whose handling failed, with its load.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    call_id
        Id of the call; an unknown id is ignored.
    now_ms
        Current time in milliseconds.
    """
    call = gw.active.get(call_id)
    if call is not None:
        # The only effect may be the release of a claim, which otherwise ends
        # with the deadline of the call.
        for _ in call_ends.end_call(gw, call, "disconnected", now_ms):
            pass


def step(gw: gateway_state.Gateway, now_ms: int, message) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    gw
        State of the gateway. Modified in place.
    now_ms
        Current time in milliseconds.
    message
        A message of this module or of `calls`, an `Announcement`, a
        `LeavingNotice` of a peer, a `ResidencyReport`, a `MemoryAnswer`, a
        `Report`, a `Share`, or a message of the coordinator of the quarantine.

    Yields
    ------
    effect
        Effects of `calls` and `planner`, `Trace`, `ReportTo`, `TellPeers`,
        `ToAgent`,
        `EnginePaused`, `KeepSuspects` and `ToCoordinator`.
    """
    yield from _HANDLERS[type(message)](gw, now_ms, message)
    if sharing.is_report_urgent(gw.loads):
        yield from _report_load(gw, now_ms)


# Messages that update the state of the fleet.


def _on_document_in_force(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    if gw.doc is not None and message.doc.version <= gw.doc.version:
        return
    gw.doc = message.doc
    gw.index = hosts.build_index(message.doc)
    gw.gap_policies = stream_gaps.policies(message.doc)
    usage_credits.set_document(gw.usage, message.doc)
    gw.workspace_turns.weights = turns.make_weights(message.doc.workspaces)
    for call in admission.waiting_calls(gw):
        yield from call_queue.judge_waiting(gw, call, now_ms)
    memory_use.record_timeouts(
        gw.engine_memory, (route.timeout_ms for route in message.doc.routes)
    )
    yield from call_queue.serve_queue(gw, now_ms)


def _on_announcement(
    gw: gateway_state.Gateway, now_ms: int, announcement
) -> Iterator:
    upstream = gw.table.upstreams.get(announcement.upstream_id)
    was_available = upstream is not None and upstream.leaving_since_ms < 0
    if not presence.record_announcement(gw.table, announcement, now_ms):
        return
    upstream = gw.table.upstreams[announcement.upstream_id]
    is_leaving = upstream.leaving_since_ms >= 0
    if was_available == is_leaving or upstream.announcement.seq == 1:
        yield _trace_presence(announcement, is_leaving, "announcement")
    yield from upstream_pauses.record_start(gw.pauses, announcement, now_ms)
    if gw.queue:
        yield from call_queue.serve_queue(gw, now_ms)


def _on_excess_seen(
    gw: gateway_state.Gateway, now_ms: int, message: ExcessSeen
) -> Iterator:
    upstream_id = gw.table.by_address.get(message.address)
    if upstream_id is not None:
        health.record_excess(call_ends.breaker(gw, upstream_id), now_ms)
    yield from ()


def _on_leaving_seen(
    gw: gateway_state.Gateway, now_ms: int, message: LeavingSeen
) -> Iterator:
    """Stop using an upstream, and tell the peers unless they know."""
    is_new = False
    for effect in _on_leaving_notice(gw, now_ms, message.notice):
        is_new = True
        yield effect
    if is_new:
        yield TellPeers(message.notice)


def _on_leaving_notice(
    gw: gateway_state.Gateway, now_ms: int, notice: presence.LeavingNotice
) -> Iterator:
    if not presence.record_leaving(gw.table, notice, now_ms):
        return
    announcement = gw.table.upstreams[notice.upstream_id].announcement
    yield _trace_presence(announcement, True, "answer")
    # Calls that waited for this upstream go to others or are refused.
    yield from call_queue.serve_queue(gw, now_ms)


def _on_pause_seen(
    gw: gateway_state.Gateway, now_ms: int, message: PauseSeen
) -> Iterator:
    effects = list(
        upstream_pauses.record_notice(
            gw.pauses, gw.table, message.notice, now_ms
        )
    )
    if effects:
        yield from effects
        # Calls that waited for this upstream go to others or are refused.
        yield from call_queue.serve_queue(gw, now_ms)


def _trace_presence(
    announcement: presence.Announcement, is_leaving: bool, source: str
) -> Trace:
    return Trace(
        "upstream.leaving" if is_leaving else "upstream.seen",
        {
            "upstream": announcement.upstream_id,
            "service": announcement.service,
            "address": announcement.address,
            "seq": announcement.seq,
            "born_ms": announcement.born_ms,
            "source": source,
        },
    )


def _on_residency_report(
    gw: gateway_state.Gateway, now_ms: int, report: agent.ResidencyReport
) -> Iterator:
    gw.unanswered_since_ms.pop(report.upstream_id, None)
    presence.record_residency(
        gw.table,
        report.upstream_id,
        report.model,
        report.adapter,
        report.held,
        now_ms,
    )
    if report.held:
        yield from call_queue.serve_queue(gw, now_ms)


def _on_report(
    gw: gateway_state.Gateway, now_ms: int, report: sharing.Report
) -> Iterator:
    read = sharing.apply_report(
        gw.loads, report, gateway_state.cache_capacity_tokens(gw), now_ms
    )
    for upstream_key, tokens in read:
        stream_gaps.record_read(gw.read_bursts, upstream_key, tokens, now_ms)
    _record_demand(gw, report, now_ms)
    for sample in report.speeds:
        engine_speeds.record_sample(gw.speeds, sample, now_ms)
    if now_ms - gw.served_ms >= REPORT_SERVE_INTERVAL_MS:
        yield from call_queue.serve_queue(gw, now_ms)


def _on_memory_answer(
    gw: gateway_state.Gateway,
    now_ms: int,
    answer: memory_claims.MemoryAnswer,
) -> Iterator:
    call = gw.active.get(answer.call_id)
    yield from engine_memory.accept_answer(
        gw.engine_memory, answer, call, now_ms
    )
    if call is not None and call.phase == "waiting":
        yield from dispatch.try_dispatch(gw, now_ms, call)
        yield from call_queue.serve_queue(gw, now_ms)


def _on_shutdown_started(
    gw: gateway_state.Gateway, now_ms: int, _message
) -> Iterator:
    gw.is_shutting_down = True
    yield from call_queue.serve_queue(gw, now_ms)
    yield from call_queue.review_held(gw, now_ms)


def _on_tick(gw: gateway_state.Gateway, now_ms: int, _message) -> Iterator:
    presence.remove_silent_upstreams(gw.table, now_ms)
    upstream_pauses.remove_outdated(gw.pauses, gw.table, now_ms)
    memory_use.let_go_of_ended(gw.engine_memory, gw.loads, gw.table, now_ms)
    yield from suspect_evidence.review(gw.suspect_state, now_ms)
    yield from _clear_survivors(gw, now_ms)
    yield from call_queue.review_held(gw, now_ms)
    yield from usage_asks.due_ask(gw.usage, gw.address, now_ms)
    yield from call_queue.serve_queue(gw, now_ms)
    queue_waits.forget_unused_lanes(gw, now_ms)
    yield from _report_load(gw, now_ms)


def _clear_survivors(gw: gateway_state.Gateway, now_ms: int) -> Iterator:
    """Clear the parts of prompts that upstreams have read without a crash."""
    state = gw.suspect_state
    for call in suspect_evidence.survivors(state, gw.active, now_ms):
        yield from suspect_evidence.record_survival(state, call, now_ms)
        yield from suspect_trials.end_trial_of_parts(state, call, now_ms)


def _report_load(gw: gateway_state.Gateway, now_ms: int) -> Iterator:
    for audience in sharing.Audience:
        report = sharing.build_due_report(
            gw.loads, gw.address, now_ms, audience
        )
        if report is not None:
            if audience is sharing.Audience.NEAR:
                _record_demand(gw, report, now_ms)
            yield sharing.ReportTo(audience, report)


def _record_demand(
    gw: gateway_state.Gateway, report: sharing.Report, now_ms: int
) -> None:
    for upstream_key, weights, _ in report.sent:
        placement.record_use(gw.demand, upstream_key, weights, now_ms)
    for model_key, tokens in report.asked:
        placement.record_demand(gw.demand, model_key, tokens, now_ms)


def _on_share(
    gw: gateway_state.Gateway, _now_ms: int, share: retry_shares.Share
) -> Iterator:
    before, gw.retry_share = gw.retry_share, share
    if (share.state, share.fleet_size) != (before.state, before.fleet_size):
        slack = retry_budget.SLACK_FRACTION * gw.budget_limits.slack
        yield Trace(
            "retry.share_changed",
            {
                "state": share.state,
                "fleet_size": share.fleet_size,
                "share": round(slack / share.fleet_size, 2)
                if share.fleet_size
                else 0.0,
                "counted_ms": share.counted_ms,
                "leader": gw.suspect_state.coordinator,
                "started_ms": gw.started_ms,
            },
        )


# Messages of the coordinator of the quarantine.


def _on_coordinator_changed(
    gw: gateway_state.Gateway, now_ms: int, message: CoordinatorChanged
) -> Iterator:
    had_gathered = bool(gw.suspect_state.gathered)
    yield from suspect_publications.change_coordinator(
        gw.suspect_state, message.address, now_ms
    )
    if had_gathered and not gw.suspect_state.gathered:
        yield from suspect_memory.keep(gw.suspect_state, now_ms)


def _on_gathered_losses(
    gw: gateway_state.Gateway,
    now_ms: int,
    message: coordinator_state.GatheredLosses,
) -> Iterator:
    gw.suspect_state.gathered = {
        entry.fingerprint: (entry, now_ms) for entry in message.suspects
    }
    yield from suspect_memory.keep(gw.suspect_state, now_ms)


def _on_suspect_list(
    gw: gateway_state.Gateway, now_ms: int, message: msgs.SuspectList
) -> Iterator:
    had_suspects = bool(gw.suspect_state.published)
    yield from suspect_publications.accept_list(
        gw.suspect_state, message, now_ms
    )
    if had_suspects or gw.suspect_state.published:
        yield from suspect_memory.keep(gw.suspect_state, now_ms)
    for call in suspect_publications.to_recall(
        gw.suspect_state, message, gw.active.values()
    ):
        yield Trace(
            "call.recalled",
            {
                "request_id": call.request.request_id,
                "parts": [part.part_id for part in calls.shared_parts(call)],
                "upstream": call.upstream_id,
                "after_ms": now_ms - call.sent_ms,
            },
        )
        yield calls.Recall(call.call_id)
    yield from call_queue.review_held(gw, now_ms)


def _on_suspect_digest(
    gw: gateway_state.Gateway, now_ms: int, message: msgs.SuspectDigest
) -> Iterator:
    yield from suspect_publications.check_digest(
        gw.suspect_state, message, now_ms
    )


def _on_trial_grant(
    gw: gateway_state.Gateway, now_ms: int, message: msgs.TrialGrant
) -> Iterator:
    yield from suspect_trials.accept_grant(
        gw.suspect_state, message, list(gw.held.values())
    )
    yield from call_queue.review_held(gw, now_ms)


def _on_usage_answer(
    gw: gateway_state.Gateway, now_ms: int, message: usage_messages.UsageAnswer
) -> Iterator:
    if usage_asks.accept_answer(gw.usage, message, now_ms):
        yield from call_queue.serve_queue(gw, now_ms)
        yield from usage_asks.due_ask(gw.usage, gw.address, now_ms)


_HANDLERS = {
    CoordinatorChanged: _on_coordinator_changed,
    DocumentInForce: _on_document_in_force,
    ExcessSeen: _on_excess_seen,
    LeavingSeen: _on_leaving_seen,
    PauseSeen: _on_pause_seen,
    presence.LeavingNotice: _on_leaving_notice,
    retry_shares.Share: _on_share,
    usage_messages.UsageAnswer: _on_usage_answer,
    coordinator_state.GatheredLosses: _on_gathered_losses,
    msgs.SuspectDigest: _on_suspect_digest,
    msgs.SuspectList: _on_suspect_list,
    msgs.TrialGrant: _on_trial_grant,
    agent.ResidencyReport: _on_residency_report,
    memory_claims.MemoryAnswer: _on_memory_answer,
    ShutdownStarted: _on_shutdown_started,
    Tick: _on_tick,
    presence.Announcement: _on_announcement,
    sharing.Report: _on_report,
    **call_events.HANDLERS,
}
