import unittest
from unittest import mock

from bilberryramp.decisions.entry import (
    entry_attempts,
    entry_calls,
    entry_messages,
    entry_state,
)
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


class Harness:
    """An entry together with the effects that it has emitted."""

    def __init__(self, upstream_ids=("u1", "u2", "u3"), **changes):
        view = builders.view_with_replicas(upstream_ids, **changes)
        self.entry = builders.entry(view)
        self.entry.retry_budget = 5.0
        self.now_ms = 0
        self.effects = []

    def step(self, message):
        emitted = list(entry_calls.step(self.entry, self.now_ms, message))
        self.effects.extend(emitted)
        return emitted

    def call(self, request=None):
        self.step(builders.call_arrived(request or builders.caller_request()))

    def call_each(self, prefix, count):
        for number in range(count):
            self.call(builders.caller_request(f"{prefix}{number}"))

    def break_attempts(self, prefix=""):
        """Break the attempts of the requests whose ids begin so."""
        for call in list(self.entry.calls.values()):
            if call.attempt_id and call.key.startswith(prefix):
                frame = builders.broken_answer(call.attempt_id)
                self.receive(call.upstream_id, frame)

    def fire_timers(self):
        """Fire the timers of the states that the requests are in."""
        for call in list(self.entry.calls.values()):
            self.step(role_messages.TimerFired(call.key, call.timer))

    def receive(self, upstream_id, frame):
        self.step(entry_messages.FrameArrived(upstream_id, frame))

    def answer_command(self, result, command_id="r1"):
        self.step(role_messages.CommandAnswered(command_id, result))

    def effects_of(self, cls):
        return [e for e in self.effects if isinstance(e, cls)]

    def dispatches(self):
        sends = self.effects_of(effects.Send)
        return [
            (s.to, s.message.attempt_id)
            for s in sends
            if isinstance(s.message, call_messages.Dispatch)
        ]

    def failure(self):
        return self.effects_of(entry_messages.ReplyFailure)[-1].failure

    def sent_commands(self, cls):
        sends = self.effects_of(role_messages.SendCommand)
        return [s.command for s in sends if isinstance(s.command, cls)]

    def answer(self, upstream_id, attempt_id, parts=(b"ab", b"cd")):
        """Receive a complete answer; each part is a chunk."""
        head = call_messages.AnswerHead(attempt_id, 200, "text/plain")
        self.receive(upstream_id, head)
        for number, part in enumerate(parts):
            chunk = call_messages.AnswerChunk(attempt_id, number, part)
            self.receive(upstream_id, chunk)
        end = call_messages.AnswerEnd(attempt_id, len(parts), builders.load())
        self.receive(upstream_id, end)

    def body(self):
        return b"".join(
            c.data for c in self.effects_of(entry_messages.ReplyChunk)
        )


