"""Tests that each engine gets orders from one node, also around faults."""

import collections
import dataclasses
import unittest

from bilberryramp.decisions.fleet.core import presence
from bilberryramp.decisions.fleet.orders import agent, order_holders
from bilberryramp.decisions.fleet.tests import (
    builders,
    holder_driver,
    register_driver,
)

NOW_MS = 50_000
NO_DISKS = frozenset()
# Time until a lost holder is replaced and its successor may act: silence,
# proof and lease, and some heartbeats, ticks and reads of the engine.
MAX_PAUSE_MS = (
    order_holders.REPLACE_SILENT_AFTER_MS
    + order_holders.STANDING_VALID_MS
    + holder_driver.LEASE_MS
    + 3000
)


def make_holder(holders=("n1", "n2"), **changes):
    """Build a holder `n1` with a proved first list of holders."""
    chart = builders.bind_chart("engine_order", agent)
    holder = order_holders.new_holder("n1", chart, holder_driver.LEASE_MS)
    fields = {"list_id": (1, 4), "as_of_ms": NOW_MS} | changes
    standing = order_holders.Standing(holders, **fields)
    # The takeover of the first list has ended by now.
    send(holder, standing, NOW_MS - 10_000)
    return holder


def send(holder, message, now_ms=NOW_MS):
    return list(order_holders.step(holder, now_ms, message))


def held_engine(holders, holder="n1"):
    """Return the id of an engine that the holder orders."""
    return next(
        f"e{number}"
        for number in range(100)
        if order_holders.assign(f"e{number}", holders) == holder
    )


def announce(holder, upstream_id, now_ms=NOW_MS, **changes):
    announcement = builders.make_announcement(upstream_id, **changes)
    return send(holder, order_holders.EngineSeen(announcement), now_ms)


def report(holder, upstream_id, count, models=("m0",), now_ms=NOW_MS, **more):
    """Deliver a report of an engine and return the effects."""
    held = tuple(presence.ResidentModel(m, 1, ()) for m in models)
    born_ms = holder.engines[upstream_id].announcement.born_ms
    message = order_holders.EngineMessage(
        upstream_id, born_ms, agent.EngineReport(count, held, **more)
    )
    return send(holder, message, now_ms)


def end_order(holder, upstream_id, answer, now_ms=NOW_MS):
    born_ms = holder.engines[upstream_id].announcement.born_ms
    message = order_holders.EngineMessage(
        upstream_id, born_ms, agent.OrderEnded(answer)
    )
    return send(holder, message, now_ms)


def orders(effects):
    return [
        effect.call
        for effect in effects
        if isinstance(effect, order_holders.EngineCall)
        and isinstance(effect.call, agent.SendOrder)
    ]


def request(upstream_id, adapter="a1"):
    return builders.make_residency_request(adapter, upstream_id=upstream_id)


class PauseTest(unittest.TestCase):
    # Guards against orders and reads of an engine during its pause.

    PAUSE_MS = 4000
    END_MS = NOW_MS + PAUSE_MS

    def setUp(self):
        self.holder = make_holder()
        self.engine = held_engine(("n1", "n2"))
        announce(self.holder, self.engine)

    def pause(self, born_ms=1000):
        paused = order_holders.EnginePaused(self.engine, born_ms, self.END_MS)
        self.assertFalse(send(self.holder, paused))

    def tick(self, now_ms):
        standing = dataclasses.replace(self.holder.standing, as_of_ms=now_ms)
        send(self.holder, standing, now_ms)
        return send(self.holder, order_holders.Tick(), now_ms)

    def test_it_gets_no_orders(self):
        report(self.holder, self.engine, 0)
        self.pause()
        self.assertFalse(send(self.holder, request(self.engine)))
        self.assertFalse(self.tick(NOW_MS + 100))

    def test_it_is_not_read(self):
        self.pause()
        self.assertFalse(self.tick(self.END_MS - 1))
        self.assertTrue(self.tick(self.END_MS))

    def test_it_is_not_read_because_a_node_misses_a_model(self):
        report(self.holder, self.engine, 0)
        self.pause()
        missed = request(self.engine, adapter="")
        effects = send(self.holder, missed, NOW_MS + 3000)
        self.assertFalse(
            [e for e in effects if isinstance(e, order_holders.EngineCall)]
        )

    def test_orders_follow_when_it_is_over(self):
        report(self.holder, self.engine, 0)
        self.pause()
        self.tick(self.END_MS)
        effects = send(self.holder, request(self.engine), self.END_MS)
        self.assertTrue(orders(effects))

    def test_a_later_start_of_the_engine_is_free(self):
        self.pause()
        announce(self.holder, self.engine, born_ms=2000)
        self.assertTrue(self.tick(NOW_MS))

    def test_a_pause_of_an_earlier_start_is_ignored(self):
        announce(self.holder, self.engine, born_ms=2000)
        self.pause(born_ms=1000)
        self.assertTrue(self.tick(NOW_MS))


