"""Effects that several roles yield."""

import dataclasses

__all__ = ["Send", "SetTimer"]


@dataclasses.dataclass(slots=True, frozen=True)
class SetTimer:
    """Effect that delivers a `role_messages.TimerFired` at a later time.

    Attributes
    ----------
    key
        Key of the state machine, see `charting.Chart`, or another name that
        the role gives the timer.
    token
        Transition count of the state machine when the timer was set, by
        which an outdated timer is recognized.
    due_ms
        When the timer expires, in milliseconds on the clock of `now_ms`.
    """

    key: str
    token: int
    due_ms: int


@dataclasses.dataclass(slots=True, frozen=True)
class Send:
    """Effect that sends a message to a peer, without guaranteed delivery.

    Attributes
    ----------
    to
        Name of the peer.
    message
        An instance of a class that `bilberryramp.wire` can encode. It may
        be lost, delayed or duplicated.
    """

    to: str
    message: object
