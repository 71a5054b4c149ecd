import unittest

from bilberryramp.decisions.shared import charting, effects, views
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import ledger, model_orders

KIND = model_orders.OrderKind
OUTCOME = model_orders.OrderOutcome


class Harness:
    """Orders of one engine, with the sent orders and set timers."""

    def __init__(self, fenced, chart=None, held=()):
        self.now = 0
        self.orders = builders.orders(1, 1000, fenced)
        if chart is not None:
            self.orders.chart = chart
        self.sent = []
        self.timers = []
        self.see("boot-1", held)

    def take(self, emitted):
        for effect in emitted:
            if isinstance(effect, model_orders.EngineOrder):
                self.sent.append(effect)
            elif isinstance(effect, effects.SetTimer):
                self.timers.append(effect)

    def see(self, boot_id, held=()):
        report = model_orders.EngineReport(boot_id, held, self.now)
        self.take(
            model_orders.record_engine_report(self.orders, self.now, report)
        )

    def wait(self, ms):
        until = self.now + ms
        while True:
            due = [t for t in self.timers if t.due_ms <= until]
            if not due:
                self.now = until
                return
            timer = min(due, key=lambda t: t.due_ms)
            self.timers.remove(timer)
            self.now = timer.due_ms
            self.take(
                model_orders.handle_timer(
                    self.orders, self.now, timer.key, timer.token
                )
            )

    def place(self, fence, *models):
        places = tuple(builders.place(model) for model in models)
        placement = views.Placement(fence, places)
        self.take(model_orders.reconcile(self.orders, self.now, placement))

    def answer(self, outcome=OUTCOME.CONFIRMED):
        order = self.sent[-1]
        self.take(
            model_orders.record_answer(self.orders, self.now, order, outcome)
        )
        return order

    def settle(self):
        """Complete the adoption of a running engine."""
        if self.orders.fenced:
            self.see("boot-1")
            self.answer()
        else:
            self.wait(30_000)
        self.see("boot-1")

    def phase(self, model):
        machine = self.orders.models.get(model)
        return machine.phase if machine else "gone"

    def reserved_models(self):
        return sorted(self.orders.ledger.reservations)