class AssignmentTest(unittest.TestCase):
    def test_a_lost_holder_moves_its_own_engines_only(self):
        holders = tuple(f"n{number}" for number in range(8))
        for number in range(300):
            before = order_holders.assign(f"e{number}", holders)
            after = order_holders.assign(f"e{number}", holders[1:])
            if before != "n0":
                self.assertEqual(after, before)

    def test_engines_are_spread_over_the_holders(self):
        holders = tuple(f"10.1.{n}.2:7380" for n in range(8))
        counts = collections.Counter(
            order_holders.assign(f"i-{number:08x}", holders)
            for number in range(600)
        )
        self.assertEqual(len(counts), 8)
        self.assertLess(max(counts.values()), 2 * 600 / 8)

    def test_a_silent_holder_is_replaced(self):
        heard_ms = {"n2": NOW_MS - 5000, "n3": NOW_MS - 100}
        desired = order_holders.desired_holders(
            ("n1", "n2"), "n1", heard_ms, NO_DISKS, NOW_MS, 10_000, 10_000
        )
        self.assertEqual(desired, ("n1", "n3"))

    def test_a_holder_that_answers_keeps_its_place(self):
        names = [f"n{number}" for number in range(30)]
        heard_ms = dict.fromkeys(names, NOW_MS - 100)
        holders = tuple(sorted(names[:8]))
        desired = order_holders.desired_holders(
            holders, "n29", heard_ms, NO_DISKS, NOW_MS, 10_000, 10_000
        )
        self.assertIs(desired, holders)

    def test_a_returning_holder_does_not_take_its_engines_back(self):
        """Engines that change hands twice get no orders for seconds twice."""
        heard_ms = dict.fromkeys(("n2", "n3", "n4"), NOW_MS - 100)
        for unchanged_ms, holders in (
            (10_000, ("n1", "n2")),
            (order_holders.REBALANCE_AFTER_MS, ("n1", "n2", "n3", "n4")),
        ):
            desired = order_holders.desired_holders(
                ("n1", "n2"), "n1", heard_ms, NO_DISKS, NOW_MS, 70_000,
                unchanged_ms,
            )  # fmt: skip
            self.assertEqual(desired, holders)

    def test_nodes_with_a_disk_are_preferred(self):
        heard_ms = dict.fromkeys(("n2", "n3", "n4"), NOW_MS - 100)
        desired = order_holders.desired_holders(
            (), "n1", heard_ms, frozenset({"n2", "n4"}), NOW_MS, 2000, 2000
        )
        self.assertEqual(desired, ("n2", "n4"))


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.holders = ("n1", "n2")
        self.engine = held_engine(self.holders)

    def ready_holder(self, **changes):
        holder = make_holder(self.holders, **changes)
        announce(holder, self.engine)
        send(holder, order_holders.Tick())
        report(holder, self.engine, 3)
        return holder

    def test_only_the_assigned_node_orders(self):
        other = held_engine(self.holders, "n2")
        holder = self.ready_holder()
        announce(holder, other)
        self.assertFalse(send(holder, order_holders.Tick()))
        self.assertFalse(orders(send(holder, request(other))))
        (order,) = orders(send(holder, request(self.engine)))
        self.assertEqual(order.expected_count, 3)

    def test_no_order_is_sent_without_a_recent_proof(self):
        holder = self.ready_holder()
        late_ms = NOW_MS + order_holders.STANDING_VALID_MS
        self.assertFalse(orders(send(holder, request(self.engine), late_ms)))

    def test_a_successor_waits_for_proof_and_lease(self):
        holder = make_holder(("n2",), list_id=(1, 4))
        announce(holder, self.engine)
        wait_ms = order_holders.STANDING_VALID_MS + holder_driver.LEASE_MS
        standing = order_holders.Standing(
            ("n1",), (1, 9), (1, 4), NOW_MS + wait_ms
        )
        send(holder, standing)
        send(holder, request(self.engine))
        for now_ms, is_reading in (
            (NOW_MS + wait_ms - 1, False),
            (NOW_MS + wait_ms, True),
        ):
            effects = send(holder, order_holders.Tick(), now_ms)
            self.assertIs(bool(effects), is_reading)

    def test_a_holder_that_stays_does_not_wait(self):
        changed = order_holders.Standing(
            ("n1", "n2", "n3"), (1, 9), (1, 4), NOW_MS
        )
        # The third holder takes over other engines only.
        self.engine = held_engine(changed.holders)
        holder = self.ready_holder()
        send(holder, changed)
        (order,) = orders(send(holder, request(self.engine)))
        self.assertGreater(order.fence, order_holders.FENCE_BASE + 2**31 + 4)

    def test_a_restarted_holder_of_a_settled_list_does_not_wait(self):
        """After a restart of all nodes no engine got orders for seconds."""
        chart = builders.bind_chart("engine_order", agent)
        holder = order_holders.new_holder("n1", chart, holder_driver.LEASE_MS)
        settled = order_holders.Standing(self.holders, (1, 9), (1, 4))
        holder.standing = settled
        send(holder, dataclasses.replace(settled, as_of_ms=NOW_MS))
        announce(holder, self.engine)
        self.assertTrue(send(holder, order_holders.Tick()))

    def test_a_missed_list_makes_a_holder_wait(self):
        """Between two lists that name it, another node may have acted."""
        holder = self.ready_holder()
        send(
            holder,
            order_holders.Standing(self.holders, (1, 12), (1, 9), NOW_MS),
        )
        self.assertFalse(orders(send(holder, request(self.engine))))

    def test_an_accepted_adapter_is_assumed_to_be_loaded(self):
        holder = self.ready_holder()
        send(holder, request(self.engine))
        end_order(holder, self.engine, agent.OrderAnswer.ACCEPTED)
        effects = send(
            holder, order_holders.Tick(), NOW_MS + agent.ADAPTER_LOAD_MS
        )
        (notification,) = builders.of_type(effects, agent.Notify)
        self.assertTrue(notification.message.held)
        (order,) = orders(send(holder, request(self.engine, "a2")))
        self.assertEqual(order.expected_count, 4)

    def test_an_older_report_does_not_undo_an_order(self):
        """Reports of another instance are some hundred milliseconds old."""
        holder = self.ready_holder()
        send(holder, request(self.engine))
        end_order(holder, self.engine, agent.OrderAnswer.ACCEPTED)
        later_ms = NOW_MS + agent.ADAPTER_LOAD_MS
        send(holder, order_holders.Tick(), later_ms)
        report(holder, self.engine, 3, now_ms=later_ms)
        effects = send(holder, request(self.engine), later_ms)
        self.assertFalse(orders(effects))
        self.assertTrue(builders.of_type(effects, agent.Notify))

    def test_no_order_is_sent_while_a_model_is_loaded(self):
        holder = self.ready_holder()
        req = builders.make_residency_request(
            "", model="m4", upstream_id=self.engine
        )
        send(holder, req)
        end_order(holder, self.engine, agent.OrderAnswer.ACCEPTED)
        self.assertFalse(orders(send(holder, request(self.engine))))
        held = (
            presence.ResidentModel("m0", 1, ()),
            presence.ResidentModel("m4", 1, ()),
        )
        effects = announce(holder, self.engine, held=held, seq=9)
        self.assertEqual(len(orders(effects)), 1)

    def test_a_load_follows_an_unload_without_a_report(self):
        """Waiting for old reports took over a second in each move."""
        holder = self.ready_holder()
        held = ("m0", "m1", "m2", "m3")
        report(holder, self.engine, 3, held)
        req = builders.make_residency_request(
            "", model="m4", spare=(("m2", ""),), upstream_id=self.engine
        )
        (order,) = orders(send(holder, req))
        self.assertEqual((order.load, order.model), (False, "m2"))
        end_order(holder, self.engine, agent.OrderAnswer.ACCEPTED)
        for tries in range(1, 4):
            now_ms = NOW_MS + tries * agent.UNLOAD_PAUSE_MS
            (order,) = orders(send(holder, order_holders.Tick(), now_ms))
            self.assertEqual((order.load, order.model), (True, "m4"))
            self.assertEqual(order.expected_count, 4)
            end_order(holder, self.engine, agent.OrderAnswer.BUSY, now_ms)

    def test_a_restarted_engine_is_read_again(self):
        holder = self.ready_holder()
        announce(holder, self.engine, born_ms=99_000)
        self.assertFalse(orders(send(holder, request(self.engine))))
        self.assertTrue(send(holder, order_holders.Tick()))
        (order,) = orders(report(holder, self.engine, 0))
        self.assertEqual(order.expected_count, 0)

    def test_a_refused_order_leads_to_a_report(self):
        holder = self.ready_holder()
        send(holder, request(self.engine))
        end_order(holder, self.engine, agent.OrderAnswer.BUSY)
        self.assertFalse(orders(send(holder, request(self.engine, "a2"))))
        later_ms = NOW_MS + agent.REMOTE_READ_DELAY_MS // 2
        self.assertTrue(send(holder, order_holders.Tick(), later_ms))
        (order, *_) = orders(report(holder, self.engine, 7, now_ms=later_ms))
        self.assertEqual(order.expected_count, 7)


