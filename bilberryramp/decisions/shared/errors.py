"""Failures of calls, and the base class of exceptions.

Every failure returned to a caller has an `Outcome`, which says whether the
request ran and so whether it can be repeated safely.
"""

import dataclasses
import enum

__all__ = [
    "BilberryError",
    "CallFailure",
    "FailureCode",
    "Outcome",
    "call_failure",
]


class BilberryError(Exception):
    """Base class of the exceptions that this package defines."""


class Outcome(enum.StrEnum):
    """What is known about whether a failed request ran."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class FailureCode(enum.StrEnum):
    """Reasons for which a call fails; no others are returned to callers.

    LEAVING means that the upstream is draining, CALLER_LEFT that the caller
    closed its connection or the attempt was cancelled, ENGINE_PAUSED that the
    engines asked for a pause, BODY_TIMEOUT that a request's body was not
    complete in time. The KEY codes are about
    the request's idempotency key: KEY_RUNNING and KEY_UNKNOWN mean that the
    earlier request with the key is running or has an unknown outcome,
    KEY_MISMATCH that the key was used for a different request.
    """

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    MODEL_NOT_FOUND = "model_not_found"
    ROUTE_NOT_FOUND = "route_not_found"
    NO_UPSTREAM = "no_upstream"
    NOT_RESIDENT = "not_resident"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    WRONG_INCARNATION = "wrong_incarnation"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    SHUTTING_DOWN = "shutting_down"
    STALE_CONFIGURATION = "stale_configuration"
    QUARANTINED = "quarantined"
    UPSTREAM_LOST = "upstream_lost"
    ENGINE_CRASHED = "engine_crashed"
    ENGINE_PAUSED = "engine_paused"
    ANSWER_TOO_LARGE = "answer_too_large"
    CALLER_LEFT = "caller_left"
    CONTROL_UNAVAILABLE = "control_unavailable"
    KEY_RUNNING = "key_running"
    KEY_UNKNOWN = "key_unknown"
    KEY_EXPIRED = "key_expired"
    KEY_MISMATCH = "key_mismatch"
    KEY_REQUIRED = "key_required"


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailure:
    """A failed call, as returned to a caller or sent between processes.

    Attributes
    ----------
    code
        Reason of the failure.
    outcome
        Whether the request ran.
    message
        Human-readable description.
    retry_after_ms
        Suggested delay before a retry, in milliseconds; 0 if a retry is not
        expected to succeed.
    """

    code: FailureCode
    outcome: Outcome
    message: str
    retry_after_ms: int = 0


_RETRY_AFTER_MS = {
    FailureCode.OVERLOADED: 1000,
    FailureCode.NO_UPSTREAM: 2000,
    FailureCode.NOT_RESIDENT: 2000,
    FailureCode.STALE_CONFIGURATION: 2000,
    FailureCode.CONTROL_UNAVAILABLE: 1000,
    FailureCode.SHUTTING_DOWN: 1000,
    FailureCode.KEY_RUNNING: 1000,
}


def call_failure(
    code: FailureCode, message: str, outcome: Outcome = Outcome.NOT_RUN
) -> CallFailure:
    """Return a failure with the default retry delay for its code.

    Parameters
    ----------
    code
        Reason of the failure.
    message
        Human-readable description.
    outcome
        Whether the request ran.

    Returns
    -------
    CallFailure
        The failure; its `retry_after_ms` depends on `code` only.
    """
    delay_ms = _RETRY_AFTER_MS.get(code, 0)
    return CallFailure(code, outcome, message, delay_ms)
