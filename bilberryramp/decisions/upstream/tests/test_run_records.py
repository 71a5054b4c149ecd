import unittest

from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    effects,
    errors,
    role_messages,
    unconfirmed,
)
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import run_records, upstream_messages

ANSWER = commands.StoredAnswer(200, "text/plain", b"done")


def ended(**fields):
    values = {"chunks": 1, "failure": None, "answer": ANSWER} | fields
    return upstream_messages.RunEnded("r1.1", **values)


class RunRecordsTest(unittest.TestCase):
    def setUp(self):
        self.records = run_records.RunRecords()

    def end(self, key="k1", **fields):
        dispatch = builders.dispatch("r1.1", idempotency_key=key)
        told = run_records.note_end(self.records, 0, dispatch, ended(**fields))
        return list(told)

    def told(self):
        key = run_records.SETTLE_KEY + "r1.1"
        return [
            ask.command for ask in run_records.note_timer(self.records, key)
        ]

    def test_unmarked_run_is_not_kept(self):
        self.assertEqual(self.end(key=""), [])
        self.assertTrue(run_records.are_settled(self.records))

    def test_answer_is_told_when_its_entry_does_not_settle_it(self):
        (timer,) = self.end()
        self.assertEqual(timer.due_ms, run_records.SETTLE_MS)
        (command,) = self.told()
        self.assertEqual((command.ran, command.answer), (True, ANSWER))
        self.assertFalse(run_records.are_settled(self.records))
        answered = role_messages.CommandAnswered("r1.1/end", commands.Done(7))
        waiting = self.records.told
        self.assertEqual(list(unconfirmed.confirm(waiting, answered)), [])
        self.assertTrue(run_records.are_settled(self.records))

    def test_settled_end_is_forgotten(self):
        self.end()
        run_records.note_settled(self.records, "r1.1")
        self.assertEqual(self.told(), [])

    def test_failure_tells_what_is_known(self):
        code = errors.FailureCode.NO_UPSTREAM
        self.end(failure=errors.call_failure(code, "x"))
        self.assertIsInstance(self.told()[0], commands.ReleaseKey)
        unknown = errors.Outcome.UNKNOWN
        self.end(failure=errors.call_failure(code, "x", unknown))
        self.assertFalse(self.told()[0].ran)

    def test_ends_beyond_the_limit_are_told_at_once(self):
        asked = []
        for number in range(run_records.MAX_UNSETTLED + 2):
            dispatch = builders.dispatch(f"r{number}.1", idempotency_key="k")
            asked += [
                effect
                for effect in run_records.note_end(
                    self.records, 0, dispatch, ended()
                )
                if isinstance(effect, role_messages.SendCommand)
            ]
        self.assertEqual(
            [a.command_id for a in asked], ["r0.1/end", "r1.1/end"]
        )


class UnconfirmedTest(unittest.TestCase):
    def setUp(self):
        self.waiting = unconfirmed.UnconfirmedCommands()
        settled = call_messages.EndRecorded("r1.1")
        self.settled = effects.Send("u1", settled)
        self.ask = unconfirmed.add(
            self.waiting, "a1", commands.Noop(), self.settled
        )

    def confirm(self, result):
        answered = role_messages.CommandAnswered("a1", result)
        return list(unconfirmed.confirm(self.waiting, answered))

    def test_unavailable_confirms_nothing(self):
        reason = commands.UnavailableReason.NOT_LEADER
        self.assertEqual(self.confirm(commands.Unavailable(reason)), [])
        reminded = list(unconfirmed.resend(self.waiting))
        self.assertEqual(reminded, [self.ask])

    def test_what_follows_is_sent_once(self):
        self.assertEqual(self.confirm(commands.Done(3)), [self.settled])
        self.assertEqual(self.confirm(commands.Done(3)), [])
        self.assertTrue(unconfirmed.is_empty(self.waiting))
