"""Builders of frames for tests."""

from bilberryramp.decisions.shared import call_messages


def chunk(number: int) -> call_messages.AnswerChunk:
    return call_messages.AnswerChunk("r1.1", number, b"x" * 200)