class EnginePauseTest(unittest.TestCase):
    """Upstream processes refuse attempts while their engines pause."""

    def setUp(self):
        self.harness = Harness(("u1", "u2"))

    def call(self, request_id, now_ms):
        self.harness.now_ms = now_ms
        self.harness.call(builders.caller_request(request_id))

    def refuse(self, upstream_id, attempt_id, pause_ms):
        frame = builders.paused_attempt(attempt_id, pause_ms)
        self.harness.receive(upstream_id, frame)

    def test_later_requests_still_went_to_the_paused_engine_first(self):
        """It runs nothing, so it has the least load of all."""
        self.call("r1", 0)
        self.refuse("u1", "r1.1", 5000)
        for number in range(2, 8):
            self.call(f"r{number}", 100 * number)
        upstream_ids = [to for to, _ in self.harness.dispatches()]
        self.assertEqual(upstream_ids, ["u1"] + 7 * ["u2"])

    def test_callers_waited_although_all_engines_pause(self):
        """They are refused at once, with the earliest end."""
        self.call("r1", 0)
        self.refuse("u1", "r1.1", 5000)
        self.refuse("u2", "r1.2", 3000)
        for request_id, now_ms in (("r1", 0), ("r2", 400)):
            if now_ms:
                self.call(request_id, now_ms)
            failure = self.harness.failure()
            self.assertIs(failure.code, CODE.ENGINE_PAUSED)
            self.assertIs(failure.outcome, OUTCOME.NOT_RUN)
            self.assertEqual(failure.retry_after_ms, 3000 - now_ms)
        self.assertEqual(len(self.harness.dispatches()), 2)

    def test_refusal_after_a_loss_is_not_reported_as_not_run(self):
        self.call("r1", 0)
        self.harness.receive("u1", builders.broken_answer("r1.1"))
        self.refuse("u2", "r1.2", 5000)
        self.assertIs(self.harness.failure().outcome, OUTCOME.UNKNOWN)

    def test_engine_that_restarted_was_left_out_until_the_pauses_end(self):
        """An upstream is asked again every second."""
        self.call("r1", 0)
        self.refuse("u1", "r1.1", 500_000)
        self.call("r2", entry_attempts.PAUSE_RECHECK_MS)
        self.assertEqual(self.harness.dispatches()[-1], ("u1", "r2.1"))

    def test_new_connection_forgets_the_pause(self):
        self.call("r1", 0)
        self.refuse("u1", "r1.1", 5000)
        self.harness.step(entry_messages.LinkLost("u1"))
        self.call("r2", 10)
        self.assertEqual(self.harness.dispatches()[-1], ("u1", "r2.1"))

    def test_pause_that_ends_in_time_delays_the_request(self):
        """The upstream process queues it until the pause's end."""
        self.call("r1", 0)
        self.refuse("u1", "r1.1", 300)
        self.refuse("u2", "r1.2", 5000)
        self.call("r2", 100)
        self.assertEqual(self.harness.dispatches()[-1], ("u1", "r2.1"))

    def test_overload_beside_a_pause_is_refused_with_the_earlier_time(self):
        self.call("r1", 0)
        self.refuse("u1", "r1.1", 500)
        self.harness.receive("u2", builders.refused_attempt("r1.2"))
        failure = self.harness.failure()
        self.assertIs(failure.code, CODE.OVERLOADED)
        self.assertEqual(failure.retry_after_ms, 500)


