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
        timers = run_records.record_end(
            self.records, 0, dispatch, ended(**fields)
        )
        return list(timers)

    def reported_commands(self):
        key = run_records.SETTLE_TIMER_PREFIX + "r1.1"
        return [
            command_request.command
            for command_request in run_records.report_unsettled(
                self.records, key
            )
        ]

    def test_unkeyed_run_is_not_recorded(self):
        self.assertEqual(self.end(key=""), [])
        self.assertTrue(run_records.are_settled(self.records))

    def test_end_is_reported_if_the_entry_does_not_settle_it(self):
        (timer,) = self.end()
        self.assertEqual(timer.due_ms, run_records.SETTLE_TIMEOUT_MS)
        (command,) = self.reported_commands()
        self.assertEqual((command.ran, command.answer), (True, ANSWER))
        self.assertFalse(run_records.are_settled(self.records))
        answered = role_messages.CommandAnswered("r1.1/end", commands.Done(7))
        reported = self.records.reported
        self.assertEqual(list(unconfirmed.confirm(reported, answered)), [])
        self.assertTrue(run_records.are_settled(self.records))

    def test_settled_end_is_not_reported(self):
        self.end()
        run_records.record_settled(self.records, "r1.1")
        self.assertEqual(self.reported_commands(), [])

    def test_command_depends_on_the_outcome_of_the_failure(self):
        code = errors.FailureCode.NO_UPSTREAM
        self.end(failure=errors.call_failure(code, "x"))
        self.assertIsInstance(self.reported_commands()[0], commands.ReleaseKey)
        unknown = errors.Outcome.UNKNOWN
        self.end(failure=errors.call_failure(code, "x", unknown))
        self.assertFalse(self.reported_commands()[0].ran)

    def test_ends_beyond_the_limit_are_reported_at_once(self):
        sent_commands = []
        for number in range(run_records.MAX_UNSETTLED + 2):
            dispatch = builders.dispatch(f"r{number}.1", idempotency_key="k")
            sent_commands += [
                effect
                for effect in run_records.record_end(
                    self.records, 0, dispatch, ended()
                )
                if isinstance(effect, role_messages.SendCommand)
            ]
        self.assertEqual(
            [s.command_id for s in sent_commands], ["r0.1/end", "r1.1/end"]
        )


class UnconfirmedTest(unittest.TestCase):
    def setUp(self):
        self.commands = unconfirmed.UnconfirmedCommands()
        frame = call_messages.EndRecorded("r1.1")
        self.follow_up = effects.Send("u1", frame)
        self.send_command = unconfirmed.add(
            self.commands, "a1", commands.Noop(), self.follow_up
        )

    def confirm(self, result):
        answered = role_messages.CommandAnswered("a1", result)
        return list(unconfirmed.confirm(self.commands, answered))

    def test_unavailable_confirms_nothing(self):
        reason = commands.UnavailableReason.NOT_LEADER
        self.assertEqual(self.confirm(commands.Unavailable(reason)), [])
        resent = list(unconfirmed.resend(self.commands))
        self.assertEqual(resent, [self.send_command])

    def test_effect_after_confirmation_is_sent_once(self):
        self.assertEqual(self.confirm(commands.Done(3)), [self.follow_up])
        self.assertEqual(self.confirm(commands.Done(3)), [])
        self.assertTrue(unconfirmed.is_empty(self.commands))
