"""Tests of the rows of workspaces, and of the headers with their keys."""

import json
import unittest

import hypothesis
import multidict
from hypothesis import strategies as st

from bilberryramp.decisions.fleet.core import calls, documents, workspaces
from bilberryramp.platform import exchanges, service_documents
from bilberryramp.platform.tests import builders

KEY = "asnmgkcuyj8pjbvk9m68"


def decode(*rows):
    """Decode a document with rows of workspaces; return the workspaces."""
    body = builders.make_document_body(tenants=list(rows))
    return service_documents.decode(body).workspaces


def decode_key(*values):
    """Decode a request with some headers that hold keys; return the key."""
    headers = multidict.CIMultiDict(("X-Api-Key", value) for value in values)
    return exchanges.decode_request("h", "/x", headers).key


def forwarded(raw, workspace=""):
    send_call = calls.SendCall(1, "i-1", "x:1", 700, 2, 1, workspace=workspace)
    return exchanges.upstream_request_headers(raw, send_call)


class RowTest(unittest.TestCase):
    def test_decodes_keys_rank_and_limit(self):
        (row,) = decode(
            builders.make_workspace_fields(
                apiKeys=[KEY, "k2"],
                priority=1,
                unit="token_stream",
                plainTokens=200,
                ratePerS=230708,
                burst=1.5,
            )
        )
        limit = documents.UsageLimit(
            documents.UsageUnit.TOKEN, 230708, 1.5, 200
        )
        self.assertEqual(row, documents.Workspace("w1", (KEY, "k2"), 1, limit))

    def test_without_rank_and_limit(self):
        for changes in ({}, {"ratePerS": 0, "burst": 0, "priority": None}):
            (row,) = decode(builders.make_workspace_fields(**changes))
            self.assertEqual((row.urgency, row.usage_limit), (None, None))

    def test_other_units_count_requests(self):
        for unit in (None, "request", "furlong"):
            (row,) = decode(
                builders.make_workspace_fields(unit=unit, ratePerS=2)
            )
            self.assertIs(row.usage_limit.unit, documents.UsageUnit.REQUEST)

    def test_a_document_need_not_have_workspaces(self):
        for changes in ({}, {"tenants": None}, {"tenants": []}):
            body = builders.make_document_body(**changes)
            self.assertEqual(service_documents.decode(body).workspaces, ())

    def test_a_workspace_may_have_no_key_or_one_twice(self):
        for api_keys in ([], [KEY, KEY]):
            decode(builders.make_workspace_fields(apiKeys=api_keys))

    def test_invalid_rows_are_refused_without_naming_a_key(self):
        make = builders.make_workspace_fields
        cases = {
            "not an object": [KEY],
            "no name": [make(name="")],
            "name of another type": [make(name=3)],
            "a line in the name": [make(name="w\r\nX-Evil: 1")],
            "a space around the name": [make(name="w ")],
            "one name twice": [make(), make(apiKeys=["other"])],
            "no keys": [{"name": "w1"}],
            "keys of another type": [make(apiKeys=KEY)],
            "a key of another type": [make(apiKeys=[7])],
            "an empty key": [make(apiKeys=[KEY, ""])],
            "a key that no header can hold": [make(apiKeys=[KEY + "é"])],
            "a key of two words": [make(apiKeys=[KEY + " " + KEY])],
            "a key with a line": [make(apiKeys=[KEY + "\n"])],
            "a long key": [make(apiKeys=[KEY * 52])],
            "one key in two workspaces": [make(), make(name="w2")],
            "negative rate": [make(ratePerS=-1)],
            "huge rate": [make(ratePerS=1e16)],
            "rate beyond a float": [make(ratePerS=10**400)],
            "rate of another type": [make(ratePerS="5")],
            "rate that is a truth value": [make(ratePerS=True)],
            "negative burst": [make(burst=-0.5)],
            "negative rank": [make(priority=-1)],
            "negative tokens": [make(plainTokens=-1)],
            "unit of another type": [make(unit=3)],
        }
        for label, rows in cases.items():
            with (
                self.subTest(label),
                self.assertRaises(
                    service_documents.MalformedDocumentError
                ) as caught,
            ):
                decode(*rows)
            self.assertNotIn(KEY, str(caught.exception))

    def test_numbers_that_are_not_finite_are_refused(self):
        for number in ("1e999", "NaN", "Infinity"):
            body = builders.make_document_body(
                tenants=[builders.make_workspace_fields(ratePerS=12345)]
            ).replace(b"12345", number.encode())
            with self.assertRaises(service_documents.MalformedDocumentError):
                service_documents.decode(body)

    def test_an_error_names_the_workspaces_that_share_a_key(self):
        rows = [
            builders.make_workspace_fields(),
            builders.make_workspace_fields(name="w2"),
        ]
        with self.assertRaisesRegex(
            service_documents.MalformedDocumentError,
            f"'w1' and 'w2' .* {workspaces.digest(KEY)}",
        ):
            decode(*rows)

    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(),
            lambda inner: (
                st.lists(inner)
                | st.dictionaries(
                    st.sampled_from(["name", "apiKeys", "ratePerS", "unit"]),
                    inner,
                )
            ),
        )
    )
    def test_any_rows_are_decoded_or_refused(self, rows):
        body = json.dumps(
            json.loads(builders.make_document_body()) | {"tenants": rows}
        )
        try:
            service_documents.decode(body.encode())
        except service_documents.MalformedDocumentError:
            pass