class UnkeyedRequestTest(unittest.TestCase):
    def test_refused_request_completes_on_another_upstream(self):
        harness = Harness()
        harness.call()
        harness.receive("u1", builders.refused_attempt("r1.1"))
        self.assertEqual(
            harness.dispatches(), [("u1", "r1.1"), ("u2", "r1.2")]
        )
        harness.answer("u2", "r1.2")
        self.assertEqual(harness.body(), b"abcd")
        self.assertEqual(len(harness.effects_of(entry_messages.ReplyEnd)), 1)
        self.assertEqual(harness.entry.in_flight, {"u1": 0, "u2": 0})

    def late_frames_reach_caller(self):
        """Return whether frames of a refused attempt reach the caller."""
        harness = Harness()
        harness.call()
        harness.receive("u1", builders.refused_attempt("r1.1"))
        harness.answer("u1", "r1.1", (b"other",))
        return harness.body() != b""

    def test_frames_of_an_earlier_attempt_are_dropped(self):
        self.assertFalse(self.late_frames_reach_caller())

    def test_accepting_frames_of_any_attempt_is_detected(self):
        def any_attempt(entry, _upstream_id, attempt_id):
            return entry.calls.get(attempt_id.rpartition(".")[0])

        with mock.patch.object(entry_calls, "_find_call", any_attempt):
            self.assertTrue(self.late_frames_reach_caller())

    def test_missing_or_repeated_chunk_aborts_the_answer(self):
        for numbers in ((0, 2), (0, 0), (1,)):
            harness = Harness()
            harness.call()
            head = call_messages.AnswerHead("r1.1", 200, "text/plain")
            harness.receive("u1", head)
            for number in numbers:
                chunk = call_messages.AnswerChunk("r1.1", number, b"x")
                harness.receive("u1", chunk)
            self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)
            self.assertEqual(harness.effects_of(entry_messages.ReplyEnd), [])

    def test_refusal_after_a_loss_is_not_reported_as_not_run(self):
        harness = Harness()
        harness.call()
        harness.receive("u1", builders.broken_answer("r1.1"))
        harness.receive("u2", builders.refused_attempt("r1.2"))
        harness.receive("u3", builders.refused_attempt("r1.3"))
        self.assertEqual(harness.failure().code, CODE.OVERLOADED)
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)

    def test_attempt_ids_are_never_reused(self):
        """An upstream ignores a dispatch whose attempt id it has seen."""
        harness = Harness(("u1",))
        harness.call()
        refusal = builders.refused_attempt("r1.1", CODE.NOT_RESIDENT)
        harness.receive("u1", refusal)
        timer = harness.effects_of(effects.SetTimer)[-1]
        harness.step(role_messages.TimerFired(timer.key, timer.token))
        ids = [attempt_id for _, attempt_id in harness.dispatches()]
        self.assertEqual(len(ids), 2)
        self.assertEqual(len(set(ids)), 2)

    def test_request_fails_with_retry_after_if_all_are_overloaded(self):
        harness = Harness(("u1", "u2"))
        harness.call()
        harness.receive("u1", builders.refused_attempt("r1.1"))
        harness.receive("u2", builders.refused_attempt("r1.2"))
        self.assertEqual(harness.failure().outcome, OUTCOME.NOT_RUN)
        self.assertGreater(harness.failure().retry_after_ms, 0)

    def test_failed_request_is_not_retried_without_budget(self):
        harness = Harness()
        harness.entry.retry_budget = 0.0
        harness.call()
        harness.receive("u1", builders.broken_answer("r1.1"))
        self.assertEqual(len(harness.dispatches()), 1)
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)

    def test_retries_that_waited_exceeded_the_budget(self):
        harness = Harness(("u1",))
        harness.entry.cfg = entry_state.EntrySettings(
            "e1", retry_ratio=1.0, retry_burst=4.0
        )
        harness.call_each("a", 4)
        incarnation = harness.entry.view.upstreams["u1"].incarnation
        harness.entry.leaving["u1"] = incarnation
        harness.break_attempts()
        harness.now_ms = 1000
        harness.call_each("b", 4)
        harness.now_ms = 5000
        harness.entry.leaving.clear()
        harness.fire_timers()
        harness.break_attempts("b")
        harness.now_ms = 5050
        harness.fire_timers()
        retries = [a for _, a in harness.dispatches() if a.endswith(".2")]
        self.assertEqual(len(retries), 4)
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)

    def test_request_is_not_retried_after_the_answer_started(self):
        harness = Harness()
        harness.call()
        head = call_messages.AnswerHead("r1.1", 200, "text/plain")
        harness.receive("u1", head)
        harness.receive("u1", builders.broken_answer("r1.1"))
        self.assertEqual(len(harness.dispatches()), 1)
        self.assertEqual(harness.effects_of(entry_messages.ReplyEnd), [])

    def test_deadline_failure_says_whether_the_request_may_have_run(self):
        fired = role_messages.TimerFired("r1", 0)
        running = Harness()
        running.call()
        running.step(fired)
        self.assertEqual(running.failure().outcome, OUTCOME.UNKNOWN)
        cancels = [
            s.message.attempt_id
            for s in running.effects_of(effects.Send)
            if isinstance(s.message, call_messages.Cancel)
        ]
        self.assertEqual(cancels, ["r1.1"])
        waiting = Harness(("u1",))
        waiting.call()
        refusal = builders.refused_attempt("r1.1", CODE.NOT_RESIDENT)
        waiting.receive("u1", refusal)
        waiting.step(fired)
        self.assertEqual(waiting.failure().outcome, OUTCOME.NOT_RUN)

    def test_leaving_upstream_gets_no_further_requests(self):
        harness = Harness()
        harness.call()
        harness.receive("u1", builders.refused_attempt("r1.1", CODE.LEAVING))
        harness.call(builders.caller_request("r2"))
        harness.call(builders.caller_request("r3"))
        later = [to for to, _ in harness.dispatches()[1:]]
        self.assertNotIn("u1", later)

    def test_stale_view_refuses_unless_the_route_serves_stale(self):
        for rule, count in ((tables.StaleRule.REFUSE, 0),
                            (tables.StaleRule.SERVE, 1)):  # fmt: skip
            harness = Harness(when_stale=rule)
            harness.step(role_messages.FreshnessUpdate(False))
            harness.call()
            self.assertEqual(len(harness.dispatches()), count)


