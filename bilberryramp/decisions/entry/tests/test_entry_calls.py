import unittest
from unittest import mock

from bilberryramp.decisions.entry import entry_calls, entry_messages
from bilberryramp.decisions.shared import (
    call_messages,
    charting,
    commands,
    effects,
    errors,
    role_messages,
    tables,
)
from bilberryramp.decisions.tests import builders

CODE = errors.FailureCode
OUTCOME = errors.Outcome


class Bench:
    """One entry and what its callers, upstreams and control were sent."""

    def __init__(self, upstream_ids=("u1", "u2", "u3"), **changes):
        view = builders.view_with_replicas(upstream_ids, **changes)
        self.entry = builders.entry(view)
        self.entry.retry_budget = 5.0
        self.now = 0
        self.effects = []

    def step(self, message):
        told = list(entry_calls.step(self.entry, self.now, message))
        self.effects.extend(told)
        return told

    def call(self, request=None):
        self.step(builders.call_arrived(request or builders.caller_request()))

    def frame(self, upstream_id, frame):
        self.step(entry_messages.FrameArrived(upstream_id, frame))

    def control(self, result, command_id="r1"):
        self.step(role_messages.CommandAnswered(command_id, result))

    def of(self, cls):
        return [e for e in self.effects if isinstance(e, cls)]

    def dispatches(self):
        sends = self.of(effects.Send)
        return [
            (s.to, s.message.attempt_id)
            for s in sends
            if isinstance(s.message, call_messages.Dispatch)
        ]

    def failure(self):
        return self.of(entry_messages.ReplyFailure)[-1].failure

    def asked(self, cls):
        asks = self.of(role_messages.SendCommand)
        return [a.command for a in asks if isinstance(a.command, cls)]

    def answer(self, upstream_id, attempt_id, parts=(b"ab", b"cd")):
        head = call_messages.AnswerHead(attempt_id, 200, "text/plain")
        self.frame(upstream_id, head)
        for number, part in enumerate(parts):
            chunk = call_messages.AnswerChunk(attempt_id, number, part)
            self.frame(upstream_id, chunk)
        end = call_messages.AnswerEnd(attempt_id, len(parts), builders.load())
        self.frame(upstream_id, end)

    def body(self):
        return b"".join(c.data for c in self.of(entry_messages.ReplyChunk))


