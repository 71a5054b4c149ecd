"""What an entry has control record of its requests.

Idempotency keys are claimed before a marked request is dispatched and
finished or released at its end; strikes name upstreams lost while they ran
a request.
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

RECORD_MARGIN_MS = 5000


def _ask_record(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    lease_ms = call.deadline_ms - call.began_ms + RECORD_MARGIN_MS
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
    """Describe a key that control refused.

    Parameters
    ----------
    code
        Of `commands.KeyRefused`.

    Returns
    -------
    CallFailure
        With what is known of the request that holds the key.
    """
    outcome, message = _KEY_FAILURES[code]
    return errors.call_failure(code, message, outcome)


def _release_record(
    call: entry_state.Call, _now_ms: int, _payload
) -> Iterator:
    if call.request.idempotency_key:
        command = commands.ReleaseKey(_record_key(call), call.key)
        yield _tell_end(call, command)


def _finish_unknown(
    call: entry_state.Call, _now_ms: int, _payload
) -> Iterator:
    if call.request.idempotency_key:
        command = commands.FinishKey(_record_key(call), call.key, False)
        yield _tell_end(call, command)


def _finish_record(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    if not call.request.idempotency_key:
        return
    answer = None
    if len(call.kept) <= idempotency.MAX_ANSWER_BYTES:
        answer = commands.StoredAnswer(
            call.status, call.content_type, bytes(call.kept)
        )
    command = commands.FinishKey(_record_key(call), call.key, True, answer)
    # Any other end leaves it to the upstream process to tell more.
    settled = call_messages.EndRecorded(call.attempt_id)
    yield _tell_end(call, command, effects.Send(call.upstream_id, settled))


def _tell_end(
    call: entry_state.Call, command, settled: effects.Send | None = None
) -> role_messages.SendCommand:
    """Keep the command until control has confirmed it."""
    command_id = f"{call.key}/end"
    return unconfirmed.add(call.entry.ends, command_id, command, settled)


def _report_strike(call: entry_state.Call, now_ms: int, _payload) -> Iterator:
    wall_ms = call.wall_ms + now_ms - call.began_ms
    command = commands.ReportStrike(
        call.request.fingerprint, call.upstream_id, call.attempt_id, wall_ms
    )
    yield role_messages.SendCommand(call.key, command)


actions = {
    "ask_record": _ask_record,
    "release_record": _release_record,
    "finish_unknown": _finish_unknown,
    "finish_record": _finish_record,
    "report_strike": _report_strike,
}
