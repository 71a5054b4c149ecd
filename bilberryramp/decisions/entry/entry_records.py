"""Record idempotency keys and crashes of upstreams at control.

The key of a keyed request is reserved before its dispatch, and finished or
released at its end. A strike names an upstream that was lost while it ran a
request.
"""

from collections.abc import Iterator

from bilberryramp.decisions.control import idempotency
from bilberryramp.decisions.entry import entry_state
from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    effects,
    errors,
    role_messages,
    unconfirmed,
)

__all__ = ["actions", "key_failure"]

# The lease of a key's reservation ends this long after the deadline of its
# request. The end of the request can be recorded in that time.
KEY_LEASE_MARGIN_MS = 5000


def _reserve_key(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    lease_ms = call.deadline_ms - call.arrived_ms + KEY_LEASE_MARGIN_MS
    command = commands.ReserveKey(
        key=_record_key(call),
        request_id=call.key,
        fingerprint=call.request.fingerprint,
        at_ms=call.wall_ms,
        lease_ms=lease_ms,
    )
    yield role_messages.SendCommand(call.key, command)


def _record_key(call: entry_state.Call) -> str:
    return commands.idempotency_record_key(
        call.route.name, call.request.idempotency_key
    )


_KEY_FAILURES = {
    errors.FailureCode.KEY_RUNNING: (
        errors.Outcome.UNKNOWN,
        "a request with this key is still running",
    ),
    errors.FailureCode.KEY_UNKNOWN: (
        errors.Outcome.UNKNOWN,
        "it is not known whether the request with this key ran",
    ),
    errors.FailureCode.KEY_EXPIRED: (
        errors.Outcome.UNKNOWN,
        "this key is older than answers are kept",
    ),
    errors.FailureCode.KEY_MISMATCH: (
        errors.Outcome.NOT_RUN,
        "this key was used for another request",
    ),
    errors.FailureCode.ANSWER_TOO_LARGE: (
        errors.Outcome.RAN,
        "the request ran, but its answer was too large to keep",
    ),
}


def key_failure(code: errors.FailureCode) -> errors.CallFailure:
    """Return the failure of a request whose key control refused.

    Parameters
    ----------
    code
        Code of `commands.KeyRefused`.

    Returns
    -------
    CallFailure
        Failure with the code. Its outcome is that of the request that holds
        the key, except for `KEY_MISMATCH`: the refused request did not run.
    """
    outcome, message = _KEY_FAILURES[code]
    return errors.call_failure(code, message, outcome)


def _release_key(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    if call.request.idempotency_key:
        command = commands.ReleaseKey(_record_key(call), call.key)
        yield _report_end(call, command)


def _finish_key_unknown(
    call: entry_state.Call, _now_ms: int, _payload
) -> Iterator:
    """Record that it is not known whether the keyed request ran."""
    if call.request.idempotency_key:
        command = commands.FinishKey(_record_key(call), call.key, False)
        yield _report_end(call, command)


def _finish_key(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    """Record that the keyed request ran, with its answer if it is small."""
    if not call.request.idempotency_key:
        return
    answer = None
    if len(call.answer_body) <= idempotency.MAX_ANSWER_BYTES:
        answer = commands.StoredAnswer(
            call.status, call.content_type, bytes(call.answer_body)
        )
    command = commands.FinishKey(_record_key(call), call.key, True, answer)
    # `EndRecorded` is not sent after any other end: the upstream process may
    # know more about the end, and reports it to control itself.
    frame = call_messages.EndRecorded(call.attempt_id)
    yield _report_end(call, command, effects.Send(call.upstream_id, frame))


def _report_end(
    call: entry_state.Call, command, follow_up: effects.Send | None = None
) -> role_messages.SendCommand:
    """Return a command that is resent until control has confirmed it.

    `follow_up` is sent once control has confirmed the command.
    """
    command_id = f"{call.key}/end"
    return unconfirmed.add(
        call.entry.unconfirmed_ends, command_id, command, follow_up
    )


def _report_strike(call: entry_state.Call, now_ms: int, _payload) -> Iterator:
    wall_ms = call.wall_ms + now_ms - call.arrived_ms
    command = commands.ReportStrike(
        call.request.fingerprint, call.upstream_id, call.attempt_id, wall_ms
    )
    yield role_messages.SendCommand(call.key, command)


actions = {
    "reserve_key": _reserve_key,
    "release_key": _release_key,
    "finish_key_unknown": _finish_key_unknown,
    "finish_key": _finish_key,
    "report_strike": _report_strike,
}