class UnmarkedTest(unittest.TestCase):
    def test_refusal_is_tried_elsewhere_and_answer_is_whole(self):
        bench = Bench()
        bench.call()
        bench.frame("u1", builders.refused_attempt("r1.1"))
        self.assertEqual(bench.dispatches(), [("u1", "r1.1"), ("u2", "r1.2")])
        bench.answer("u2", "r1.2")
        self.assertEqual(bench.body(), b"abcd")
        self.assertEqual(len(bench.of(entry_messages.ReplyEnd)), 1)
        self.assertEqual(bench.entry.own, {"u1": 0, "u2": 0})

    def late_frames_reach_caller(self):
        bench = Bench()
        bench.call()
        bench.frame("u1", builders.refused_attempt("r1.1"))
        bench.answer("u1", "r1.1", (b"other",))
        return bench.body() != b""

    def test_frames_of_an_earlier_attempt_are_dropped(self):
        self.assertFalse(self.late_frames_reach_caller())

    def test_broken_version_that_takes_any_attempt_is_caught(self):
        def any_attempt(entry, _upstream_id, attempt_id):
            return entry.calls.get(attempt_id.rpartition(".")[0])

        with mock.patch.object(entry_calls, "_call_of", any_attempt):
            self.assertTrue(self.late_frames_reach_caller())

    def test_missing_or_repeated_part_breaks_the_answer(self):
        for numbers in ((0, 2), (0, 0), (1,)):
            bench = Bench()
            bench.call()
            head = call_messages.AnswerHead("r1.1", 200, "text/plain")
            bench.frame("u1", head)
            for number in numbers:
                chunk = call_messages.AnswerChunk("r1.1", number, b"x")
                bench.frame("u1", chunk)
            self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)
            self.assertEqual(bench.of(entry_messages.ReplyEnd), [])

    def test_refusal_after_a_loss_is_not_told_as_not_run(self):
        bench = Bench()
        bench.call()
        bench.frame("u1", builders.broken_answer("r1.1"))
        bench.frame("u2", builders.refused_attempt("r1.2"))
        bench.frame("u3", builders.refused_attempt("r1.3"))
        self.assertEqual(bench.failure().code, CODE.OVERLOADED)
        self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)

    def test_attempt_ids_are_never_used_again(self):
        """An upstream drops a dispatch whose id it has seen."""
        bench = Bench(("u1",))
        bench.call()
        refusal = builders.refused_attempt("r1.1", CODE.NOT_RESIDENT)
        bench.frame("u1", refusal)
        timer = bench.of(effects.SetTimer)[-1]
        bench.step(role_messages.TimerFired(timer.key, timer.token))
        ids = [attempt_id for _, attempt_id in bench.dispatches()]
        self.assertEqual(len(ids), 2)
        self.assertEqual(len(set(ids)), 2)

    def test_all_overloaded_is_shed_with_retry_after(self):
        bench = Bench(("u1", "u2"))
        bench.call()
        bench.frame("u1", builders.refused_attempt("r1.1"))
        bench.frame("u2", builders.refused_attempt("r1.2"))
        self.assertEqual(bench.failure().outcome, OUTCOME.NOT_RUN)
        self.assertGreater(bench.failure().retry_after_ms, 0)

    def test_retries_after_failures_stop_with_the_budget(self):
        bench = Bench()
        bench.entry.retry_budget = 0.0
        bench.call()
        bench.frame("u1", builders.broken_answer("r1.1"))
        self.assertEqual(len(bench.dispatches()), 1)
        self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)

    def test_nothing_is_retried_once_bytes_have_gone_out(self):
        bench = Bench()
        bench.call()
        head = call_messages.AnswerHead("r1.1", 200, "text/plain")
        bench.frame("u1", head)
        bench.frame("u1", builders.broken_answer("r1.1"))
        self.assertEqual(len(bench.dispatches()), 1)
        self.assertEqual(bench.of(entry_messages.ReplyEnd), [])

    def test_deadline_tells_whether_it_may_have_run(self):
        fired = role_messages.TimerFired("r1", 0)
        running = Bench()
        running.call()
        running.step(fired)
        self.assertEqual(running.failure().outcome, OUTCOME.UNKNOWN)
        cancels = [
            s.message.attempt_id
            for s in running.of(effects.Send)
            if isinstance(s.message, call_messages.Cancel)
        ]
        self.assertEqual(cancels, ["r1.1"])
        waiting = Bench(("u1",))
        waiting.call()
        refusal = builders.refused_attempt("r1.1", CODE.NOT_RESIDENT)
        waiting.frame("u1", refusal)
        waiting.step(fired)
        self.assertEqual(waiting.failure().outcome, OUTCOME.NOT_RUN)

    def test_leaving_upstream_gets_no_further_request(self):
        bench = Bench()
        bench.call()
        bench.frame("u1", builders.refused_attempt("r1.1", CODE.LEAVING))
        bench.call(builders.caller_request("r2"))
        bench.call(builders.caller_request("r3"))
        later = [to for to, _ in bench.dispatches()[1:]]
        self.assertNotIn("u1", later)

    def test_stale_view_refuses_unless_the_route_says_serve(self):
        for rule, count in ((tables.StaleRule.REFUSE, 0),
                            (tables.StaleRule.SERVE, 1)):  # fmt: skip
            bench = Bench(when_stale=rule)
            bench.step(role_messages.FreshnessUpdate(False))
            bench.call()
            self.assertEqual(len(bench.dispatches()), count)