class ModelOrdersTest(unittest.TestCase):
    def test_second_model_waits_for_confirmed_unload(self):
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        self.assertEqual(harness.answer().kind, KIND.LOAD)
        harness.place(6, "m2")
        self.assertEqual(harness.reserved_models(), ["m1"])
        self.assertEqual(harness.phase("m2"), "wanted")
        unload = harness.answer()
        self.assertEqual(unload.kind, KIND.UNLOAD)
        self.assertGreater(unload.fence, harness.sent[-3].fence)
        self.assertEqual(harness.reserved_models(), ["m2"])

    def test_unanswered_load_stays_reserved_and_is_repeated(self):
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        first = harness.answer(OUTCOME.UNANSWERED)
        harness.place(6)
        self.assertEqual(harness.reserved_models(), ["m1"])
        harness.wait(5000)
        self.assertEqual(harness.sent[-1].kind, first.kind)
        harness.answer()
        self.assertEqual(harness.sent[-1].kind, KIND.UNLOAD)
        harness.answer()
        self.assertEqual(harness.reserved_models(), [])

    def test_older_placement_is_ignored(self):
        harness = Harness(fenced=True)
        harness.place(6, "m1")
        harness.settle()
        harness.answer()
        harness.place(5, "m2")
        self.assertEqual(harness.phase("m1"), "resident")
        self.assertEqual(harness.phase("m2"), "gone")

    def test_unload_waits_for_running_requests(self):
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        harness.answer()
        harness.orders.running["m1"] = 1
        harness.place(6)
        self.assertEqual(harness.phase("m1"), "retiring")
        harness.orders.running["m1"] = 0
        harness.take(model_orders.record_idle(harness.orders, 0, "m1"))
        self.assertEqual(harness.sent[-1].kind, KIND.UNLOAD)

    def test_engine_restart_reloads_the_model(self):
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        harness.answer()
        harness.see("boot-2")
        self.assertEqual(harness.phase("m1"), "loading")
        self.assertEqual(harness.reserved_models(), ["m1"])

    def test_restart_releases_the_memory_of_an_unplaced_model(self):
        harness = Harness(fenced=True, held=(builders.place("m9"),))
        harness.see("boot-2")
        self.assertEqual(harness.reserved_models(), [])

    def test_no_two_orders_share_a_fencing_number(self):
        """A delayed repeat must be older than the order that reversed it."""
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        harness.answer(OUTCOME.UNANSWERED)
        harness.place(6, "m2")
        harness.wait(5000)
        harness.answer()
        harness.answer()
        harness.answer()
        numbers = [order.fence for order in harness.sent]
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_load_completed_before_the_restart_was_detected(self):
        """An order may reach the restarted engine before its first report."""
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        harness.answer()
        harness.see("boot-2", (builders.place("m1"),))
        self.assertEqual(harness.phase("m1"), "resident")
        harness.see("boot-3")
        self.assertEqual(harness.phase("m1"), "loading")
        harness.answer(OUTCOME.REFUSED)
        self.assertEqual(harness.reserved_models(), ["m1"])

    def test_report_older_than_an_answer_is_ignored(self):
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        harness.now = 1000
        harness.answer()
        report = model_orders.EngineReport("boot-2", (), 900)
        harness.take(
            model_orders.record_engine_report(harness.orders, 1100, report)
        )
        self.assertEqual(harness.phase("m1"), "resident")

    def test_refusal_of_a_repeat_keeps_the_memory_reserved(self):
        """The first order may have been carried out."""
        harness = Harness(fenced=True)
        harness.place(5, "m1")
        harness.settle()
        harness.answer(OUTCOME.UNANSWERED)
        harness.wait(5000)
        harness.answer(OUTCOME.REFUSED)
        self.assertEqual(harness.reserved_models(), ["m1"])

    def late_load_can_overfill(self, chart):
        """An unanswered load reaches the engine after the model's unload."""
        harness = Harness(fenced=False, chart=chart)
        harness.place(5, "m1")
        harness.settle()
        harness.answer(OUTCOME.UNANSWERED)
        harness.wait(5000)
        harness.answer()
        harness.place(6, "m2")
        harness.answer()
        return "m2" in harness.reserved_models()

    def test_memory_stays_reserved_until_a_late_load_can_arrive(self):
        self.assertFalse(self.late_load_can_overfill(None))

    def test_releasing_the_memory_at_once_is_detected(self):
        spec = builders.bind_chart("order", model_orders).spec
        guards = model_orders.guards | {
            "late_order_possible": lambda _m, _p: False
        }
        broken = charting.bind(spec, guards, model_orders.actions)
        self.assertTrue(self.late_load_can_overfill(broken))

    def test_no_memory_is_granted_while_earlier_orders_can_arrive(self):
        for fenced in (True, False):
            harness = Harness(fenced)
            harness.place(5, "m2")
            harness.see("boot-1")
            self.assertEqual(harness.reserved_models(), [])
            if fenced:
                self.assertEqual(harness.sent[-1].place, model_orders.BARRIER)
                harness.answer()
            else:
                harness.wait(30_000)
            harness.see("boot-1", (builders.place("m1"),))
            self.assertEqual(harness.reserved_models(), ["m1"])

    def test_ledger_refuses_reservations_that_do_not_fit(self):
        granted = ledger.Ledger(2, 1000)
        self.assertTrue(
            ledger.reserve(granted, builders.place("a", (0, 1), 600))
        )
        self.assertFalse(
            ledger.reserve(granted, builders.place("b", (1,), 500))
        )
        self.assertFalse(ledger.reserve(granted, builders.place("c", (2,))))
        granted.reservations["d"] = builders.place("d", (0,), 500)
        with self.assertRaises(ledger.MemoryOvercommittedError):
            ledger.release(granted, "x")
