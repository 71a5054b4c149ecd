import random
import unittest
from unittest import mock

from bilberryramp.decisions.control import idempotency
from bilberryramp.decisions.shared import commands, errors
from bilberryramp.decisions.tests import builders

CODE = errors.FailureCode
DAY_MS = idempotency.RETENTION_MS
START_MS = 1_800_000_000_000
SMALL_LIMITS = {"MAX_RECORDS": 8, "MAX_TOMBSTONES": 8, "RETENTION_MS": 1000}
CLOCK_SKEW_MS = 300


class KeyClient:
    """Client that reserves keys and raises if a key is granted twice."""

    def __init__(self):
        self.table = idempotency.KeyTable()
        self.granted = {}
        self.reservations = 0

    def reserve(self, key, now_ms):
        self.reservations += 1
        command = commands.ReserveKey(
            f"corrections/{key}", f"r{self.reservations}", "f", now_ms, 100
        )
        result = idempotency.reserve(self.table, self.reservations, command)
        if isinstance(result, commands.KeyGranted):
            if key in self.granted:
                raise AssertionError(f"{key} granted twice")
            self.granted[key] = now_ms
        return result


def random_reservations(seed):
    """Reserve new and earlier keys at times of clocks that differ."""
    rng = random.Random(seed)
    client, keys, now_ms = KeyClient(), [], START_MS
    for _ in range(600):
        now_ms += rng.choice((0, 1, 10, 100))
        at_ms = now_ms + rng.randrange(-CLOCK_SKEW_MS, CLOCK_SKEW_MS)
        if not keys or rng.random() < 0.5:
            keys.append(builders.uuid7_key(at_ms, rng))
        client.reserve(rng.choice(keys[-60:]), at_ms)
    return client


def small_limits():
    return mock.patch.multiple(idempotency, **SMALL_LIMITS)


class Uuid7KeyTest(unittest.TestCase):
    def test_new_key_created_before_the_retention_period_is_refused(self):
        client = KeyClient()
        old = builders.uuid7_key(START_MS - DAY_MS - 1, random.Random(1))
        refused = client.reserve(old, START_MS)
        self.assertEqual(refused.code, CODE.KEY_EXPIRED)

    def test_expired_uuid7_key_leaves_no_tombstone(self):
        client = KeyClient()
        client.reserve(
            builders.uuid7_key(START_MS, random.Random(1)), START_MS
        )
        client.reserve("plain", START_MS)
        client.reserve("later", START_MS + DAY_MS + 1)
        tombstone_keys = [
            key.partition("/")[2] for key in client.table.tombstones
        ]
        self.assertEqual(tombstone_keys, ["plain"])

    def test_key_from_the_future_leaves_a_tombstone(self):
        client = KeyClient()
        ahead_ms = START_MS + 10 * DAY_MS
        client.reserve(
            builders.uuid7_key(ahead_ms, random.Random(1)), START_MS
        )
        client.reserve("later", START_MS + DAY_MS + 1)
        self.assertEqual(len(client.table.tombstones), 1)

    def test_no_key_is_granted_twice(self):
        with small_limits():
            for seed in range(20):
                client = random_reservations(seed)
                self.assertGreater(len(client.granted), 20)
                self.assertLessEqual(len(client.table.tombstones), 8)

    def test_key_is_granted_twice_without_the_floor(self):
        without_floor = mock.patch.object(
            idempotency, "_raise_floor", lambda *_: None
        )
        with small_limits(), without_floor, self.assertRaises(AssertionError):
            for seed in range(20):
                random_reservations(seed)
