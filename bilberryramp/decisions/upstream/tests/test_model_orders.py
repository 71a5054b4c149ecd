import unittest

from bilberryramp.decisions.shared import charting, effects, views
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import ledger, model_orders

KIND = model_orders.OrderKind
OUTCOME = model_orders.OrderOutcome


class Harness:
    """Orders of an engine with 1000 MiB, room for one model.

    The effects are collected: `sent` holds the orders, `timers` the timers
    that have not come due.
    """

    def __init__(self, fenced, chart=None, resident_places=()):
        self.now_ms = 0
        self.orders = builders.orders(1, 1000, fenced)
        if chart is not None:
            self.orders.chart = chart
        self.sent = []
        self.timers = []
        self.report_engine("boot-1", resident_places)

    def collect(self, emitted):
        for effect in emitted:
            if isinstance(effect, model_orders.EngineOrder):
                self.sent.append(effect)
            elif isinstance(effect, effects.SetTimer):
                self.timers.append(effect)

    def report_engine(self, boot_id, resident_places=()):
        report = model_orders.EngineReport(
            boot_id, resident_places, self.now_ms
        )
        self.collect(
            model_orders.record_engine_report(self.orders, self.now_ms, report)
        )

    def advance(self, ms):
        until_ms = self.now_ms + ms
        while True:
            due = [t for t in self.timers if t.due_ms <= until_ms]
            if not due:
                self.now_ms = until_ms
                return
            timer = min(due, key=lambda t: t.due_ms)
            self.timers.remove(timer)
            self.now_ms = timer.due_ms
            self.collect(
                model_orders.handle_timer(
                    self.orders, self.now_ms, timer.key, timer.token
                )
            )

    def apply_placement(self, fence, *models):
        places = tuple(builders.place(model) for model in models)
        placement = views.Placement(fence, places)
        self.collect(
            model_orders.reconcile(self.orders, self.now_ms, placement)
        )

    def answer(self, outcome=OUTCOME.CONFIRMED):
        """Let the latest order end with an outcome; return the order."""
        order = self.sent[-1]
        self.collect(
            model_orders.record_answer(
                self.orders, self.now_ms, order, outcome
            )
        )
        return order

    def complete_adoption(self):
        """Bring the adoption of the running engine to its end."""
        if self.orders.fenced:
            self.report_engine("boot-1")
            self.answer()
        else:
            self.advance(30_000)
        self.report_engine("boot-1")

    def phase(self, model):
        machine = self.orders.models.get(model)
        return machine.phase if machine else "gone"

    def reserved_models(self):
        return sorted(self.orders.ledger.reservations)