class KeyedRequestTest(unittest.TestCase):
    def harness_with_granted_key(self, upstream_ids=("u1", "u2", "u3")):
        harness = Harness(upstream_ids)
        harness.call(builders.keyed_request())
        self.assertEqual(harness.dispatches(), [])
        harness.answer_command(commands.KeyGranted(9))
        return harness

    def test_key_is_reserved_before_dispatch_and_stores_the_answer(self):
        harness = self.harness_with_granted_key()
        self.assertEqual(harness.dispatches(), [("u1", "r1.1")])
        harness.answer("u1", "r1.1")
        finish = harness.sent_commands(commands.FinishKey)[0]
        self.assertEqual((finish.ran, finish.answer.body), (True, b"abcd"))

    def dispatches_after_loss(self):
        """Return the number of dispatches after the first upstream is lost."""
        harness = self.harness_with_granted_key()
        harness.step(entry_messages.LinkLost("u1"))
        harness.answer_command(commands.Done(10))
        return len(harness.dispatches())

    def test_unknown_outcome_is_never_retried(self):
        self.assertEqual(self.dispatches_after_loss(), 1)
        harness = self.harness_with_granted_key()
        harness.step(entry_messages.LinkLost("u1"))
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)
        self.assertFalse(harness.sent_commands(commands.FinishKey)[0].ran)

    def test_retrying_an_unknown_outcome_is_detected(self):
        spec = builders.bind_chart("request", entry_calls).spec
        guards = entry_calls.guards | {"must_not_repeat": lambda _c, _p: False}
        broken = charting.bind(spec, guards, entry_calls.actions)
        with mock.patch.object(builders, "bind_chart", lambda *_: broken):
            self.assertEqual(self.dispatches_after_loss(), 2)

    def test_request_is_retried_if_the_connection_never_opened(self):
        harness = self.harness_with_granted_key()
        harness.step(entry_messages.LinkFailed("u1"))
        self.assertEqual(len(harness.dispatches()), 2)

    def test_requests_in_progress_end_when_a_stop_is_out_of_time(self):
        harness = Harness()
        harness.call(builders.caller_request("r1"))
        harness.call(builders.caller_request("r2", model="m9"))
        harness.call(builders.caller_request("r3"))
        harness.answer("u1", harness.dispatches()[0][1])
        harness.effects += entry_calls.end_all(harness.entry, 10)
        replies = harness.effects_of(entry_messages.ReplyFailure)
        self.assertEqual(
            [(r.request_id, r.failure.code) for r in replies],
            [("r2", CODE.MODEL_NOT_FOUND), ("r3", CODE.DEADLINE_EXCEEDED)],
        )
        self.assertEqual(harness.entry.calls, {})

    def test_refusal_before_the_key_lookup_has_unknown_outcome(self):
        harness = Harness()
        harness.entry.stopping = True
        harness.call(builders.keyed_request("r2"))
        self.assertEqual(harness.failure().code, CODE.SHUTTING_DOWN)
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)
        harness.call(builders.caller_request("r3"))
        self.assertEqual(harness.failure().outcome, OUTCOME.NOT_RUN)

    def test_key_is_respected_while_the_route_is_unknown(self):
        harness = Harness()
        unknown = {"model": "m9", "idempotency_key": "k1"}
        harness.call(builders.caller_request("r2", **unknown))
        self.assertEqual(harness.failure().code, CODE.MODEL_NOT_FOUND)
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)

    def test_stored_answer_is_returned_despite_quarantine(self):
        harness = Harness()
        for number in (1, 2):
            strike = commands.ReportStrike(
                "f1", f"u{number}", f"x.{number}", 0
            )
            builders.apply_to_view(harness.entry.view, strike)
        harness.call(builders.keyed_request("r2"))
        answer = commands.StoredAnswer(200, "text/plain", b"done")
        harness.answer_command(commands.KeyCompleted(answer), "r2")
        self.assertEqual(
            harness.effects_of(entry_messages.ReplyChunk)[-1].data, b"done"
        )

    def test_key_is_released_when_the_request_did_not_run(self):
        harness = self.harness_with_granted_key(("u1",))
        harness.receive("u1", builders.refused_attempt("r1.1"))
        self.assertEqual(harness.failure().outcome, OUTCOME.NOT_RUN)
        released = harness.sent_commands(commands.ReleaseKey)[0]
        self.assertEqual(released.request_id, "r1")

    def test_resend_gets_the_stored_answer_or_the_known_outcome(self):
        harness = Harness()
        harness.call(builders.keyed_request())
        answer = commands.StoredAnswer(201, "text/plain", b"kept")
        harness.answer_command(commands.KeyCompleted(answer))
        self.assertEqual(harness.body(), b"kept")
        cases = (
            (CODE.KEY_RUNNING, OUTCOME.UNKNOWN),
            (CODE.KEY_UNKNOWN, OUTCOME.UNKNOWN),
            (CODE.KEY_EXPIRED, OUTCOME.UNKNOWN),
            (CODE.KEY_MISMATCH, OUTCOME.NOT_RUN),
            (CODE.ANSWER_TOO_LARGE, OUTCOME.RAN),
        )
        for code, outcome in cases:
            harness = Harness()
            harness.call(builders.keyed_request())
            harness.answer_command(commands.KeyRefused(code))
            self.assertEqual(harness.failure().outcome, outcome)
            self.assertEqual(harness.dispatches(), [])

    def test_run_continues_after_the_caller_disconnects(self):
        harness = self.harness_with_granted_key()
        harness.step(entry_messages.CallerLeft("r1"))
        harness.answer("u1", "r1.1")
        self.assertTrue(harness.sent_commands(commands.FinishKey)[0].ran)

    def test_route_that_forbids_repeats_requires_a_key(self):
        harness = Harness(repeat_never=True)
        harness.call()
        self.assertEqual(harness.failure().code, CODE.KEY_REQUIRED)