class MarkedTest(unittest.TestCase):
    def granted(self, upstream_ids=("u1", "u2", "u3")):
        bench = Bench(upstream_ids)
        bench.call(builders.keyed_request())
        self.assertEqual(bench.dispatches(), [])
        bench.control(commands.KeyGranted(9))
        return bench

    def test_record_comes_before_dispatch_and_keeps_the_answer(self):
        bench = self.granted()
        self.assertEqual(bench.dispatches(), [("u1", "r1.1")])
        bench.answer("u1", "r1.1")
        finish = bench.asked(commands.FinishKey)[0]
        self.assertEqual((finish.ran, finish.answer.body), (True, b"abcd"))

    def runs_after_loss(self):
        bench = self.granted()
        bench.step(entry_messages.LinkLost("u1"))
        bench.control(commands.Done(10))
        return len(bench.dispatches())

    def test_unknown_outcome_is_never_retried(self):
        self.assertEqual(self.runs_after_loss(), 1)
        bench = self.granted()
        bench.step(entry_messages.LinkLost("u1"))
        self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)
        self.assertFalse(bench.asked(commands.FinishKey)[0].ran)

    def test_broken_version_that_retries_is_caught(self):
        spec = builders.bind_chart("request", entry_calls).spec
        guards = entry_calls.guards | {"may_not_repeat": lambda _c, _p: False}
        broken = charting.bind(spec, guards, entry_calls.actions)
        with mock.patch.object(builders, "bind_chart", lambda *_: broken):
            self.assertEqual(self.runs_after_loss(), 2)

    def test_link_that_never_opened_is_tried_elsewhere(self):
        bench = self.granted()
        bench.step(entry_messages.LinkFailed("u1"))
        self.assertEqual(len(bench.dispatches()), 2)

    def test_refusal_before_the_record_is_read_leaves_the_outcome_open(self):
        bench = Bench()
        bench.entry.stopping = True
        bench.call(builders.keyed_request("r2"))
        self.assertEqual(bench.failure().code, CODE.SHUTTING_DOWN)
        self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)
        bench.call(builders.caller_request("r3"))
        self.assertEqual(bench.failure().outcome, OUTCOME.NOT_RUN)

    def test_key_counts_while_its_route_is_not_known(self):
        bench = Bench()
        unknown = {"model": "m9", "idempotency_key": "k1"}
        bench.call(builders.caller_request("r2", **unknown))
        self.assertEqual(bench.failure().code, CODE.MODEL_NOT_FOUND)
        self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)

    def test_quarantine_does_not_hide_a_kept_answer(self):
        bench = Bench()
        for number in (1, 2):
            strike = commands.ReportStrike(
                "f1", f"u{number}", f"x.{number}", 0
            )
            builders.apply_to_view(bench.entry.view, strike)
        bench.call(builders.keyed_request("r2"))
        answer = commands.StoredAnswer(200, "text/plain", b"done")
        bench.control(commands.KeyCompleted(answer), "r2")
        self.assertEqual(bench.of(entry_messages.ReplyChunk)[-1].data, b"done")

    def test_key_is_given_back_when_it_did_not_run(self):
        bench = self.granted(("u1",))
        bench.frame("u1", builders.refused_attempt("r1.1"))
        self.assertEqual(bench.failure().outcome, OUTCOME.NOT_RUN)
        released = bench.asked(commands.ReleaseKey)[0]
        self.assertEqual(released.request_id, "r1")

    def test_resend_gets_the_kept_answer_or_what_is_known(self):
        bench = Bench()
        bench.call(builders.keyed_request())
        answer = commands.StoredAnswer(201, "text/plain", b"kept")
        bench.control(commands.KeyCompleted(answer))
        self.assertEqual(bench.body(), b"kept")
        cases = (
            (CODE.KEY_RUNNING, OUTCOME.UNKNOWN),
            (CODE.KEY_UNKNOWN, OUTCOME.UNKNOWN),
            (CODE.KEY_EXPIRED, OUTCOME.UNKNOWN),
            (CODE.KEY_MISMATCH, OUTCOME.NOT_RUN),
            (CODE.ANSWER_TOO_LARGE, OUTCOME.RAN),
        )
        for code, outcome in cases:
            bench = Bench()
            bench.call(builders.keyed_request())
            bench.control(commands.KeyRefused(code))
            self.assertEqual(bench.failure().outcome, outcome)
            self.assertEqual(bench.dispatches(), [])

    def test_caller_who_leaves_does_not_stop_the_run(self):
        bench = self.granted()
        bench.step(entry_messages.CallerLeft("r1"))
        bench.answer("u1", "r1.1")
        self.assertTrue(bench.asked(commands.FinishKey)[0].ran)

    def test_route_that_must_not_repeat_needs_a_key(self):
        bench = Bench(repeat_never=True)
        bench.call()
        self.assertEqual(bench.failure().code, CODE.KEY_REQUIRED)


class PoisonTest(unittest.TestCase):
    def crash(self, bench, request_id, upstream_id, number):
        attempt_id = f"{request_id}.1"
        self.assertIn((upstream_id, attempt_id), bench.dispatches())
        bench.frame(
            upstream_id, builders.broken_answer(attempt_id, crashed=True)
        )
        strike = bench.asked(commands.ReportStrike)[number]
        builders.apply_to_view(bench.entry.view, strike)
        bench.control(commands.Done(20 + number), request_id)

    def test_second_strike_quarantines_everywhere(self):
        bench = Bench()
        bench.call()
        self.crash(bench, "r1", "u1", 0)
        self.assertEqual(bench.dispatches()[-1], ("u2", "r1.2"))
        crashed = builders.broken_answer("r1.2", crashed=True)
        bench.frame("u2", crashed)
        strike = bench.asked(commands.ReportStrike)[1]
        builders.apply_to_view(bench.entry.view, strike)
        bench.control(commands.Done(30))
        self.assertEqual(bench.failure().code, CODE.QUARANTINED)
        self.assertEqual(bench.failure().outcome, OUTCOME.UNKNOWN)
        bench.call(builders.caller_request("r2"))
        self.assertEqual(bench.failure().code, CODE.QUARANTINED)
        self.assertEqual(bench.failure().outcome, OUTCOME.NOT_RUN)
        self.assertEqual(len(bench.dispatches()), 2)

    def test_last_replica_is_spared(self):
        bench = Bench(("u1", "u2"))
        bench.call()
        self.crash(bench, "r1", "u1", 0)
        self.assertEqual(len(bench.dispatches()), 1)
        bench.call(builders.caller_request("r2"))
        self.assertEqual(len(bench.dispatches()), 1)
        bench.call(builders.caller_request("r3", fingerprint="f2"))
        self.assertEqual(len(bench.dispatches()), 2)

    def test_repeated_report_counts_once(self):
        view = builders.view_with_replicas()
        strike = commands.ReportStrike("f", "u1", "r1.1", 5)
        builders.apply_to_view(view, strike)
        builders.apply_to_view(view, strike)
        self.assertEqual(len(view.quarantine["f"].strikes), 1)
        self.assertEqual(view.quarantine["f"].until_ms, 0)
