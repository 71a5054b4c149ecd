"""Effects common to several roles; a role's own stand in its module."""

import dataclasses

__all__ = ["Send", "SetTimer"]


@dataclasses.dataclass(slots=True, frozen=True)
class SetTimer:
    """Call `charting.fire_timer` for a machine at a later time.

    Attributes
    ----------
    key
        The machine's key.
    token
        Tells a current timer from an outdated one.
    due_ms
        When, on the same clock as the role's `now_ms`.
    """

    key: str
    token: int
    due_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Send a message to a peer; it may be lost, late or repeated.

    Attributes
    ----------
    to
        The peer's name.
    message
        Any type that `bilberryramp.wire` registers.
    """

    to: str
    message: object
