"""Task that keeps a node's list of suspects on its disk."""

import asyncio
import dataclasses

from bilberryramp.decisions.fleet.quarantine import suspect_memory
from bilberryramp.storage import slots
from bilberryramp.tasks import mailbox
from bilberryramp.telemetry import events

__all__ = ["SuspectStore", "open_store", "run"]

FILE_NAMES = ("suspects-a", "suspects-b")
# Minimum time between two writes.
WRITE_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class SuspectStore:
    """State of the task.

    Attributes
    ----------
    folder
        Folder of the files.
    last_write
        Number of the last write, 1 higher with each write.
    inbox
        Mailbox of the task, which receives each `StoredSuspects`.
    """

    folder: str
    last_write: int
    inbox: mailbox.Mailbox = dataclasses.field(default_factory=mailbox.Mailbox)


def open_store(
    folder: str,
) -> tuple[SuspectStore, suspect_memory.StoredSuspects | None]:
    """Read what an earlier process has kept.

    Parameters
    ----------
    folder
        Folder of the files, which need not exist.

    Returns
    -------
    tuple of (SuspectStore, StoredSuspects or None)
        State of the task, and the list; None if there is none.
    """
    last_write, stored = slots.read(
        folder, suspect_memory.StoredSuspects, FILE_NAMES
    )
    return SuspectStore(folder, last_write), stored


async def run(store: SuspectStore) -> None:
    """Write the newest list until the task is cancelled.

    The list is soft state, so nothing waits for its writes.

    Parameters
    ----------
    store
        State of the task. Modified in place.
    """
    while True:
        *_, newest = await mailbox.receive_all(store.inbox)
        # A write that failed is repeated in the same file.
        number = store.last_write + 1
        try:
            await asyncio.to_thread(
                slots.write, store.folder, number, newest, FILE_NAMES
            )
            store.last_write = number
        except OSError as exc:
            events.emit(events.STORE_WRITE_FAILED, reason=str(exc))
            if not store.inbox.messages:
                mailbox.post_now(store.inbox, newest)
        await asyncio.sleep(WRITE_INTERVAL_S)