class KeyHeaderTest(unittest.TestCase):
    def test_decodes_a_key(self):
        self.assertEqual(decode_key(KEY), KEY)
        self.assertEqual(decode_key(), "")
        self.assertEqual(decode_key(""), "")

    def test_other_headers_hold_no_valid_key(self):
        (row,) = decode(builders.make_workspace_fields())
        longest = "k" * service_documents.MAX_KEY_CHARS
        for values in (
            (KEY, KEY),
            (KEY, ""),
            ("", KEY),
            (f"{KEY}, {KEY}",),
            (longest + "k",),
            (f"{KEY}é",),
            (f"{KEY}\udcff",),
            (f"Bearer {KEY}",),
        ):
            with self.subTest(values=values):
                key = decode_key(*values)
                self.assertNotIn(key, (*row.keys, longest, ""))
                self.assertTrue(workspaces.digest(key))

    def test_a_key_in_a_header_that_is_logged_is_dropped(self):
        for name in (
            "X-Bilberryramp-Request-Id",
            "X-Bilberryramp-Model",
            "X-Bilberryramp-Prompt-Prefix",
        ):
            headers = {
                "X-Api-Key": KEY,
                "X-Bilberryramp-Request-Id": "q1",
                "X-Bilberryramp-Model": "m0",
            }
            req = exchanges.decode_request(
                "h",
                "/x",
                multidict.CIMultiDict(headers | {name: f"a-{KEY}:1"}),
            )
            self.assertEqual((req.key, req.prompt), ("", None))
            self.assertNotIn(KEY, req.request_id)

    def test_no_header_passes_the_key_on(self):
        raw = [
            (b"X-Api-Key", KEY.encode()),
            (b"x-api-key", b"other-key"),
            (b"Authorization", b"Bearer " + KEY.encode()),
            (b"X-Copy", b"other-key"),
            (b"X-Other", b"kept"),
        ]
        names = [name for name, _ in forwarded(raw)]
        self.assertEqual(
            names,
            [
                "X-Other",
                "X-Bilberryramp-Expected-Instance",
                "X-Bilberryramp-Request-Priority",
            ],
        )

    def test_a_short_key_hides_only_equal_values(self):
        raw = [(b"X-Api-Key", b"k"), (b"A", b"k"), (b"B", b"kept")]
        names = [name for name, _ in forwarded(raw)]
        self.assertEqual(names[0], "B")

    def test_only_the_system_names_the_workspace(self):
        raw = [(b"X-Bilberryramp-Tenant", b"forged")] * 2
        self.assertNotIn(
            "x-bilberryramp-tenant", [n.lower() for n, _ in forwarded(raw)]
        )
        named = [
            value
            for name, value in forwarded(raw, "w1")
            if name.lower() == "x-bilberryramp-tenant"
        ]
        self.assertEqual(named, ["w1"])


if __name__ == "__main__":
    unittest.main()
