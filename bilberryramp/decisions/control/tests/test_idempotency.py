import random
import unittest
from unittest import mock

from bilberryramp.decisions.control import idempotency
from bilberryramp.decisions.shared import commands, errors
from bilberryramp.decisions.tests import builders

CODE = errors.FailureCode
DAY_MS = idempotency.RETENTION_MS
START_MS = 1_800_000_000_000
SMALL = {"MAX_RECORDS": 8, "MAX_TOMBSTONES": 8, "RETENTION_MS": 1000}
SKEW_MS = 300


class Table:
    """A table of keys and the claims it granted."""

    def __init__(self):
        self.keys = idempotency.KeyTable()
        self.granted = {}
        self.claims = 0

    def claim(self, key, now_ms):
        self.claims += 1
        command = commands.ReserveKey(
            f"corrections/{key}", f"r{self.claims}", "f", now_ms, 100
        )
        result = idempotency.reserve(self.keys, self.claims, command)
        if isinstance(result, commands.KeyGranted):
            if key in self.granted:
                raise AssertionError(f"{key} granted twice")
            self.granted[key] = now_ms
        return result


def random_claims(seed):
    """New keys and resends under clocks that differ."""
    rng = random.Random(seed)
    table, keys, now_ms = Table(), [], START_MS
    for _ in range(600):
        now_ms += rng.choice((0, 1, 10, 100))
        at_ms = now_ms + rng.randrange(-SKEW_MS, SKEW_MS)
        if not keys or rng.random() < 0.5:
            keys.append(builders.uuid7_key(at_ms, rng))
        table.claim(rng.choice(keys[-60:]), at_ms)
    return table


def small_limits():
    return mock.patch.multiple(idempotency, **SMALL)


class TimedKeyTest(unittest.TestCase):
    def test_key_older_than_the_retention_is_refused_unseen(self):
        table = Table()
        old = builders.uuid7_key(START_MS - DAY_MS - 1, random.Random(1))
        refused = table.claim(old, START_MS)
        self.assertEqual(refused.code, CODE.KEY_EXPIRED)

    def test_its_expiry_leaves_no_tombstone(self):
        table = Table()
        table.claim(builders.uuid7_key(START_MS, random.Random(1)), START_MS)
        table.claim("plain", START_MS)
        table.claim("later", START_MS + DAY_MS + 1)
        kept = [key.partition("/")[2] for key in table.keys.tombstones]
        self.assertEqual(kept, ["plain"])

    def test_key_from_the_future_leaves_a_tombstone(self):
        table = Table()
        ahead_ms = START_MS + 10 * DAY_MS
        table.claim(builders.uuid7_key(ahead_ms, random.Random(1)), START_MS)
        table.claim("later", START_MS + DAY_MS + 1)
        self.assertEqual(len(table.keys.tombstones), 1)

    def test_no_key_is_granted_twice(self):
        with small_limits():
            for seed in range(20):
                table = random_claims(seed)
                self.assertGreater(len(table.granted), 20)
                self.assertLessEqual(len(table.keys.tombstones), 8)

    def test_broken_version_that_forgets_is_caught(self):
        forget = mock.patch.object(
            idempotency, "_raise_floor", lambda *_: None
        )
        with small_limits(), forget, self.assertRaises(AssertionError):
            for seed in range(20):
                random_claims(seed)
