import unittest

from bilberryramp.decisions.shared import charting, effects, views
from bilberryramp.decisions.tests import builders
from bilberryramp.decisions.upstream import ledger, model_orders

KIND = model_orders.OrderKind
OUTCOME = model_orders.OrderOutcome


class Bench:
    """One engine's orders, with what they led to."""

    def __init__(self, fenced, chart=None, held=()):
        self.now = 0
        self.orders = builders.orders(1, 1000, fenced)
        if chart is not None:
            self.orders.chart = chart
        self.sent = []
        self.timers = []
        self.see("boot-1", held)

    def take(self, told):
        for effect in told:
            if isinstance(effect, model_orders.EngineOrder):
                self.sent.append(effect)
            elif isinstance(effect, effects.SetTimer):
                self.timers.append(effect)

    def see(self, boot_id, held=()):
        report = model_orders.EngineReport(boot_id, held, self.now)
        self.take(model_orders.note_engine(self.orders, self.now, report))

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
                model_orders.note_timer(
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
            model_orders.note_answer(self.orders, self.now, order, outcome)
        )
        return order

    def settle(self):
        """Goes through the first contact with a running engine."""
        if self.orders.fenced:
            self.see("boot-1")
            self.answer()
        else:
            self.wait(30_000)
        self.see("boot-1")

    def phase(self, model):
        machine = self.orders.models.get(model)
        return machine.phase if machine else "gone"

    def promised(self):
        return sorted(self.orders.ledger.holdings)


class ModelOrdersTest(unittest.TestCase):
    def test_second_model_waits_for_confirmed_unload(self):
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        self.assertEqual(bench.answer().kind, KIND.LOAD)
        bench.place(6, "m2")
        self.assertEqual(bench.promised(), ["m1"])
        self.assertEqual(bench.phase("m2"), "wanted")
        unload = bench.answer()
        self.assertEqual(unload.kind, KIND.UNLOAD)
        self.assertGreater(unload.fence, bench.sent[-3].fence)
        self.assertEqual(bench.promised(), ["m2"])

    def test_lost_load_keeps_its_memory_and_is_repeated(self):
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        first = bench.answer(OUTCOME.UNANSWERED)
        bench.place(6)
        self.assertEqual(bench.promised(), ["m1"])
        bench.wait(5000)
        self.assertEqual(bench.sent[-1].kind, first.kind)
        bench.answer()
        self.assertEqual(bench.sent[-1].kind, KIND.UNLOAD)
        bench.answer()
        self.assertEqual(bench.promised(), [])

    def test_older_placement_is_ignored(self):
        bench = Bench(fenced=True)
        bench.place(6, "m1")
        bench.settle()
        bench.answer()
        bench.place(5, "m2")
        self.assertEqual(bench.phase("m1"), "resident")
        self.assertEqual(bench.phase("m2"), "gone")

    def test_running_requests_hold_back_the_unload(self):
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        bench.answer()
        bench.orders.running["m1"] = 1
        bench.place(6)
        self.assertEqual(bench.phase("m1"), "retiring")
        bench.orders.running["m1"] = 0
        bench.take(model_orders.stop_if_idle(bench.orders, 0, "m1"))
        self.assertEqual(bench.sent[-1].kind, KIND.UNLOAD)

    def test_engine_restart_loads_again(self):
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        bench.answer()
        bench.see("boot-2")
        self.assertEqual(bench.phase("m1"), "loading")
        self.assertEqual(bench.promised(), ["m1"])

    def test_engine_that_lost_an_unplaced_model(self):
        bench = Bench(fenced=True, held=(builders.place("m9"),))
        bench.see("boot-2")
        self.assertEqual(bench.promised(), [])

    def test_no_two_orders_share_a_fencing_number(self):
        """A late repeat must be older than the order that undid it."""
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        bench.answer(OUTCOME.UNANSWERED)
        bench.place(6, "m2")
        bench.wait(5000)
        bench.answer()
        bench.answer()
        bench.answer()
        numbers = [order.fence for order in bench.sent]
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_load_carried_out_before_the_restart_was_noticed(self):
        """An order may reach the new boot while the old one is believed."""
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        bench.answer()
        bench.see("boot-2", (builders.place("m1"),))
        self.assertEqual(bench.phase("m1"), "resident")
        bench.see("boot-3")
        self.assertEqual(bench.phase("m1"), "loading")
        bench.answer(OUTCOME.REFUSED)
        self.assertEqual(bench.promised(), ["m1"])

    def test_report_older_than_an_answer_is_not_trusted(self):
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        bench.now = 1000
        bench.answer()
        report = model_orders.EngineReport("boot-2", (), 900)
        bench.take(model_orders.note_engine(bench.orders, 1100, report))
        self.assertEqual(bench.phase("m1"), "resident")

    def test_refusal_of_a_repeat_proves_nothing(self):
        """The first try may have been carried out."""
        bench = Bench(fenced=True)
        bench.place(5, "m1")
        bench.settle()
        bench.answer(OUTCOME.UNANSWERED)
        bench.wait(5000)
        bench.answer(OUTCOME.REFUSED)
        self.assertEqual(bench.promised(), ["m1"])

    def late_load_can_overfill(self, chart):
        """A load that was not answered arrives after its model left."""
        bench = Bench(fenced=False, chart=chart)
        bench.place(5, "m1")
        bench.settle()
        bench.answer(OUTCOME.UNANSWERED)
        bench.wait(5000)
        bench.answer()
        bench.place(6, "m2")
        bench.answer()
        return "m2" in bench.promised()

    def test_late_load_is_waited_out(self):
        self.assertFalse(self.late_load_can_overfill(None))

    def test_broken_version_that_does_not_wait_is_caught(self):
        spec = builders.bind_chart("order", model_orders).spec
        guards = model_orders.guards | {
            "late_order_possible": lambda _m, _p: False
        }
        broken = charting.bind(spec, guards, model_orders.actions)
        self.assertTrue(self.late_load_can_overfill(broken))

    def test_orders_of_an_earlier_process_are_waited_out(self):
        for fenced in (True, False):
            bench = Bench(fenced)
            bench.place(5, "m2")
            bench.see("boot-1")
            self.assertEqual(bench.promised(), [])
            if fenced:
                self.assertEqual(bench.sent[-1].place, model_orders.BARRIER)
                bench.answer()
            else:
                bench.wait(30_000)
            bench.see("boot-1", (builders.place("m1"),))
            self.assertEqual(bench.promised(), ["m1"])

    def test_ledger_refuses_what_does_not_fit(self):
        granted = ledger.Ledger(2, 1000)
        self.assertTrue(
            ledger.reserve(granted, builders.place("a", (0, 1), 600))
        )
        self.assertFalse(
            ledger.reserve(granted, builders.place("b", (1,), 500))
        )
        self.assertFalse(ledger.reserve(granted, builders.place("c", (2,))))
        granted.holdings["d"] = builders.place("d", (0,), 500)
        with self.assertRaises(ledger.OverPromisedError):
            ledger.release(granted, "x")
