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
    dispatch,
    gateway_state,
    queue_waits,
    waiting_times,
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
    suspects,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.queueing import turns
from bilberryramp.decisions.fleet.routing import (
    engine_speeds,
    health,
    scheduling,
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

# Limit on the sends of one request, including sends to upstreams that did not
# run it.
MAX_SENDS = 4
# Time for which an upstream that reported that it is full gets no calls.
FULL_PAUSE_MS = 300
# A call with less time left than this is not sent.
MIN_ATTEMPT_TIME_MS = 60
# A node without a document usually receives one within this time.
NO_DOCUMENT_RETRY_AFTER_MS = 700
# Upstreams announce themselves one by one; a node that has just started
# regards discovery as complete after this time without a new upstream.
DISCOVERY_QUIET_MS = 250
# Minimum time since the queue was last served after which a report of a peer
# has it served again; in a large fleet, several hundred reports arrive a
# second.
REPORT_SERVE_INTERVAL_MS = 10
# Limit on the waiting calls examined each time capacity may be available.
MAX_QUEUE_SCAN_CALLS = 64
# Reasons for which a call is refused at once, since waiting does not help.
_HOPELESS = (
    calls.Refusal.UNKNOWN_KEY,
    calls.Refusal.QUARANTINED,
    calls.Refusal.UPSTREAM_FAULTY,
    calls.Refusal.UPSTREAM_FULL,
    calls.Refusal.UPSTREAMS_PAUSED,
)
# Outcomes of attempts that surely did not run, which are not charged.
_NOT_CHARGED = (
    *calls.NOTHING_SENT,
    calls.AttemptOutcome.NOT_RUN,
    calls.AttemptOutcome.TARGET_MISSING,
)


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
        for _ in _end_call(gw, call, "disconnected", now_ms):
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
        yield from _judge_waiting(gw, call, now_ms)
    memory_use.record_timeouts(
        gw.memory, (route.timeout_ms for route in message.doc.routes)
    )
    yield from _serve_queue(gw, now_ms)


def _judge_waiting(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> Iterator:
    """Judge a call by the document in force, and refuse it unless admitted."""
    yield from admission.judge(gw, call)
    if not call.is_admitted:
        call.wait_reason = calls.Refusal.UNKNOWN_KEY
        yield from _refuse_if_unservable(gw, now_ms, call)


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
        yield from _serve_queue(gw, now_ms)


def _on_excess_seen(
    gw: gateway_state.Gateway, now_ms: int, message: ExcessSeen
) -> Iterator:
    upstream_id = gw.table.by_address.get(message.address)
    if upstream_id is not None:
        health.record_excess(_breaker(gw, upstream_id), now_ms)
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
    yield from _serve_queue(gw, now_ms)


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
        yield from _serve_queue(gw, now_ms)


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
        yield from _serve_queue(gw, now_ms)


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
        yield from _serve_queue(gw, now_ms)


def _on_memory_answer(
    gw: gateway_state.Gateway,
    now_ms: int,
    answer: memory_claims.MemoryAnswer,
) -> Iterator:
    call = gw.active.get(answer.call_id)
    yield from engine_memory.accept_answer(gw.memory, answer, call, now_ms)
    if call is not None and call.phase == "waiting":
        yield from dispatch.try_dispatch(gw, now_ms, call)
        yield from _serve_queue(gw, now_ms)


def _on_shutdown_started(
    gw: gateway_state.Gateway, now_ms: int, _message
) -> Iterator:
    gw.is_shutting_down = True
    yield from _serve_queue(gw, now_ms)
    yield from _review_held(gw, now_ms)


def _on_tick(gw: gateway_state.Gateway, now_ms: int, _message) -> Iterator:
    presence.remove_silent_upstreams(gw.table, now_ms)
    upstream_pauses.remove_outdated(gw.pauses, gw.table, now_ms)
    memory_use.let_go_of_ended(gw.memory, gw.loads, gw.table, now_ms)
    yield from suspect_evidence.review(gw.suspect_state, now_ms)
    yield from _clear_survivors(gw, now_ms)
    yield from _review_held(gw, now_ms)
    yield from usage_asks.due_ask(gw.usage, gw.address, now_ms)
    yield from _serve_queue(gw, now_ms)
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
    yield from _review_held(gw, now_ms)


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
    yield from _review_held(gw, now_ms)


def _review_held(gw: gateway_state.Gateway, now_ms: int) -> Iterator:
    """Release held calls that may run, and refuse those that wait in vain."""
    if not gw.held:
        return
    for call in list(gw.held.values()):
        admission = suspects.admission_of(gw.suspect_state, call, now_ms)
        if admission is suspects.Admission.HOLD:
            yield from _refuse_if_unservable(gw, now_ms, call)
            continue
        yield from gateway_state.fire(gw, call, "released", now_ms)
        yield from dispatch.try_dispatch(gw, now_ms, call)
        if call.phase == "waiting":
            yield from _refuse_if_unservable(gw, now_ms, call)
    yield from suspect_trials.due_trial_requests(
        gw.suspect_state, list(gw.held.values()), now_ms
    )


# Messages about a call.


def _on_call_arrived(
    gw: gateway_state.Gateway, now_ms: int, message: calls.CallArrived
) -> Iterator:
    req = message.request
    if gw.doc is None:
        yield from _refuse(
            message.call_id,
            req,
            calls.Refusal.NO_DOCUMENT,
            NO_DOCUMENT_RETRY_AFTER_MS,
        )
        return
    route = hosts.find_route(gw.index, req.host, req.path)
    if route is None:
        yield from _refuse(message.call_id, req, calls.Refusal.NO_ROUTE, 0)
        return
    allowed_ms = route.timeout_ms
    if req.client_timeout_ms >= 0:
        allowed_ms = min(allowed_ms, req.client_timeout_ms)
    call = calls.Call(
        message.call_id,
        req,
        route,
        hosts.pick_service(route, gw.rng),
        message.arrived_ms,
        message.arrived_ms + allowed_ms,
    )
    yield from admission.judge(gw, call)
    if not call.is_admitted:
        details = admission.key_details(gw, call)
        yield from _refuse(
            call.call_id, req, calls.Refusal.UNKNOWN_KEY, 0, details
        )
        return
    if now_ms - message.arrived_ms <= retry_budget.ARRIVAL_DELAY_MS:
        retry_budget.record_request(
            gateway_state.service_budget(gw, call.service),
            gw.budget_limits,
            now_ms,
        )
    gw.active[call.call_id] = call
    gw.queue[call.call_id] = call
    if req.prompt is not None:
        sharing.record_demand(
            gw.loads,
            req.prompt.model,
            scheduling.uncached_work_tokens(req.prompt),
        )
    yield from dispatch.try_dispatch(gw, now_ms, call)
    if call.phase == "waiting":
        call.has_waited = True
        wait_ms = queue_waits.wait_of_arrival(gw, call, now_ms)
        yield from _refuse_if_unservable(gw, now_ms, call, wait_ms)


def _on_answer_started(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is None:
        return
    call.answer_started_ms = now_ms
    if call.request.prompt is not None and call.phase == "sent":
        took_ms = now_ms - call.sent_ms
        sample = engine_speeds.measure_first_token(
            call.target, call.work_tokens, took_ms
        )
        if sample is not None:
            engine_speeds.record_sample(gw.speeds, sample, now_ms)
            sharing.record_speed_sample(gw.loads, sample)
    if call.phase == "sent":
        suspect_evidence.record_answer_start(gw.suspect_state, call, now_ms)
    was_returning = upstream_pauses.is_returning(gw.pauses, call)
    yield from gateway_state.fire(gw, call, "answering", now_ms)
    if was_returning:
        yield from _serve_queue(gw, now_ms)


def _on_client_disconnected(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is not None:
        yield Trace(
            "call.left",
            {
                "request_id": call.request.request_id,
                "fingerprint": call.request.fingerprint,
                "route": call.route.name,
                "phase": call.phase,
                "why": call.wait_reason.value,
                "upstream": call.upstream_id,
                "after_ms": now_ms - call.arrived_ms,
            },
        )
        suspect_evidence.record_departure(gw.suspect_state, call, now_ms)
        yield from _end_call(gw, call, "disconnected", now_ms)
        yield from _serve_queue(gw, now_ms)


def _on_attempt_ended(
    gw: gateway_state.Gateway, now_ms: int, message
) -> Iterator:
    call = gw.active.get(message.call_id)
    if call is None:
        return
    outcome = message.outcome
    call.last_outcome, call.attempt_ended_ms = outcome, now_ms
    call.may_have_arrived |= outcome not in calls.NOTHING_SENT
    if outcome in _NOT_CHARGED:
        usage_credits.refund(gw.usage, call, now_ms)
    if outcome is calls.AttemptOutcome.WITHHELD:
        yield from _take_back(gw, call, now_ms)
        return
    if outcome is calls.AttemptOutcome.FAILED:
        call.failure_denies_run = message.denies_run
    elif outcome is calls.AttemptOutcome.BROKEN:
        call.failure_denies_run = None
    _record_outcome(gw, call, outcome, now_ms)
    yield from suspect_evidence.record_attempt_end(
        gw.suspect_state, call, outcome, now_ms
    )
    yield Trace(
        "call.attempt",
        {
            "request_id": call.request.request_id,
            "fingerprint": call.request.fingerprint,
            "parts": [part.part_id for part in calls.shared_parts(call)],
            "upstream": call.upstream_id,
            "send": call.send_count,
            "end": outcome.value,
            "took_ms": now_ms - call.sent_ms,
            "begun_after_ms": call.answer_started_ms - call.sent_ms
            if call.answer_started_ms >= call.sent_ms
            else -1,
            "longest_gap_ms": message.longest_gap_ms,
            "predicted_gap_ms": call.predicted_gap_ms,
            "gap_target_ms": call.route.gap_target_ms,
        },
    )
    if outcome is calls.AttemptOutcome.DELIVERED:
        yield from _end_call(gw, call, "delivered", now_ms)
    elif outcome in (
        calls.AttemptOutcome.TIMED_OUT,
        calls.AttemptOutcome.TRUNCATED,
    ):
        yield from _end_call(gw, call, "failed", now_ms)
    else:
        barrier = _retry_barrier(gw, call, outcome, now_ms)
        if barrier is None:
            yield from gateway_state.fire(gw, call, "repeatable", now_ms)
            yield from dispatch.try_dispatch(gw, now_ms, call)
        else:
            yield dispatch.trace_refused_retry(gw, call, barrier, now_ms)
            yield from _end_unserved(gw, call, outcome, now_ms)
    yield from _serve_queue(gw, now_ms)


def _take_back(
    gw: gateway_state.Gateway, call: calls.Call, now_ms: int
) -> Iterator:
    """Return a call of which nothing was sent to the queue.

    A retry that it was counted as stays counted, which errs on the safe side.
    """
    yield Trace(
        "call.withheld",
        {
            "request_id": call.request.request_id,
            "upstream": call.upstream_id,
            "send": call.send_count,
            "took_ms": now_ms - call.sent_ms,
        },
    )
    call.send_count -= 1
    call.attempt_count -= 1
    call.tried_upstreams.discard(call.upstream_id)
    yield from gateway_state.fire(gw, call, "repeatable", now_ms)
    # Calls before it in the queue may keep it from being dispatched.
    yield from _judge_waiting(gw, call, now_ms)
    yield from _serve_queue(gw, now_ms)


def _refuse(
    call_id: int,
    req: calls.Request,
    reason: calls.Refusal,
    retry_after_ms: int,
    details: dict | None = None,
) -> Iterator:
    yield Trace(
        "call.refused",
        {
            "request_id": req.request_id,
            "reason": reason.value,
            "retry_after_ms": retry_after_ms,
            **(details or {}),
        },
    )
    yield calls.Refuse(call_id, reason, retry_after_ms)


def _fail(call: calls.Call, reason: calls.Failure) -> Iterator:
    yield Trace(
        "call.failed",
        {
            "request_id": call.request.request_id,
            "reason": reason.value,
            "upstream": call.upstream_id,
            "sends": call.send_count,
        },
    )
    yield calls.Fail(call.call_id, reason)


def _record_outcome(
    gw: gateway_state.Gateway,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
):
    """Update an upstream's health and resident models from an outcome.

    Timeouts, missing targets and requests that were not sent or that the
    upstream did not run do not count in its health.
    """
    if outcome in (
        calls.AttemptOutcome.NOT_SENT,
        calls.AttemptOutcome.TIMED_OUT,
        calls.AttemptOutcome.TARGET_MISSING,
    ):
        if (
            outcome is calls.AttemptOutcome.TARGET_MISSING
            and call.request.prompt is not None
        ):
            prompt = call.request.prompt
            presence.record_residency(
                gw.table,
                call.upstream_id,
                prompt.model,
                prompt.adapter,
                False,
                now_ms,
            )
        return
    if outcome is calls.AttemptOutcome.NOT_RUN:
        gw.full_until_ms[call.upstream_id] = now_ms + FULL_PAUSE_MS
        return
    succeeded = outcome is calls.AttemptOutcome.DELIVERED
    unreachable = outcome is calls.AttemptOutcome.UNREACHABLE
    health.record_call_end(
        _breaker(gw, call.upstream_id), succeeded, unreachable, now_ms
    )


def _breaker(gw: gateway_state.Gateway, upstream_id: str) -> health.Health:
    """Return the circuit breaker of an upstream, creating it if needed."""
    breaker = gw.upstream_health.get(upstream_id)
    if breaker is None:
        breaker = health.Health(gw.health_chart, upstream_id)
        gw.upstream_health[upstream_id] = breaker
    return breaker


def _retry_barrier(
    gw: gateway_state.Gateway,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
) -> retry_budget.Barrier | None:
    """Return why a call may not be sent again; None if it may."""
    not_executed = outcome in (
        calls.AttemptOutcome.NOT_RUN,
        calls.AttemptOutcome.TARGET_MISSING,
        calls.AttemptOutcome.NOT_SENT,
        calls.AttemptOutcome.UNREACHABLE,
    )
    if not_executed:
        # An attempt that did not run does not count toward max_attempts.
        call.attempt_count -= 1
    elif not call.route.repeatable or call.route.streaming:
        return retry_budget.Barrier.NOT_REPEATABLE
    if (
        call.attempt_count >= call.route.max_attempts
        or call.send_count >= MAX_SENDS
    ):
        return retry_budget.Barrier.ATTEMPTS
    if call.deadline_ms - now_ms < MIN_ATTEMPT_TIME_MS:
        return retry_budget.Barrier.DEADLINE
    if outcome in calls.NOTHING_SENT:
        return None
    if outcome is calls.AttemptOutcome.BROKEN and suspects.has_suspected_part(
        gw.suspect_state, call
    ):
        return retry_budget.Barrier.DEADLY_PART
    state = gateway_state.retry_account(gw, call.service, now_ms)
    is_allowed = retry_budget.allows_retry(state)
    return None if is_allowed else retry_budget.Barrier.BUDGET


def _end_unserved(
    gw: gateway_state.Gateway,
    call: calls.Call,
    outcome: calls.AttemptOutcome,
    now_ms: int,
) -> Iterator:
    """End a call that no attempt served and that may not be retried."""
    yield from _end_call(gw, call, "failed", now_ms)
    if outcome is calls.AttemptOutcome.NOT_SENT and call.attempt_count > 0:
        yield from _fail(call, calls.Failure.TIMED_OUT)
    elif outcome is calls.AttemptOutcome.BROKEN or call.attempt_count > 0:
        # An earlier attempt may have run even if the last one did not.
        yield from _fail_after_run(call)
    else:
        reason = (
            calls.Refusal.TOO_LATE
            if outcome is calls.AttemptOutcome.NOT_SENT
            else calls.Refusal.UPSTREAM_FULL
        )
        yield from _refuse(
            call.call_id,
            call.request,
            reason,
            waiting_times.retry_after_ms(gw, call, now_ms),
        )


def _fail_after_run(call: calls.Call) -> Iterator:
    """Forward the failure that an upstream answered with, if it is true."""
    # What an answer says about its own attempt is wrong for the call if
    # another attempt may have run.
    is_misleading = call.failure_denies_run and call.attempt_count > 1
    if call.failure_denies_run is None or is_misleading:
        yield from _fail(call, calls.Failure.BROKEN)
    else:
        yield calls.ForwardFailure(call.call_id)


def _end_call(
    gw: gateway_state.Gateway, call: calls.Call, event: str, now_ms: int
) -> Iterator:
    gw.active.pop(call.call_id, None)
    gw.queue.pop(call.call_id, None)
    usage_credits.forget(gw.usage, call)
    yield from gateway_state.fire(gw, call, event, now_ms)


# The queue of waiting calls.


def _serve_queue(gw: gateway_state.Gateway, now_ms: int) -> Iterator:
    if not gw.queue:
        return
    gw.served_ms = now_ms
    waiting = queue_waits.in_order(gw, now_ms)
    # A call that cannot be sent blocks later calls for the same service and
    # weights, unless only its workspace lacks credit.
    blocked: set[tuple[str, str]] = set()
    for call in waiting[:MAX_QUEUE_SCAN_CALLS]:
        blocking_key = gateway_state.lane_key(call)
        if blocking_key not in blocked:
            yield from dispatch.try_dispatch(gw, now_ms, call)
            if call.phase == "waiting" and call.wait_reason not in (
                *_HOPELESS,
                calls.Refusal.USAGE_LIMIT,
            ):
                blocked.add(blocking_key)
    for call, wait_ms in list(queue_waits.expected_waits(gw, waiting, now_ms)):
        yield from _refuse_if_unservable(gw, now_ms, call, wait_ms)


def _weights(call: calls.Call) -> str:
    """Return the model and adapter of a call; empty without a prompt."""
    prompt = call.request.prompt
    return prompt.weights if prompt is not None else ""


def _refuse_if_unservable(
    gw: gateway_state.Gateway, now_ms: int, call, wait_ms: float = 0.0
) -> Iterator:
    remaining_ms = call.deadline_ms - now_ms
    if call.wait_reason is not calls.Refusal.USAGE_LIMIT:
        usage_credits.forget(gw.usage, call)
    usage_ms = usage_credits.refusal_ms(gw.usage, call)
    is_hopeless = call.wait_reason in _HOPELESS or usage_ms > 0
    may_wait = not gw.is_shutting_down or engine_memory.is_awaiting(
        gw.memory, call
    )
    if (
        may_wait
        and not is_hopeless
        and remaining_ms >= MIN_ATTEMPT_TIME_MS
        and scheduling.should_keep_waiting(
            call, waiting_times.load_time_ms(gw, call, now_ms), now_ms, wait_ms
        )
    ):
        return
    reason = (
        calls.Refusal.STOPPING if gw.is_shutting_down else call.wait_reason
    )
    if usage_ms and not gw.is_shutting_down:
        reason = calls.Refusal.USAGE_LIMIT
    yield from _end_call(gw, call, "refused", now_ms)
    if call.attempt_count > 0:
        if is_hopeless:
            yield from _fail_after_run(call)
        else:
            yield from _fail(call, calls.Failure.TIMED_OUT)
        return
    wait_details = {
        "fingerprint": call.request.fingerprint,
        "parts": [part.part_id for part in calls.shared_parts(call)],
        "route": call.route.name,
        "weights": _weights(call),
        "waited_ms": now_ms - call.arrived_ms,
        "expected_wait_ms": round(wait_ms),
        **waiting_times.pause_details(gw, call, now_ms),
        **admission.key_details(gw, call),
    }
    if reason is calls.Refusal.USAGE_LIMIT:
        wait_details |= usage_credits.details(gw.usage, call, now_ms)
    yield from _refuse(
        call.call_id,
        call.request,
        reason,
        usage_ms or queue_waits.return_time_ms(gw, call, wait_ms, now_ms),
        wait_details,
    )


def _on_usage_answer(
    gw: gateway_state.Gateway, now_ms: int, message: usage_messages.UsageAnswer
) -> Iterator:
    if usage_asks.accept_answer(gw.usage, message, now_ms):
        yield from _serve_queue(gw, now_ms)
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
    calls.CallArrived: _on_call_arrived,
    calls.AnswerStarted: _on_answer_started,
    calls.AttemptEnded: _on_attempt_ended,
    calls.ClientDisconnected: _on_client_disconnected,
}
