import unittest

from bilberryramp.decisions.shared import (
    call_messages,
    commands,
    effects,
    errors,
    pauses,
    role_messages,
    shutdown,
    tables,
)
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import (
    admission,
    engine_pauses,
    model_orders,
    upstream_messages,
    upstream_work,
)

CODE = errors.FailureCode


class Harness:
    """An upstream process with the effects that it has emitted."""

    def __init__(self, **changes):
        self.state = builders.upstream_state(**changes)
        self.effects = []

    def step(self, message, now_ms=0):
        emitted = list(upstream_work.step(self.state, now_ms, message))
        self.effects.extend(emitted)

    def dispatch(self, attempt_id, now_ms=0, **changes):
        frame = builders.dispatch(attempt_id, **changes)
        self.step(upstream_messages.FrameArrived("e1", frame), now_ms)

    def head(self, attempt_id, now_ms=0, status=200, pause_ms=0):
        head = upstream_messages.HeadArrived(attempt_id, status, pause_ms)
        self.step(head, now_ms)

    def ask_for_pause(self, attempt_id, now_ms, pause_ms):
        """Answer a running attempt with 503 and a pause, and end it."""
        self.head(attempt_id, now_ms, 503, pause_ms)
        self.end(attempt_id, now_ms=now_ms)

    def fire_pause_timer(self):
        """Fire the latest timer of the pause's end; return its time."""
        timer = [
            e
            for e in self.effects
            if isinstance(e, effects.SetTimer)
            and e.key == engine_pauses.TIMER_KEY
        ][-1]
        fired = role_messages.TimerFired(timer.key, timer.token)
        self.step(fired, timer.due_ms)
        return timer.due_ms

    def end(self, attempt_id, failure=None, now_ms=0):
        ended = upstream_messages.RunEnded(attempt_id, 1, failure)
        self.step(ended, now_ms)

    def started(self):
        return [
            e.dispatch.attempt_id
            for e in self.effects
            if isinstance(e, upstream_messages.StartRun)
        ]

    def effects_of(self, cls):
        return [e for e in self.effects if isinstance(e, cls)]

    def failures(self):
        return {
            e.message.attempt_id: e.message.failure
            for e in self.effects_of(effects.Send)
            if isinstance(e.message, call_messages.Refused)
        }

    def refused(self):
        return {
            e.message.attempt_id: e.message.failure.code
            for e in self.effects
            if isinstance(e, effects.Send)
            and isinstance(e.message, call_messages.Refused)
        }


class UpstreamWorkTest(unittest.TestCase):
    def test_requests_fill_slots_then_queue_then_are_refused(self):
        harness = Harness(slots=2, queue_limit=1)
        for number in range(4):
            harness.dispatch(f"r{number}.1")
        self.assertEqual(harness.started(), ["r0.1", "r1.1"])
        self.assertEqual(harness.refused(), {"r3.1": CODE.OVERLOADED})
        harness.end("r0.1")
        self.assertEqual(harness.started()[-1], "r2.1")

    def test_repeated_dispatch_runs_once(self):
        harness = Harness()
        harness.dispatch("r1.1")
        harness.dispatch("r1.1")
        harness.end("r1.1")
        harness.dispatch("r1.1")
        self.assertEqual(harness.started(), ["r1.1"])

    def test_refusal_codes(self):
        cases = (
            ({"incarnation": "old"}, CODE.WRONG_INCARNATION),
            ({"model": "m9"}, CODE.NOT_RESIDENT),
        )
        for changes, code in cases:
            harness = Harness()
            harness.dispatch("r1.1", **changes)
            self.assertEqual(harness.refused(), {"r1.1": code})
        for message, code in (
            (
                role_messages.FreshnessUpdate(False),
                CODE.STALE_CONFIGURATION,
            ),
            (upstream_messages.EngineLost(), CODE.NO_UPSTREAM),
            (upstream_messages.StopRequested(), CODE.LEAVING),
        ):
            harness = Harness()
            harness.step(message)
            harness.dispatch("r1.1")
            self.assertEqual(harness.refused(), {"r1.1": code})

    def test_drain_in_the_view_refuses_new_and_queued_requests(self):
        harness = Harness(slots=1)
        harness.dispatch("r1.1")
        harness.dispatch("r2.1")
        drain = commands.DrainUpstream("u1")
        builders.apply_to_view(harness.state.view, drain)
        harness.step(upstream_messages.ViewUpdated())
        harness.dispatch("r3.1")
        self.assertEqual(
            harness.refused(), {"r2.1": CODE.LEAVING, "r3.1": CODE.LEAVING}
        )
        self.assertEqual(harness.started(), ["r1.1"])

    def test_planned_stop_waits_for_running_requests(self):
        harness = Harness()
        harness.dispatch("r1.1")
        harness.step(upstream_messages.StopRequested())
        stopped = shutdown.Stopped()
        self.assertNotIn(stopped, harness.effects)
        harness.end("r1.1")
        self.assertIn(stopped, harness.effects)

    def test_one_suspect_request_runs_at_a_time(self):
        harness = Harness()
        harness.dispatch("r1.1", suspect=True)
        harness.dispatch("r2.1", suspect=True)
        harness.dispatch("r3.1")
        self.assertEqual(harness.started(), ["r1.1", "r3.1"])
        self.assertEqual(harness.refused(), {"r2.1": CODE.OVERLOADED})

    def test_queued_request_is_refused_at_its_deadline(self):
        harness = Harness(slots=1)
        harness.dispatch("r1.1")
        harness.dispatch("r2.1", budget_ms=50)
        key = upstream_work.QUEUE_TIMER_PREFIX + "r2.1"
        harness.step(role_messages.TimerFired(key, 0), 50)
        self.assertEqual(harness.refused(), {"r2.1": CODE.DEADLINE_EXCEEDED})

    def test_lost_entry_cancels_only_unkeyed_requests(self):
        harness = Harness()
        harness.dispatch("r1.1")
        harness.dispatch("r2.1", idempotency_key="k")
        harness.step(upstream_messages.SenderLost("e1"))
        cancelled = [
            e.attempt_id
            for e in harness.effects
            if isinstance(e, upstream_messages.CancelRun)
        ]
        self.assertEqual(cancelled, ["r1.1"])


