"""Actions of ``charts/request.yaml`` that send answers and failures."""

import dataclasses
from collections.abc import Iterator

from bilberryramp.decisions.control import idempotency
from bilberryramp.decisions.entry import (
    entry_messages,
    entry_refusals,
    entry_state,
)
from bilberryramp.decisions.shared import errors

__all__ = ["actions"]


def _reply_head(call: entry_state.Call, _now_ms: int, frame) -> Iterator:
    call.status, call.content_type = frame.status, frame.content_type
    yield entry_messages.ReplyHead(call.key, frame.status, frame.content_type)


def _reply_chunk(call: entry_state.Call, _now_ms: int, frame) -> Iterator:
    call.next_chunk += 1
    if call.request.idempotency_key:
        # One byte beyond the limit is collected, which shows at the end
        # that the answer is too large to be stored.

        max_bytes = idempotency.MAX_ANSWER_BYTES + 1 - len(call.answer_body)
        call.answer_body += frame.data[: max(max_bytes, 0)]
    yield entry_messages.ReplyChunk(
        call.key, call.upstream_id, call.attempt_id, frame.data
    )


def _reply_end(call: entry_state.Call, _now_ms: int, _frame) -> Iterator:
    call.failure = None
    yield entry_messages.ReplyEnd(call.key)


def _reply_stored_answer(
    call: entry_state.Call, _now_ms: int, answer
) -> Iterator:
    yield entry_messages.ReplyHead(
        call.key, answer.status, answer.content_type
    )
    yield entry_messages.ReplyChunk(call.key, "", "", answer.body)
    yield entry_messages.ReplyEnd(call.key)


def _reply_failure(call: entry_state.Call, _now_ms: int, _payload) -> Iterator:
    """Send the failure; NOT_RUN becomes UNKNOWN if the call may have run."""
    failure = call.failure
    if call.may_have_run and failure.outcome == errors.Outcome.NOT_RUN:
        failure = dataclasses.replace(failure, outcome=errors.Outcome.UNKNOWN)
    call.failure = failure
    yield entry_messages.ReplyFailure(call.key, failure)


def _reply_deadline(call: entry_state.Call, now_ms: int, payload) -> Iterator:
    running = bool(call.attempt_id)
    outcome = errors.Outcome.UNKNOWN if running else errors.Outcome.NOT_RUN
    code = errors.FailureCode.DEADLINE_EXCEEDED
    call.failure = errors.call_failure(code, "deadline exceeded", outcome)
    yield from _reply_failure(call, now_ms, payload)


def _reply_control_unavailable(
    call: entry_state.Call, now_ms: int, payload
) -> Iterator:
    code = errors.FailureCode.CONTROL_UNAVAILABLE
    message = "the key could not be recorded in time"
    call.failure = entry_refusals.with_unknown_outcome(
        errors.call_failure(code, message)
    )
    yield from _reply_failure(call, now_ms, payload)


actions = {
    "reply_head": _reply_head,
    "reply_chunk": _reply_chunk,
    "reply_end": _reply_end,
    "reply_stored_answer": _reply_stored_answer,
    "reply_failure": _reply_failure,
    "reply_deadline": _reply_deadline,
    "reply_control_unavailable": _reply_control_unavailable,
}
