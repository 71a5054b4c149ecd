"""Troubles of stand-in engines: requests turned away, failed or reset.

Each function returns a closure that can be a host's `choose_trouble`.
"""

import re
from collections.abc import Callable

from bilberryramp.platform import standins
from bilberryramp.soak import observations

__all__ = ["ERRORS", "choose_delay", "make_errors", "make_pauses", "pause_ms"]

# Ways in which an engine fails a request.
ERRORS = {
    "500": standins.Trouble(500, is_executed=True),
    "reset": standins.Trouble(0, is_executed=True),
    "refusal": standins.Trouble(503, says_not_executed=True),
}
# One in so many answers of a pausing engine has one of the odd values.
ODD_EVERY = 8
ODD_DELAYS = (
    ("0",),
    ("-3",),
    ("nan",),
    ("inf",),
    ("soon",),
    ("",),
    ("Sat, 05 Dec 2026 22:00:00 GMT",),
    ("1", "2"),
)
MIN_DELAY_S, MAX_DELAY_S = 0.3, 5.0
_SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?")


def pause_ms(retry_after: tuple[str, ...]) -> int:
    """Return the pause that an answer certainly asks for.

    Parameters
    ----------
    retry_after
        Values of its ``Retry-After`` headers.

    Returns
    -------
    int
        Milliseconds; 0 unless there is exactly one value, a positive number
        of seconds.
    """
    if len(retry_after) != 1 or not _SECONDS.fullmatch(retry_after[0]):
        return 0
    return int(1000 * float(retry_after[0]))


def choose_delay(rng) -> tuple[str, ...]:
    """Choose the ``Retry-After`` values of an answer, odd ones at times."""
    if rng.randrange(ODD_EVERY) == 0:
        return rng.choice(ODD_DELAYS)
    return (f"{rng.uniform(MIN_DELAY_S, MAX_DELAY_S):.2f}",)


def make_pauses(
    record: Callable,
    now_ms: Callable,
    rng,
    share: float,
    says_not_executed: bool,
    choose: Callable = choose_delay,
) -> Callable:
    """Make an engine ask for pauses.

    Parameters
    ----------
    record
        Called with a `PauseRequested` for each answer.
    now_ms
        Clock of the observations.
    rng
        Random generator.
    share
        Share of the requests that it turns away.
    says_not_executed
        Whether its answers have the header of the platform that states so.
    choose
        Called with the generator; returns the values of ``Retry-After``.

    Returns
    -------
    Callable
        Function of the ids of the engine and the request that returns a
        `standins.Trouble` or None.
    """

    def choose_trouble(upstream_id, request_id):
        if not request_id or rng.random() >= share:
            return None
        values = choose(rng)
        record(
            observations.PauseRequested(
                request_id, upstream_id, now_ms(), pause_ms(values)
            )
        )
        return standins.Trouble(
            503, says_not_executed=says_not_executed, retry_after=values
        )

    return choose_trouble


def make_errors(rng, share: float, name: str) -> Callable:
    """Make an engine fail requests.

    Parameters
    ----------
    rng
        Random generator.
    share
        Share of the requests that fail.
    name
        Key of `ERRORS`.

    Returns
    -------
    Callable
        As for `make_pauses`.
    """

    def choose_trouble(_upstream_id, request_id):
        if not request_id or rng.random() >= share:
            return None
        return ERRORS[name]

    return choose_trouble