class EnginePauseTest(unittest.TestCase):
    """The engine turns requests away and wants none for some time."""

    def paused(self, pause_ms=5000, **changes):
        """Make an upstream process whose engine pauses from 100 ms on."""
        harness = Harness(**changes)
        harness.dispatch("r0.1")
        harness.ask_for_pause("r0.1", 100, pause_ms)
        return harness

    def test_attempt_that_would_wait_too_long_is_refused_truthfully(self):
        """It waited for the deadline, or ran within the pause."""
        harness = self.paused()
        harness.dispatch("r1.1", 1000)
        failure = harness.failures()["r1.1"]
        self.assertIs(failure.code, CODE.ENGINE_PAUSED)
        self.assertIs(failure.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(failure.retry_after_ms, 4100)
        self.assertEqual(harness.started(), ["r0.1"])

    def test_queued_attempts_did_not_learn_of_the_pause(self):
        """Those that can wait stay in the queue until the pause's end."""
        harness = Harness(slots=1)
        harness.dispatch("r0.1")
        harness.dispatch("r1.1", first_token_in_ms=430)
        harness.dispatch("r2.1", first_token_in_ms=9000)
        harness.dispatch("r3.1", first_token_in_ms=9000, budget_ms=5000)
        harness.ask_for_pause("r0.1", 100, 5000)
        self.assertEqual(
            harness.refused(),
            {"r1.1": CODE.ENGINE_PAUSED, "r3.1": CODE.ENGINE_PAUSED},
        )
        self.assertEqual(harness.started(), ["r0.1"])
        self.assertEqual(harness.fire_pause_timer(), 5100)
        self.assertEqual(harness.started(), ["r0.1", "r2.1"])
        (ended,) = harness.effects_of(upstream_messages.PauseEnded)
        self.assertEqual(ended, upstream_messages.PauseEnded(False, 2))

    def test_all_that_waited_started_at_once_after_the_pause(self):
        """One starts; each served answer lets one more run beside it."""
        harness = self.paused(slots=8, queue_limit=64)
        for number in range(1, 9):
            harness.dispatch(
                f"r{number}.1", 200, first_token_in_ms=60_000, budget_ms=90_000
            )
        end_ms = harness.fire_pause_timer()
        self.assertEqual(len(harness.started()), 2)
        harness.head("r1.1", end_ms + 10)
        self.assertEqual(len(harness.started()), 4)
        harness.end("r2.1", engine_failure(), end_ms + 20)
        self.assertEqual(len(harness.started()), 5)

    def test_answer_of_an_ended_attempt_pauses_nothing(self):
        harness = Harness()
        harness.dispatch("r0.1")
        harness.end("r0.1")
        harness.head("r0.1", 100, 503, 5000)
        harness.dispatch("r1.1", 200)
        self.assertEqual(harness.started(), ["r0.1", "r1.1"])

    def test_refusals_in_flight_neither_shorten_nor_stack_the_pause(self):
        harness = Harness()
        harness.dispatch("r0.1")
        harness.dispatch("r1.1")
        harness.ask_for_pause("r0.1", 100, 5000)
        harness.ask_for_pause("r1.1", 200, 1000)
        self.assertEqual(harness.fire_pause_timer(), 5100)
        began = harness.effects_of(upstream_messages.PauseBegan)
        self.assertEqual(len(began), 1)

    def test_engine_cannot_exclude_itself_for_ever(self):
        harness = self.paused(pause_ms=10**18)
        self.assertEqual(harness.fire_pause_timer(), 100 + pauses.MAX_PAUSE_MS)

    def test_broken_stream_was_resumed_within_the_pause(self):
        """A resumed read is a request to the engine as well."""
        harness = Harness()
        harness.dispatch("r1.1")
        harness.head("r1.1", 50)
        harness.dispatch("r0.1")
        harness.ask_for_pause("r0.1", 100, 5000)
        requested = upstream_messages.ResumeRequested("r1.1")
        harness.step(requested, 200)
        granted = upstream_messages.GrantResume("r1.1")
        self.assertNotIn(granted, harness.effects)
        harness.fire_pause_timer()
        self.assertIn(granted, harness.effects)

    def test_run_that_ends_while_it_waits_to_resume_is_forgotten(self):
        harness = Harness()
        harness.dispatch("r1.1")
        harness.head("r1.1", 50)
        harness.dispatch("r0.1")
        harness.ask_for_pause("r0.1", 100, 5000)
        harness.step(upstream_messages.ResumeRequested("r1.1"), 200)
        harness.end("r1.1", engine_failure(), 300)
        harness.fire_pause_timer()
        self.assertEqual(harness.effects_of(upstream_messages.GrantResume), [])
        harness.dispatch("r2.1", 6000)
        self.assertEqual(harness.started()[-1], "r2.1")

    def test_order_was_sent_to_the_engine_within_the_pause(self):
        """The chart repeats it later, as after a refusal."""
        harness = self.paused()
        state = harness.state
        unplaced = commands.PlaceReplicas("u1", ())
        builders.apply_to_view(state.view, unplaced)
        harness.step(upstream_messages.ViewUpdated(), 1000)
        self.assertEqual(state.orders.models["m1"].phase, "unloading")
        self.assertEqual(harness.effects_of(model_orders.EngineOrder), [])
        timer = [
            e
            for e in harness.effects_of(effects.SetTimer)
            if e.key == state.orders.models["m1"].key
        ][-1]
        fired = role_messages.TimerFired(timer.key, timer.token)
        harness.step(fired, 6000)
        (order,) = harness.effects_of(model_orders.EngineOrder)
        self.assertEqual(order.place.model, "m1")

    def test_new_process_of_the_engine_starts_free(self):
        harness = self.paused()
        resident = (builders.place(),)
        for boot_id, requested_ms in (("boot-1", 600), ("boot-2", 1100)):
            report = builders.engine_reported(boot_id, resident, requested_ms)
            harness.step(report, requested_ms + 5)
        (ended,) = harness.effects_of(upstream_messages.PauseEnded)
        self.assertTrue(ended.restarted)
        harness.dispatch("r1.1", 1200)
        self.assertEqual(harness.started(), ["r0.1", "r1.1"])

    def test_pause_of_the_new_process_was_taken_for_the_old_ones(self):
        """The answer may come before the first report of the new process."""
        harness = Harness()
        resident = (builders.place(),)
        harness.step(builders.engine_reported("boot-1", resident, 500), 505)
        harness.dispatch("r0.1", 900)
        harness.ask_for_pause("r0.1", 950, 5000)
        harness.step(builders.engine_reported("boot-2", resident, 1000), 1005)
        harness.dispatch("r1.1", 1200)
        self.assertEqual(harness.refused(), {"r1.1": CODE.ENGINE_PAUSED})

    def test_timer_that_comes_early_is_started_again(self):
        harness = self.paused()
        fired = role_messages.TimerFired(engine_pauses.TIMER_KEY, 5100)
        harness.step(fired, 5099)
        self.assertEqual(harness.effects_of(upstream_messages.PauseEnded), [])
        harness.fire_pause_timer()
        self.assertEqual(
            len(harness.effects_of(upstream_messages.PauseEnded)), 1
        )


def engine_failure():
    return errors.call_failure(
        CODE.ENGINE_CRASHED, "broken", errors.Outcome.UNKNOWN
    )


class AdmissionTest(unittest.TestCase):
    def item(self, key, pool, weight=1, tokens=10, **changes):
        fields = {"priority": tables.Priority.NORMAL, "deadline_ms": 100}
        fields["start_by_ms"] = 1000
        return admission.Item(key, pool, weight, tokens, **(fields | changes))

    def fill(self, queue, pool, count, **changes):
        """Offer `count` items of a pool; return what each offer evicted."""
        return [
            admission.offer(queue, self.item(f"{pool}{n}", pool, **changes))
            for n in range(count)
        ]

    def test_late_items_are_ordered_after_the_others(self):
        queue = admission.new_queue(10, slots=10)
        for key, start_by_ms in (("a", 5), ("b", 50), ("c", 8), ("d", 60)):
            admission.offer(
                queue, self.item(key, "p", start_by_ms=start_by_ms)
            )
        urgent = tables.Priority.URGENT
        urgent_late = self.item("u", "p", start_by_ms=1, priority=urgent)
        admission.offer(queue, urgent_late)
        started = [admission.start_next(queue, 20).key for _ in range(5)]
        self.assertEqual(started, ["u", "b", "d", "a", "c"])

    def test_pools_share_by_weight(self):
        queue = admission.Queue(100, slots=100)
        self.fill(queue, "a", 30, weight=3)
        self.fill(queue, "b", 30, weight=1)
        started = [admission.start_next(queue, 0).pool for _ in range(20)]
        self.assertEqual(started.count("a"), 15)

    def test_idle_pool_does_not_accumulate_share(self):
        """Pool "b" arrives late and gets half of the next starts, not all."""
        queue = admission.Queue(100, slots=100)
        self.fill(queue, "a", 10)
        for _ in range(6):
            admission.start_next(queue, 0)
        self.fill(queue, "b", 10)
        started = [admission.start_next(queue, 0).pool for _ in range(8)]
        self.assertEqual(started.count("b"), 4)

    def test_full_queue_evicts_from_the_largest_pool(self):
        queue = admission.Queue(4, slots=100)
        self.fill(queue, "a", 4)
        evicted = admission.offer(queue, self.item("b0", "b"))
        self.assertEqual(evicted.pool, "a")
        self.assertEqual(admission.length(queue), 4)

    def test_priority_then_deadline_inside_a_pool(self):
        queue = admission.Queue(10, slots=100)
        careful = tables.Priority.CAREFUL
        urgent = tables.Priority.URGENT
        admission.offer(queue, self.item("x", "a", priority=careful))
        admission.offer(queue, self.item("y", "a", deadline_ms=90))
        admission.offer(queue, self.item("z", "a", deadline_ms=50))
        admission.offer(queue, self.item("w", "a", priority=urgent))
        started = [admission.start_next(queue, 0).key for _ in range(4)]
        self.assertEqual(started, ["w", "z", "y", "x"])

    def test_removed_item_does_not_run(self):
        queue = admission.Queue(10, slots=100)
        self.fill(queue, "a", 2)
        self.assertTrue(admission.remove(queue, "a0"))
        self.assertFalse(admission.remove(queue, "a0"))
        self.assertEqual(admission.start_next(queue, 0).key, "a1")
        self.assertIsNone(admission.start_next(queue, 0))

    def test_last_slots_are_reserved_for_pools_below_their_share(self):
        # Two of the 24 slots are reserved; pool "b" is active, but idle.
        queue = admission.new_queue(100, slots=24)
        self.fill(queue, "b", 1)
        admission.start_next(queue, 0)
        admission.record_finish(queue, "b")
        self.fill(queue, "a", 30)
        for _ in range(22):
            self.assertEqual(admission.start_next(queue, 0).pool, "a")
        self.assertIsNone(admission.start_next(queue, 0))
        admission.offer(queue, self.item("b9", "b"))
        self.assertEqual(admission.start_next(queue, 0).pool, "b")

    def test_single_active_pool_may_use_every_slot(self):
        queue = admission.new_queue(100, slots=24)
        self.fill(queue, "a", 30)
        started = [admission.start_next(queue, 0) for _ in range(25)]
        self.assertEqual(started.count(None), 1)