class QuarantineTest(unittest.TestCase):
    def crash(self, harness, request_id, upstream_id, number):
        """Crash the upstream in the first attempt; record the strike."""
        attempt_id = f"{request_id}.1"
        self.assertIn((upstream_id, attempt_id), harness.dispatches())
        harness.receive(
            upstream_id, builders.broken_answer(attempt_id, crashed=True)
        )
        strike = harness.sent_commands(commands.ReportStrike)[number]
        builders.apply_to_view(harness.entry.view, strike)
        harness.answer_command(commands.Done(20 + number), request_id)

    def test_second_strike_quarantines_the_request(self):
        harness = Harness()
        harness.call()
        self.crash(harness, "r1", "u1", 0)
        self.assertEqual(harness.dispatches()[-1], ("u2", "r1.2"))
        crashed = builders.broken_answer("r1.2", crashed=True)
        harness.receive("u2", crashed)
        strike = harness.sent_commands(commands.ReportStrike)[1]
        builders.apply_to_view(harness.entry.view, strike)
        harness.answer_command(commands.Done(30))
        self.assertEqual(harness.failure().code, CODE.QUARANTINED)
        self.assertEqual(harness.failure().outcome, OUTCOME.UNKNOWN)
        harness.call(builders.caller_request("r2"))
        self.assertEqual(harness.failure().code, CODE.QUARANTINED)
        self.assertEqual(harness.failure().outcome, OUTCOME.NOT_RUN)
        self.assertEqual(len(harness.dispatches()), 2)

    def test_suspect_request_is_not_run_on_the_last_upstream(self):
        harness = Harness(("u1", "u2"))
        harness.call()
        self.crash(harness, "r1", "u1", 0)
        self.assertEqual(len(harness.dispatches()), 1)
        harness.call(builders.caller_request("r2"))
        self.assertEqual(len(harness.dispatches()), 1)
        harness.call(builders.caller_request("r3", fingerprint="f2"))
        self.assertEqual(len(harness.dispatches()), 2)

    def test_repeated_strike_report_counts_once(self):
        view = builders.view_with_replicas()
        strike = commands.ReportStrike("f", "u1", "r1.1", 5)
        builders.apply_to_view(view, strike)
        builders.apply_to_view(view, strike)
        self.assertEqual(len(view.quarantine["f"].strikes), 1)
        self.assertEqual(view.quarantine["f"].until_ms, 0)
