"""Tests of the time that an upstream states in ``Retry-After``."""

import unittest

import multidict

from bilberryramp.wire import retry_after


def decode(*values) -> int:
    headers = multidict.CIMultiDict(("retry-after", v) for v in values)
    return retry_after.decode(multidict.CIMultiDictProxy(headers))


class DecodeTest(unittest.TestCase):
    def test_seconds_with_or_without_a_fraction(self):
        for text, expected_ms in (
            ("4", 4000),
            ("0.25", 250),
            ("0.0001", 1),
            ("2.", 2000),
            (" 3\t", 3000),
            ("007", 7000),
            ("0", 0),
            ("0.0", 0),
        ):
            with self.subTest(text=text):
                self.assertEqual(decode(text), expected_ms)

    def test_other_values_ask_for_no_pause(self):
        for text in (
            "",
            " ",
            "-1",
            "-0.5",
            "+5",
            "nan",
            "NaN",
            "inf",
            "-inf",
            "Infinity",
            "1e3",
            "0x10",
            ".5",
            "1_000",
            "5 s",
            "soon",
            "\u0665",
            "\u00b2",
            "\udc80\udcff",
            "Wed, 21 Oct 2026 07:28:00 GMT",
            "Sun Nov  6 08:49:37 1994",
        ):
            with self.subTest(text=text):
                self.assertEqual(decode(text), 0)

    def test_a_missing_header_asks_for_no_pause(self):
        self.assertEqual(decode(), 0)

    def test_a_huge_number_is_finite(self):
        self.assertEqual(decode("9" * 18), 10**21)
        self.assertEqual(decode("1." + "0" * 18), 1000)

    def test_a_longer_number_is_no_number(self):
        for text in ("9" * 19, "1" * 100_000, "1." + "0" * 100_000):
            self.assertEqual(decode(text), 0)

    def test_the_longest_of_several_values_counts(self):
        for values in (("2", "7"), ("7", "2"), ("7, 2",), ("2,7", "-9")):
            with self.subTest(values=values):
                self.assertEqual(decode(*values), 7000)

    def test_an_invalid_value_does_not_hide_a_valid_one(self):
        for values in (("nan", "3"), ("3", "soon"), ("inf,3",), (",3,",)):
            with self.subTest(values=values):
                self.assertEqual(decode(*values), 3000)


if __name__ == "__main__":
    unittest.main()