class AgentsTest(unittest.TestCase):
    """Tests of the choice between agents and nodes."""

    def holders_after(self, duration_ms, agents):
        cluster = register_driver.make_cluster(3)
        for instance in cluster.instances.values():
            instance.node.chooses_holders = True
            instance.node.defers_to_agents = True
        if agents:
            name = next(iter(cluster.instances))
            message = agent.AgentPresent("10.0.0.9:1")
            register_driver.post(cluster, 100, name, None, message)
        register_driver.run(cluster, duration_ms)
        return {i.node.record.holders for i in cluster.instances.values()}

    def test_nodes_order_engines_if_no_agent_is_heard(self):
        """Without agents, no engine was ever ordered."""
        (holders,) = self.holders_after(12_000, agents=False)
        self.assertTrue(holders)

    def test_nodes_leave_the_orders_to_agents(self):
        self.assertEqual(self.holders_after(20_000, agents=True), {()})


class HandOverFuzzTest(unittest.TestCase):
    """Fuzz the hand-over of engines in virtual time.

    `holder_driver` raises an error if two nodes order an engine within the
    order lease, or if an engine gets more adapters than it has slots.
    """

    def test_orders_never_overlap(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                fleet = holder_driver.make_fleet(seed)
                holder_driver.run(fleet, 9000)
                self.assertTrue(fleet.orders)
                self.inject_faults(fleet)

    def inject_faults(self, fleet):
        cluster = fleet.cluster
        names = list(cluster.instances)
        for _ in range(4):
            name = cluster.rng.choice(names)
            match cluster.rng.randrange(4):
                case 0:
                    register_driver.stop(cluster, name)
                case 1:
                    fleet.frozen.add(name)
                case 2:
                    register_driver.cut_links_of(cluster, [name])
                case 3:
                    register_driver.cut_links_of(cluster, [name], one_way=True)
            holder_driver.run(fleet, cluster.rng.choice((400, 2500, 7000)))
            fleet.frozen.clear()
            register_driver.restore_links(cluster)
            for stopped in set(names) - set(register_driver.running(cluster)):
                holder_driver.start(fleet, stopped)
            holder_driver.run(fleet, cluster.rng.choice((300, 3000)))

    def test_every_engine_gets_orders_again_after_a_loss(self):
        fleet = holder_driver.make_fleet(7)
        fleet.cluster.crash_probability = 0.0
        holder_driver.run(fleet, 9000)
        lost = fleet.orders[-1][1]
        register_driver.stop(fleet.cluster, lost)
        from_ms = fleet.cluster.now_ms
        holder_driver.run(fleet, 14_000)
        for upstream_id in holder_driver.ENGINE_IDS:
            pause_ms = holder_driver.longest_pause_ms(
                fleet, upstream_id, from_ms, fleet.cluster.now_ms
            )
            self.assertLess(pause_ms, MAX_PAUSE_MS)


if __name__ == "__main__":
    unittest.main()
