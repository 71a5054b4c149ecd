"""Coordinator of the quarantine: the node that leads the register.

It gathers the losses that all nodes report, decides from the heartbeats of
the upstreams which of them ended, and publishes the requests that must not
run freely. It admits one attempt at a time of each restricted request, and of
all restricted requests of a service, so that a loss blames the right one.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.quarantine import (
    coordinator_losses,
    coordinator_memory,
    coordinator_publications,
    coordinator_state,
    coordinator_trials,
    upstream_ends,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs

__all__ = ["Tick", "resign", "start_leading", "step"]

# Intervals of the review of losses that are not decided, and of all suspects.
REVIEW_INTERVAL_MS = 100
EXPIRY_INTERVAL_MS = 1000
# Time for which a request that was cleared is not adopted from other nodes.
CLEARED_TTL_MS = 30_000


@dataclasses.dataclass(slots=True, frozen=True)
class Tick:
    """Periodic message that lets the coordinator act on elapsed time."""


def start_leading(
    coord: coordinator_state.Coordinator,
    known: tuple[msgs.PublishedSuspect, ...],
    now_ms: int,
    resumed_ms: int | None = None,
) -> Iterator:
    """Start to coordinate with what this node knows as one of the nodes.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    known
        Requests that the previous coordinator has published.
    now_ms
        Current time in milliseconds.
    resumed_ms
        When this node was last started or resumed; by default now.

    Yields
    ------
    coordinator_state.Publish
        The requests, if there are any.
    """
    if coord.is_leading:
        return
    coord.is_leading = True
    coord.listening = upstream_ends.Listening(
        now_ms, now_ms if resumed_ms is None else resumed_ms, now_ms
    )
    for entry in known:
        coordinator_memory.take_over(coord, entry, now_ms)
    if known:
        coord.changed.clear()
        coord.revision += 1
        coord.published_ms = now_ms
        yield coordinator_state.Publish(
            coordinator_publications.whole_list(coord, now_ms)
        )


def resign(coord: coordinator_state.Coordinator) -> None:
    """Stop coordinating and forget everything.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    """
    coord.is_leading = False
    for state in (
        coord.suspects,
        coord.services,
        coord.lost,
        coord.identities_at,
        coord.first_breaks_ms,
        coord.trials,
        coord.cleared_ms,
        coord.changed,
    ):
        state.clear()


def step(
    coord: coordinator_state.Coordinator, now_ms: int, message
) -> Iterator:
    """Handle one message.

    Parameters
    ----------
    coord
        State of the coordinator. Modified in place.
    now_ms
        Current time in milliseconds.
    message
        `Tick`, or a message of a node to the coordinator.

    Yields
    ------
    Send, coordinator_state.Publish, Trace
        Nothing on a node that does not lead.
    """
    if coord.is_leading:
        yield from _HANDLERS[type(message)](coord, now_ms, message)
        yield from coordinator_publications.flush(coord, now_ms)


def _on_tick(
    coord: coordinator_state.Coordinator, now_ms: int, _message
) -> Iterator:
    if now_ms - coord.reviewed_ms < REVIEW_INTERVAL_MS:
        return
    coord.reviewed_ms = now_ms
    upstream_ends.update_listening(coord.listening, coord.table, now_ms)
    yield from coordinator_losses.review_losses(coord, now_ms)
    if now_ms - coord.expired_ms >= EXPIRY_INTERVAL_MS:
        coord.expired_ms = now_ms
        yield from coordinator_losses.review_suspects(coord, now_ms)
    for fingerprint, cleared_ms in list(coord.cleared_ms.items()):
        if now_ms - cleared_ms > CLEARED_TTL_MS:
            del coord.cleared_ms[fingerprint]
    yield from coordinator_publications.remind(coord, now_ms)
    yield from coordinator_memory.remember(coord, now_ms)


_HANDLERS = {
    Tick: _on_tick,
    msgs.KnownSuspects: coordinator_memory.on_known_suspects,
    msgs.LiftSuspect: coordinator_losses.on_lift_suspect,
    msgs.ListRequest: coordinator_publications.on_list_request,
    msgs.LossReport: coordinator_losses.on_loss_report,
    msgs.RunReport: coordinator_losses.on_run_report,
    msgs.TrialEnded: coordinator_trials.on_trial_ended,
    msgs.TrialRequest: coordinator_trials.on_trial_request,
}