class ModelOrdersTest(unittest.TestCase):
    def test_second_model_waits_for_confirmed_unload(self):
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        self.assertEqual(harness.answer().kind, KIND.LOAD)
        harness.apply_placement(6, "m2")
        self.assertEqual(harness.reserved_models(), ["m1"])
        self.assertEqual(harness.phase("m2"), "wanted")
        unload = harness.answer()
        self.assertEqual(unload.kind, KIND.UNLOAD)
        self.assertGreater(unload.fence, harness.sent[-3].fence)
        self.assertEqual(harness.reserved_models(), ["m2"])

    def test_unanswered_load_stays_reserved_and_is_repeated(self):
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        first = harness.answer(OUTCOME.UNANSWERED)
        harness.apply_placement(6)
        self.assertEqual(harness.reserved_models(), ["m1"])
        harness.advance(5000)
        self.assertEqual(harness.sent[-1].kind, first.kind)
        harness.answer()
        self.assertEqual(harness.sent[-1].kind, KIND.UNLOAD)
        harness.answer()
        self.assertEqual(harness.reserved_models(), [])

    def test_older_placement_is_ignored(self):
        harness = Harness(fenced=True)
        harness.apply_placement(6, "m1")
        harness.complete_adoption()
        harness.answer()
        harness.apply_placement(5, "m2")
        self.assertEqual(harness.phase("m1"), "resident")
        self.assertEqual(harness.phase("m2"), "gone")

    def test_unload_waits_for_running_requests(self):
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.answer()
        harness.orders.running["m1"] = 1
        harness.apply_placement(6)
        self.assertEqual(harness.phase("m1"), "retiring")
        harness.orders.running["m1"] = 0
        harness.collect(model_orders.record_idle(harness.orders, 0, "m1"))
        self.assertEqual(harness.sent[-1].kind, KIND.UNLOAD)

    def test_engine_restart_reloads_the_model(self):
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.answer()
        harness.report_engine("boot-2")
        self.assertEqual(harness.phase("m1"), "loading")
        self.assertEqual(harness.reserved_models(), ["m1"])

    def test_restart_releases_the_memory_of_an_unplaced_model(self):
        harness = Harness(fenced=True, resident_places=(builders.place("m9"),))
        harness.report_engine("boot-2")
        self.assertEqual(harness.reserved_models(), [])

    def test_no_two_orders_share_a_fencing_token(self):
        """A delayed repeat must be older than the order that reversed it."""
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.answer(OUTCOME.UNANSWERED)
        harness.apply_placement(6, "m2")
        harness.advance(5000)
        harness.answer()
        harness.answer()
        harness.answer()
        tokens = [order.fence for order in harness.sent]
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_load_completed_before_the_restart_was_detected(self):
        """An order may reach the restarted engine before its first report."""
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.answer()
        harness.report_engine("boot-2", (builders.place("m1"),))
        self.assertEqual(harness.phase("m1"), "resident")
        harness.report_engine("boot-3")
        self.assertEqual(harness.phase("m1"), "loading")
        harness.answer(OUTCOME.REFUSED)
        self.assertEqual(harness.reserved_models(), ["m1"])

    def test_report_older_than_an_answer_is_ignored(self):
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.now_ms = 1000
        harness.answer()
        report = model_orders.EngineReport("boot-2", (), 900)
        harness.collect(
            model_orders.record_engine_report(harness.orders, 1100, report)
        )
        self.assertEqual(harness.phase("m1"), "resident")

    def test_refusal_of_a_repeat_keeps_the_memory_reserved(self):
        """The first order may have been carried out before the refusal."""
        harness = Harness(fenced=True)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.answer(OUTCOME.UNANSWERED)
        harness.advance(5000)
        harness.answer(OUTCOME.REFUSED)
        self.assertEqual(harness.reserved_models(), ["m1"])

    def late_load_overcommits(self, chart):
        """Return whether another model gets the memory of a late load.

        The load is unanswered and may reach the engine after the unload.
        """
        harness = Harness(fenced=False, chart=chart)
        harness.apply_placement(5, "m1")
        harness.complete_adoption()
        harness.answer(OUTCOME.UNANSWERED)
        harness.advance(5000)
        harness.answer()
        harness.apply_placement(6, "m2")
        harness.answer()
        return "m2" in harness.reserved_models()

    def test_memory_stays_reserved_until_a_late_load_can_arrive(self):
        self.assertFalse(self.late_load_overcommits(None))

    def test_releasing_the_memory_at_once_is_detected(self):
        spec = builders.bind_chart("order", model_orders).spec
        guards = model_orders.guards | {
            "late_order_possible": lambda _m, _p: False
        }
        broken = charting.bind(spec, guards, model_orders.actions)
        self.assertTrue(self.late_load_overcommits(broken))

    def test_no_memory_is_granted_while_earlier_orders_can_arrive(self):
        for fenced in (True, False):
            harness = Harness(fenced)
            harness.apply_placement(5, "m2")
            harness.report_engine("boot-1")
            self.assertEqual(harness.reserved_models(), [])
            if fenced:
                self.assertEqual(harness.sent[-1].place, model_orders.BARRIER)
                harness.answer()
            else:
                harness.advance(30_000)
            harness.report_engine("boot-1", (builders.place("m1"),))
            self.assertEqual(harness.reserved_models(), ["m1"])

    def test_ledger_refuses_reservations_that_do_not_fit(self):
        memory_ledger = ledger.Ledger(2, 1000)
        self.assertTrue(
            ledger.reserve(memory_ledger, builders.place("a", (0, 1), 600))
        )
        self.assertFalse(
            ledger.reserve(memory_ledger, builders.place("b", (1,), 500))
        )
        self.assertFalse(
            ledger.reserve(memory_ledger, builders.place("c", (2,)))
        )
        memory_ledger.reservations["d"] = builders.place("d", (0,), 500)
        with self.assertRaises(ledger.MemoryOvercommittedError):
            ledger.release(memory_ledger, "x")
