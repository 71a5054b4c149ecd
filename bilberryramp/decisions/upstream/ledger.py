"""Ledger of the accelerator memory reserved for models at one upstream.

Only the upstream process, which owns the ledger, reserves memory. Memory
stays reserved until the engine has confirmed that the model is unloaded.
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
    """More memory is reserved than an accelerator has."""


@dataclasses.dataclass(slots=True)
class Ledger:
    """Memory reservations of one upstream.

    Attributes
    ----------
    accelerators, memory_mib
        Number of accelerators, and usable memory of each in MiB.
    reservations
        Replicas with reserved memory, by model name.
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
    """Compute the unreserved memory of each accelerator.

    Parameters
    ----------
    accelerators, memory_mib
        Number of accelerators, and usable memory of each in MiB.
    reservations
        Replicas with reserved memory.

    Returns
    -------
    list of int
        MiB by accelerator number; negative where the memory is
        overcommitted.
    """
    free = [memory_mib] * accelerators
    for reservation in reservations:
        for number in reservation.accelerators:
            free[number] -= reservation.memory_mib
    return free


def fits(ledger: Ledger, place: views.ReplicaPlace) -> bool:
    """Return whether a replica's memory is free on all its accelerators.

    Parameters
    ----------
    ledger
        The ledger.
    place
        The replica with its accelerators and its memory on each.

    Returns
    -------
    bool
        False also if the upstream lacks one of the accelerator numbers.
    """
    if any(not 0 <= n < ledger.accelerators for n in place.accelerators):
        return False
    free = free_mib(
        ledger.accelerators, ledger.memory_mib, ledger.reservations.values()
    )
    return all(free[n] >= place.memory_mib for n in place.accelerators)


def reserve(ledger: Ledger, place: views.ReplicaPlace) -> bool:
    """Reserve a replica's memory if it fits.

    Parameters
    ----------
    ledger
        Modified in place if the memory is reserved.
    place
        The replica with its accelerators and its memory on each.

    Returns
    -------
    bool
        Whether the memory was reserved; False also if the model already
        has a reservation.

    Raises
    ------
    MemoryOvercommittedError
        If the reservations exceed the memory, which is a programming
        error and not a result of load.
    """
    if place.model in ledger.reservations or not fits(ledger, place):
        return False
    ledger.reservations[place.model] = place
    _check_invariant(ledger)
    return True


def release(ledger: Ledger, model: str) -> None:
    """Release the memory that is reserved for a model.

    The engine must have confirmed the unload, refused the load or restarted
    without the model.

    Parameters
    ----------
    ledger
        Modified in place.
    model
        Name of the model; a model without a reservation has no effect.

    Raises
    ------
    MemoryOvercommittedError
        If the remaining reservations exceed the memory.
    """
    ledger.reservations.pop(model, None)
    _check_invariant(ledger)


def _check_invariant(ledger: Ledger) -> None:
    """Raise if more memory is reserved than an accelerator has."""
    free = free_mib(
        ledger.accelerators, ledger.memory_mib, ledger.reservations.values()
    )
    if min(free, default=0) < 0:
        raise MemoryOvercommittedError(
            f"memory overcommitted: free MiB by accelerator: {free}"
        )
