import unittest

from hypothesis import settings, stateful
from hypothesis import strategies as st

from bilberryramp.decisions.shared import client_memory
from bilberryramp.decisions.shared.tests import client_builders as builders

Kind, Reply = client_memory.Kind, client_memory.Reply
LARGE = 1_000_000


class WholeBudgetTest(unittest.TestCase):
    def test_process_with_one_listener_keeps_what_it_needs(self):
        budget = client_memory.whole_budget(160 * LARGE, 60 * LARGE, 300)
        self.assertEqual(budget.total_bytes, 50 * LARGE)
        self.assertEqual(budget.max_connections, 140)

    def test_process_without_room_still_has_one_connection(self):
        budget = client_memory.whole_budget(LARGE, 2 * LARGE, 10)
        self.assertEqual(
            (budget.total_bytes, budget.max_connections), (LARGE // 16, 1)
        )


class CrowdTest(unittest.TestCase):
    """A crowd of large bodies fills its part and no more."""

    def setUp(self):
        self.ledger = builders.make_ledger(total_bytes=10 * LARGE)

    def ask(self, n_bytes):
        holding = client_memory.open_holding(self.ledger, object())
        reply = client_memory.ask(self.ledger, holding, Kind.BODY, n_bytes)
        return holding, reply

    def test_crowd_of_bodies_is_bounded(self):
        replies = [self.ask(LARGE)[1] for _ in range(100)]
        self.assertLess(replies.count(Reply.GRANTED), 10)
        self.assertIn(Reply.REFUSED, replies)
        self.assertLessEqual(self.ledger.total_bytes, 10 * LARGE)

    def test_small_requests_pass_beside_a_crowd(self):
        for _ in range(20):
            self.ask(LARGE)
        _, reply = self.ask(1000)
        self.assertIs(reply, Reply.GRANTED)

    def test_freed_memory_goes_to_those_who_wait(self):
        granted = [self.ask(LARGE)[0] for _ in range(7)]
        waiting, reply = self.ask(LARGE)
        self.assertIs(reply, Reply.WAIT)
        self.assertEqual(list(client_memory.grants(self.ledger)), [])
        for holding in granted[:2]:
            client_memory.close(self.ledger, holding)
        self.assertEqual(list(client_memory.grants(self.ledger)), [waiting])
        self.assertEqual(waiting.held[Kind.BODY], LARGE)
        self.assertEqual(waiting.held[Kind.AHEAD], 0)

    def test_answers_wait_like_bodies(self):
        for _ in range(7):
            first, _ = self.ask(LARGE)
        holding = client_memory.open_holding(self.ledger, object())
        reply = client_memory.ask(self.ledger, holding, Kind.RELAY, LARGE)
        self.assertIs(reply, Reply.WAIT)
        client_memory.release(self.ledger, first, Kind.BODY)
        self.assertEqual(list(client_memory.grants(self.ledger)), [holding])
        self.assertEqual(holding.held[Kind.RELAY], LARGE)

    def test_what_can_never_fit_is_refused_at_once(self):
        _, reply = self.ask(9 * LARGE)
        self.assertIs(reply, Reply.REFUSED)


class SplitTest(unittest.TestCase):
    def test_the_largest_body_fits_on_the_smallest_instance(self):
        needs = client_memory.Descriptors(1638, 720, 50)
        budgets = client_memory.split_budget(160_000_000, 60_000_000, needs)
        ledger = client_memory.new_ledger(budgets["clients"])
        holding = client_memory.open_holding(ledger, object())
        # Twice 4 MiB: the body is kept for retries, and copied to be sent.
        reply = client_memory.ask(ledger, holding, Kind.BODY, 2 * 4 * 2**20)
        self.assertIs(reply, Reply.GRANTED)

    def test_upstreams_peers_and_operators_keep_their_descriptors(self):
        needs = client_memory.Descriptors(1638, 720, 50)
        split = client_memory.split_descriptors(needs)
        used = sum(split.values()) + 720 + 2 * 50
        self.assertLessEqual(used, 1638 - 200)
        self.assertGreater(split["clients"], 300)

    def test_process_without_free_memory_serves_small_requests(self):
        needs = client_memory.Descriptors(1638, 720, 50)
        budgets = client_memory.split_budget(160_000_000, 200_000_000, needs)
        for budget in budgets.values():
            ledger = client_memory.new_ledger(budget)
            holding = client_memory.open_holding(ledger, object())
            reply = client_memory.ask(ledger, holding, Kind.BODY, 2000)
            self.assertIs(reply, Reply.GRANTED)

    def test_few_descriptors_leave_some_for_each_listener(self):
        needs = client_memory.Descriptors(300, 490, 0)
        split = client_memory.split_descriptors(needs)
        self.assertGreater(min(split.values()), 1)
        self.assertLess(sum(split.values()), 100)


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Any order of steps; what is entered adds up, and is released whole."""

    def __init__(self):
        super().__init__()
        self.ledger = builders.make_ledger(total_bytes=10 * LARGE)
        self.holdings = []

    @stateful.rule()
    def open(self):
        if client_memory.may_open(self.ledger):
            self.holdings.append(
                client_memory.open_holding(self.ledger, object())
            )

    @stateful.precondition(lambda self: self.holdings)
    @stateful.rule(data=st.data(), n_bytes=st.integers(0, 4 * LARGE))
    def ask(self, data, n_bytes):
        holding = data.draw(st.sampled_from(self.holdings))
        if not holding.asked_bytes:
            client_memory.ask(self.ledger, holding, Kind.BODY, n_bytes)

    @stateful.precondition(lambda self: self.holdings)
    @stateful.rule(data=st.data())
    def withdraw(self, data):
        holding = data.draw(st.sampled_from(self.holdings))
        client_memory.withdraw(self.ledger, holding)

    @stateful.precondition(lambda self: self.holdings)
    @stateful.rule(data=st.data())
    def end_request(self, data):
        holding = data.draw(st.sampled_from(self.holdings))
        client_memory.withdraw(self.ledger, holding)
        client_memory.release(self.ledger, holding, Kind.BODY)
        list(client_memory.grants(self.ledger))

    @stateful.precondition(lambda self: self.holdings)
    @stateful.rule(data=st.data())
    def close(self, data):
        holding = data.draw(st.sampled_from(self.holdings))
        self.holdings.remove(holding)
        client_memory.close(self.ledger, holding)
        list(client_memory.grants(self.ledger))

    @stateful.invariant()
    def sums_agree(self):
        ledger = self.ledger
        total_bytes = sum(item.total_bytes for item in self.holdings)
        assert total_bytes == ledger.total_bytes == sum(ledger.held.values())
        assert ledger.total_bytes <= ledger.budget.total_bytes
        assert len(self.holdings) == ledger.connection_count

    def teardown(self):
        for holding in self.holdings:
            client_memory.close(self.ledger, holding)
        assert not any(self.ledger.held.values())
        assert not self.ledger.waiting
        assert not self.ledger.connection_count


LedgerMachine.TestCase.settings = settings(max_examples=50, deadline=None)
LedgerMachineTest = LedgerMachine.TestCase
