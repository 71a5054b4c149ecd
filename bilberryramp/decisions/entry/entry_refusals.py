"""Reasons for which an entry refuses a request before anything else."""

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
    """Find a reason to refuse a request before an upstream is chosen.

    Parameters
    ----------
    entry
        The entry.
    request
        Without its idempotency key, unless it may not be repeated.
    route
        The route it takes, if there is one.
    wall_ms
        Wall time in milliseconds.

    Returns
    -------
    CallFailure or None
        None when nothing speaks against the request.
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
    # A marked request's record is asked for first: its key may have run.
    unkeyed = not request.idempotency_key
    if unkeyed and quarantine.is_quarantined(
        entry.view, request.fingerprint, wall_ms
    ):
        return quarantine_failure()
    return None


def with_unknown_outcome(failure: errors.CallFailure) -> errors.CallFailure:
    """Leave open whether an earlier request with the key has run."""
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
    """Describe the refusal of a request that took down upstreams."""
    message = "this request took down upstreams and is refused for a while"
    return errors.call_failure(errors.FailureCode.QUARANTINED, message)
