"""The coordinator's list of suspects, as one node keeps it."""

import dataclasses
from collections.abc import Iterable, Iterator

from bilberryramp.decisions.fleet.core import calls, identities
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs
from bilberryramp.decisions.fleet.quarantine import suspect_evidence, suspects

__all__ = [
    "accept_list",
    "change_coordinator",
    "check_digest",
    "gathered_suspects",
    "known_suspects",
    "to_recall",
]

REQUEST_INTERVAL_MS = 200
MAX_KNOWN_SUSPECTS = 64


def change_coordinator(
    state: suspects.Suspects, address: str, now_ms: int
) -> Iterator:
    """Report everything to a new coordinator.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    address
        Address of the coordinator; empty if there is none.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        Nothing if the coordinator is the same as before, or unknown.
    """
    if address == state.coordinator:
        return
    state.coordinator = address
    if not address:
        return
    known = known_suspects(state, now_ms)[-MAX_KNOWN_SUSPECTS:]
    if address != state.address:
        known += gathered_suspects(state, now_ms)
        state.gathered.clear()
    if known and address != state.address:
        yield suspects.ToCoordinator(msgs.KnownSuspects(known))
    state.unsent = [
        attempt.lost
        for kept in state.lost.values()
        for attempt in kept.values()
        if attempt.is_reported
    ]
    yield from suspect_evidence.send_reports(state, now_ms)
    if address != state.address:
        state.list_asked_ms = now_ms
        yield suspects.ToCoordinator(msgs.ListRequest(state.address))


def known_suspects(
    state: suspects.Suspects, now_ms: int
) -> tuple[msgs.PublishedSuspect, ...]:
    """Return the published suspects as of now.

    Parameters
    ----------
    state
        State of this node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple of PublishedSuspect
        The suspects, with times relative to `now_ms`.
    """
    return tuple(
        _age(entry, now_ms - heard_ms)
        for entry, heard_ms in state.published.values()
    )


def gathered_suspects(
    state: suspects.Suspects, now_ms: int
) -> tuple[msgs.PublishedSuspect, ...]:
    """Return the suspects with losses that may not be published as of now.

    Parameters
    ----------
    state
        State of this node.
    now_ms
        Current time in milliseconds.

    Returns
    -------
    tuple of PublishedSuspect
        The suspects, with times relative to `now_ms`, without those that ran
        well at this node after their losses.
    """
    return tuple(
        _age(entry, now_ms - heard_ms)
        for entry, heard_ms in state.gathered.values()
        if not _has_run_since(state, entry, heard_ms)
    )


def _has_run_since(
    state: suspects.Suspects, entry: msgs.PublishedSuspect, heard_ms: int
) -> bool:
    runs_ms = state.runs_ms[identities.kind_of(entry.fingerprint)]
    ran_ms = runs_ms.get(entry.fingerprint)
    return ran_ms is not None and all(
        heard_ms - loss.ended_ms_ago <= ran_ms for loss in entry.losses
    )


def _age(
    entry: msgs.PublishedSuspect, elapsed_ms: int
) -> msgs.PublishedSuspect:
    return dataclasses.replace(
        entry,
        remaining_ms=max(entry.remaining_ms - elapsed_ms, 0),
        losses=tuple(
            dataclasses.replace(
                loss,
                started_ms_ago=loss.started_ms_ago + elapsed_ms,
                ended_ms_ago=loss.ended_ms_ago + elapsed_ms,
                heard_ms_ago=loss.heard_ms_ago + elapsed_ms,
                answered_ms_ago=loss.answered_ms_ago + elapsed_ms,
            )
            for loss in entry.losses
        ),
    )


def accept_list(
    state: suspects.Suspects, message: msgs.SuspectList, now_ms: int
) -> Iterator:
    """Apply a publication of the coordinator.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    message
        The publication.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        Runs that refute a publication, and a request for the whole list if an
        earlier publication was missed.
    """
    if message.sender != state.coordinator:
        return
    if message.is_whole:
        state.published.clear()
    for entry in message.suspects:
        if entry.phase in ("restricted", "quarantined"):
            state.published[entry.fingerprint] = (entry, now_ms)
            yield from _report_remembered_run(state, entry, now_ms)
        else:
            state.published.pop(entry.fingerprint, None)
            state.lost.pop(entry.fingerprint, None)
    is_next = message.sender == state.source and message.revision in (
        state.revision,
        state.revision + 1,
    )
    if message.is_whole or is_next:
        state.source = message.sender
        state.revision = message.revision
    else:
        yield from _request_list(state, now_ms)


def _report_remembered_run(
    state: suspects.Suspects, entry: msgs.PublishedSuspect, now_ms: int
) -> Iterator:
    """Report a run that refutes a published loss, or makes it less likely.

    A run that ended after a loss refutes it. An earlier one shows that the
    part has not crashed each upstream.
    """
    kind = identities.kind_of(entry.fingerprint)
    ran_ms = state.runs_ms[kind].get(entry.fingerprint)
    if ran_ms is None:
        return
    ran_ms_ago = now_ms - ran_ms
    is_first = kind is identities.Kind.PART and not entry.has_run
    if is_first or any(
        loss.ended_ms_ago >= ran_ms_ago for loss in entry.losses
    ):
        yield suspects.ToCoordinator(
            msgs.RunReport(entry.fingerprint, ran_ms_ago)
        )


def to_recall(
    state: suspects.Suspects,
    message: msgs.SuspectList,
    active: Iterable[calls.Call],
) -> Iterator[calls.Call]:
    """Yield the calls that may be about to end further upstreams.

    Parameters
    ----------
    state
        State of this node, after the publication was applied.
    message
        Publication of the coordinator.
    active
        Calls that have not ended.

    Yields
    ------
    Call
        Calls outside of trials that upstreams have not begun to answer, with
        a part under which upstreams were lost and that never ran well, as
        far as this node and the coordinator know.
    """
    accused = {
        entry.fingerprint
        for entry in message.suspects
        if entry.fingerprint in state.published
        and not entry.has_run
        and entry.fingerprint not in state.runs_ms[identities.Kind.PART]
        and identities.kind_of(entry.fingerprint) is identities.Kind.PART
    }
    if not accused:
        return
    for call in active:
        if (
            call.phase == "sent"
            and not call.trial_id
            and not accused.isdisjoint(call.identities)
        ):
            yield call


def check_digest(
    state: suspects.Suspects, message: msgs.SuspectDigest, now_ms: int
) -> Iterator:
    """Compare a reminder with the publications that were applied.

    Parameters
    ----------
    state
        State of this node. Modified in place.
    message
        The reminder.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    suspects.ToCoordinator
        A request for the whole list, if a publication was missed.
    """
    if message.sender == state.coordinator and (
        (message.sender, message.revision) != (state.source, state.revision)
    ):
        yield from _request_list(state, now_ms)


def _request_list(state: suspects.Suspects, now_ms: int) -> Iterator:
    if now_ms - state.list_asked_ms >= REQUEST_INTERVAL_MS:
        state.list_asked_ms = now_ms
        yield suspects.ToCoordinator(msgs.ListRequest(state.address))
