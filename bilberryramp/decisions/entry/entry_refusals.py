"""Checks by which an entry refuses a request before any dispatch."""

import dataclasses

from bilberryramp.decisions.control import quarantine
from bilberryramp.decisions.entry import entry_messages, entry_state
from bilberryramp.decisions.shared import errors, tables

__all__ = ["early_failure", "quarantine_failure", "with_unknown_outcome"]


def early_failure(
    entry: entry_state.Entry,
    request: entry_messages.CallerRequest,
    route: tables.Route | None,
    wall_ms: int,
) -> errors.CallFailure | None:
    """Check a request before an upstream is chosen.

    Parameters
    ----------
    entry
        State of the entry.
    request
        The request; its idempotency key is empty unless the request must
        not run twice.
    route
        The route of the request; None if no route matches.
    wall_ms
        Current wall-clock time in milliseconds.

    Returns
    -------
    CallFailure or None
        The reason to refuse the request; None to accept it.
    """
    code = errors.FailureCode
    if entry.stopping:
        return errors.call_failure(code.SHUTTING_DOWN, "entry is stopping")
    if entry.view.index < 1 and not entry.fresh:
        message = "no configuration received yet"
        return errors.call_failure(code.STALE_CONFIGURATION, message)
    if route is None:
        return _no_route_failure(request)
    if not entry.fresh and route.when_stale == tables.StaleRule.REFUSE:
        message = "configuration may be out of date"
        return errors.call_failure(code.STALE_CONFIGURATION, message)
    if route.repeat_never and not request.idempotency_key:
        message = f"route {route.name} needs an Idempotency-Key"
        return errors.call_failure(code.KEY_REQUIRED, message)
    if len(entry.calls) >= entry.cfg.max_calls:
        message = "too many requests in progress"
        return errors.call_failure(code.OVERLOADED, message)
    # A keyed request may have run before and its answer may be stored, so
    # its key is looked up before the quarantine is checked.
    unkeyed = not request.idempotency_key
    if unkeyed and quarantine.is_quarantined(
        entry.view, request.fingerprint, wall_ms
    ):
        return quarantine_failure()
    return None


def with_unknown_outcome(failure: errors.CallFailure) -> errors.CallFailure:
    """Return a failure with its outcome replaced by UNKNOWN.

    For a request whose key has not been looked up: an earlier request with
    the same key may have run.

    Parameters
    ----------
    failure
        The failure; not modified.

    Returns
    -------
    CallFailure
        A copy with the outcome UNKNOWN.
    """
    return dataclasses.replace(failure, outcome=errors.Outcome.UNKNOWN)


def _no_route_failure(
    request: entry_messages.CallerRequest,
) -> errors.CallFailure:
    if request.model:
        message = f"the model {request.model!r} does not exist"
        return errors.call_failure(errors.FailureCode.MODEL_NOT_FOUND, message)
    message = f"no route leads to {request.path!r}"
    return errors.call_failure(errors.FailureCode.ROUTE_NOT_FOUND, message)


def quarantine_failure() -> errors.CallFailure:
    """Return the failure of a quarantined request."""
    message = "this request took down upstreams and is refused for a while"
    return errors.call_failure(errors.FailureCode.QUARANTINED, message)
