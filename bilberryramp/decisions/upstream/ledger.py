"""Memory promised on each accelerator of one upstream.

The upstream process owns the ledger and is the only one who may grant
memory. A holding counts from its reservation until the engine confirmed
that the model is gone.
"""

import dataclasses
from collections.abc import Iterable

from bilberryramp.decisions.shared import errors, views

__all__ = [
    "Ledger",
    "MemoryOvercommittedError",
    "fits",
    "free_mib",
    "release",
    "reserve",
]


class MemoryOvercommittedError(errors.BilberryError):
    """More memory is promised than an accelerator holds."""


@dataclasses.dataclass(slots=True)
class Ledger:
    """Holdings by model name.

    Attributes
    ----------
    accelerators, memory_mib
        Count, and usable memory of each in MiB.
    holdings
        What is promised, by model name.
    """

    accelerators: int
    memory_mib: int
    reservations: dict[str, views.ReplicaPlace] = dataclasses.field(
        default_factory=dict
    )


def free_mib(
    accelerators: int,
    memory_mib: int,
    reservations: Iterable[views.ReplicaPlace],
) -> list[int]:
    """Compute the unpromised memory of each accelerator.

    Parameters
    ----------
    accelerators, memory_mib
        Count, and memory of each in MiB.
    holdings
        The replicas that hold memory.

    Returns
    -------
    list of int
        MiB by accelerator number; negative where too much is promised.
    """
    free = [memory_mib] * accelerators
    for reservation in reservations:
        for number in reservation.accelerators:
            free[number] -= reservation.memory_mib
    return free


def fits(ledger: Ledger, place: views.ReplicaPlace) -> bool:
    """Return whether a replica can be granted its memory now.

    Parameters
    ----------
    ledger
        The ledger asked.
    place
        The replica and its accelerators.

    Returns
    -------
    bool
        False also for an accelerator number the upstream does not have.
    """
    if any(not 0 <= n < ledger.accelerators for n in place.accelerators):
        return False
    free = free_mib(
        ledger.accelerators, ledger.memory_mib, ledger.reservations.values()
    )
    return all(free[n] >= place.memory_mib for n in place.accelerators)


def reserve(ledger: Ledger, place: views.ReplicaPlace) -> bool:
    """Grant a replica its memory if it fits.

    Parameters
    ----------
    ledger
        Changed when the grant is made.
    place
        The replica and its accelerators.

    Returns
    -------
    bool
        Whether the memory is now promised to the model.

    Raises
    ------
    OverPromisedError
        When the ledger's invariant is broken; a defect, never load.
    """
    if place.model in ledger.reservations or not fits(ledger, place):
        return False
    ledger.reservations[place.model] = place
    _check_invariant(ledger)
    return True


def release(ledger: Ledger, model: str) -> None:
    """Take a model's memory back once the engine confirmed it is gone.

    Parameters
    ----------
    ledger
        Changed.
    model
        A model that may hold memory.
    """
    ledger.reservations.pop(model, None)
    _check_invariant(ledger)


def _check_invariant(ledger: Ledger) -> None:
    free = free_mib(
        ledger.accelerators, ledger.memory_mib, ledger.reservations.values()
    )
    if min(free, default=0) < 0:
        raise MemoryOvercommittedError(f"free MiB by accelerator: {free}")
