"""Tests of what one node sends in a fleet of the size to design for."""

import random
import unittest

from bilberryramp.decisions.fleet.core import sharing
from bilberryramp.decisions.fleet.register import register
from bilberryramp.decisions.fleet.tests import builders
from bilberryramp.decisions.shared import effects
from bilberryramp.wire import fleet_codec

NODES = 400
DOMAINS = 4
ENGINES = 600
# Requests of the whole fleet at the peak, and the part of one node.
REQUESTS_PER_S = 1200
NODE_REQUESTS_PER_S = REQUESTS_PER_S / NODES
DURATION_MS = 10_000
# What a node may spend for control at the size to design for.
CONTROL_BYTES_PER_S = 26_000


def addresses(count):
    return [f"10.{n // 250}.{n % 250}.7:7380" for n in range(count)]


class FleetSizeTest(unittest.TestCase):
    def test_load_reports_of_a_node_are_bounded(self):
        """Each node reported each long prompt to every other node."""
        loads = sharing.Loads()
        near_count = NODES // DOMAINS - 1
        sizes = {
            sharing.Audience.NEAR: near_count,
            sharing.Audience.FAR: NODES - 1 - near_count,
        }
        for audience, count in sizes.items():
            sharing.set_audience_size(loads, audience, count)
        # Reports stay valid until the next ones arrive.
        for outbox in loads.outboxes.values():
            self.assertGreater(loads.report_ttl_ms, 2 * outbox.min_interval_ms)
        rng = random.Random(1)
        messages = 0
        for now_ms in range(0, DURATION_MS, 5):
            if rng.random() < NODE_REQUESTS_PER_S * 2 * 5 / 1000:
                upstream_id = f"u{rng.randrange(ENGINES)}"
                sharing.own_load(loads, upstream_id).calls = 1
                sharing.record_load_change(loads, upstream_id, 9000)
            for audience, count in sizes.items():
                report = sharing.build_due_report(
                    loads, "n1", now_ms, audience
                )
                messages += count if report is not None else 0
        limit = len(sizes) * sharing.MAX_MESSAGES_PER_S
        self.assertLessEqual(messages, (limit * DURATION_MS / 1000) * 1.1)

    def test_heartbeats_of_a_node_stay_within_the_bytes_for_control(self):
        """Each node sent the addresses of all nodes to all nodes."""
        names = addresses(NODES)
        node = register.new_node(
            builders.make_peer(names[0], "s0", False),
            tuple(names[1:4]),
            builders.bind_chart("member", register),
            random.Random(1),
            0,
            None,
        )
        node.leader = names[1]
        for name in names[1:]:
            node.peers[name] = builders.make_peer(name, "s", False)
        sent_bytes = 0
        last_sent_ms = dict.fromkeys(names[1:], 0)
        longest_pause_ms = 0
        for now_ms in range(0, DURATION_MS, 50):
            for name in names[1:]:
                node.heard_ms[name] = node.address_seen_ms[name] = now_ms
            node.election_due_ms = now_ms + 1000
            for effect in register.step(node, now_ms, register.Tick()):
                if isinstance(effect, effects.Send):
                    sent_bytes += len(fleet_codec.encode(effect.message))
                    longest_pause_ms = max(
                        longest_pause_ms, now_ms - last_sent_ms[effect.to]
                    )
                    last_sent_ms[effect.to] = now_ms
        self.assertLess(sent_bytes * 1000 / DURATION_MS, CONTROL_BYTES_PER_S)
        self.assertLess(longest_pause_ms, register.PEER_EXPIRY_MS)
        self.assertGreater(min(last_sent_ms.values()), 0)

    def test_the_load_of_an_engine_is_read_in_constant_time(self):
        """Each choice of an engine added up the reports of all nodes."""
        loads = sharing.Loads()
        row = (1, 2, 3, 4, 5, 6, 7)
        for name in addresses(NODES):
            report = sharing.Report(name, (row,), ())
            sharing.apply_report(loads, report, 1000, 0)
        self.assertEqual(loads.peer_totals[1][0], 2 * NODES)
        sharing.total_load(loads, "u1", sharing.REPORT_TTL_MS)
        self.assertEqual(loads.peer_totals[1], [0] * 6)


if __name__ == "__main__":
    unittest.main()
