"""What a node with a disk keeps of the coordinator's list of suspects.

The list is soft state: it is written after it changed, and read only by a
process that starts. If other nodes have stayed up, what they know replaces it.
"""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.fleet.quarantine import (
    coordinator_losses,
    suspect_publications,
    suspects,
)
from bilberryramp.decisions.fleet.quarantine import quarantine_messages as msgs

__all__ = ["KeepSuspects", "StoredSuspects", "keep", "restore"]

# Limit on the suspects that are kept; the others are forgotten in a restart of
# all nodes.
MAX_STORED_SUSPECTS = 64


@dataclasses.dataclass(slots=True, frozen=True)
class KeepSuspects:
    """Effect: replace the list on the disk of this node, if it has one.

    Attributes
    ----------
    suspects
        Restricted and quarantined suspects.
    gathered
        Suspects with losses that may not be published.
    """

    suspects: tuple[msgs.PublishedSuspect, ...]
    gathered: tuple[msgs.PublishedSuspect, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class StoredSuspects:
    """List of suspects on a disk.

    Attributes
    ----------
    wall_ms
        Wall-clock time at which the list was current, in milliseconds.
    suspects, gathered
        As in `KeepSuspects`, with times relative to `wall_ms`.
    """

    wall_ms: int
    suspects: tuple[msgs.PublishedSuspect, ...]
    gathered: tuple[msgs.PublishedSuspect, ...] = ()


def keep(state: suspects.Suspects, now_ms: int) -> Iterator[KeepSuspects]:
    """Keep the present list of a node.

    Parameters
    ----------
    state
        State of the node.
    now_ms
        Current time in milliseconds.

    Yields
    ------
    KeepSuspects
        The list, quarantined suspects and those with new losses first.
    """
    known = suspect_publications.known_suspects(state, now_ms)
    ranked = sorted(
        known,
        key=lambda entry: (
            entry.phase != "quarantined",
            _last_loss_ms_ago(entry),
        ),
    )
    yield KeepSuspects(
        tuple(ranked[:MAX_STORED_SUSPECTS]),
        suspect_publications.gathered_suspects(state, now_ms),
    )


def restore(
    state: suspects.Suspects,
    stored: StoredSuspects,
    wall_ms: int,
    now_ms: int,
) -> None:
    """Continue with the list that an earlier process of this node has kept.

    Suspects that a coordinator would have forgotten meanwhile are left out. A
    wall clock that was set back only lengthens quarantines.

    Parameters
    ----------
    state
        State of the node, which has just started. Modified in place.
    stored
        The list.
    wall_ms
        Current wall-clock time in milliseconds.
    now_ms
        Current time in milliseconds.
    """
    elapsed_ms = max(wall_ms - stored.wall_ms, 0)
    for entry in stored.suspects:
        state.published[entry.fingerprint] = (entry, now_ms - elapsed_ms)
    for entry in suspect_publications.known_suspects(state, now_ms):
        state.published[entry.fingerprint] = (entry, now_ms)
        if (
            not entry.remaining_ms
            and _last_loss_ms_ago(entry) > coordinator_losses.RETENTION_MS
        ):
            del state.published[entry.fingerprint]
    for entry in stored.gathered:
        state.gathered[entry.fingerprint] = (entry, now_ms - elapsed_ms)
    state.gathered = {
        entry.fingerprint: (entry, now_ms)
        for entry in suspect_publications.gathered_suspects(state, now_ms)
        if _last_loss_ms_ago(entry) <= coordinator_losses.RETENTION_MS
    }


def _last_loss_ms_ago(entry: msgs.PublishedSuspect) -> int:
    return min((loss.ended_ms_ago for loss in entry.losses), default=0)
