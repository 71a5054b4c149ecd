import concurrent.futures
import json
import time
import unittest
import urllib.error
import urllib.request

import openai

from bilberryramp.decisions.shared import views
from bilberryramp.settings import schema
from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

MODEL = builders.MODEL


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls, traces=True)
        for name, service in (
            ("desk-1", "drafting-desk"),
            ("desk-2", "drafting-desk"),
            ("letters-1", "letter-llm"),
        ):
            engine = schema.StandinSettings(name, views.UpstreamKind.ENGINE)
            local_cluster.add_upstream(cls.cluster, engine, service)
        ledger = schema.StandinSettings("ledger-1", views.UpstreamKind.SERVICE)
        local_cluster.add_upstream(cls.cluster, ledger, "corrections-ledger")
        cls.port = local_cluster.add_entry(cls.cluster, "entry-1")
        local_cluster.wait_for_upstreams(cls.cluster, 4)
        submitted = builders.submit(cls.cluster)
        assert submitted.returncode == 0, submitted.stderr
        local_cluster.wait_for_http(f"http://127.0.0.1:{cls.port}/readyz")
        cls.client = openai.OpenAI(
            base_url=f"http://127.0.0.1:{cls.port}/v1", api_key="none"
        )

    def chat(self, words=4, **overrides):
        return self.client.chat.completions.create(
            model=MODEL,
            messages=[{"role": "user", "content": "hello"}],
            max_tokens=words,
            **overrides,
        )

    def test_plain_and_streamed_answers_are_complete(self):
        self.assertEqual(
            self.chat().choices[0].message.content, "w0 w1 w2 w3 "
        )
        parts = [
            chunk.choices[0].delta.content for chunk in self.chat(stream=True)
        ]
        self.assertEqual("".join(parts), "w0 w1 w2 w3 ")

    def test_concurrent_requests_get_their_own_answers(self):
        with concurrent.futures.ThreadPoolExecutor(16) as threads:
            counts = [1 + n % 7 for n in range(200)]
            answers = list(threads.map(self.chat, counts))
        for count, answer in zip(counts, answers, strict=True):
            words = answer.choices[0].message.content.split()
            self.assertEqual(words, [f"w{n}" for n in range(count)])

    def test_unknown_model_is_not_found(self):
        with self.assertRaises(openai.NotFoundError) as caught:
            self.client.completions.create(model="none", prompt="x")
        self.assertEqual(caught.exception.code, "model_not_found")
        self.assertEqual(caught.exception.body["outcome"], "not_run")

    def test_models_are_listed(self):
        self.assertIn(MODEL, [card.id for card in self.client.models.list()])

    def test_invalid_requests_get_typed_errors(self):
        oversized = b'{"model": "' + b"x" * (9 * 1024 * 1024) + b'"}'
        cases = (
            ("/v1/completions", b"{", {}, 400, "bad_request"),
            ("/v1/completions", b"{}", {}, 400, "bad_request"),
            ("/v1/completions", oversized, {}, 413, "body_too_large"),
            ("/nowhere", b"", {}, 404, "route_not_found"),
            ("/services/corrections", b"", {}, 400, "key_required"),
            ("/v1/completions", b'{"model":"m"}',
             {"Bilberry-Deadline-Ms": "soon"}, 400, "bad_request"),
        )  # fmt: skip
        for path, body, headers, status, code in cases:
            returned_status, answer = builders.post(
                self.port, path, body, headers
            )
            self.assertEqual(
                (returned_status, answer["error"]["code"]), (status, code)
            )
            self.assertEqual(answer["error"]["outcome"], "not_run")

    def test_idempotent_request_runs_once_and_keeps_its_answer(self):
        headers = {"Idempotency-Key": "k-7", "Bilberry-Repeat": "never"}
        path = "/services/corrections"
        first = builders.post(self.port, path, b"notice", headers)
        again = builders.post(self.port, path, b"notice", headers)
        self.assertEqual(first, (200, {"key": "k-7", "runs": 1}))
        self.assertEqual(again, first)
        status, answer = builders.post(self.port, path, b"another", headers)
        self.assertEqual((status, answer["error"]["code"]),
                         (422, "key_mismatch"))  # fmt: skip

    def test_only_one_of_two_racing_submissions_is_accepted(self):
        version = builders.get_status(self.cluster)["version"]
        base = f"--base_version={version}"
        first = (base, "--submission_id=a", "--submitter=ann")
        accepted = builders.submit(self.cluster, *first)
        resent = builders.submit(self.cluster, *first)
        rejected = builders.submit(self.cluster, base, "--submission_id=b")
        self.assertEqual((accepted.returncode, resent.returncode), (0, 0))
        self.assertEqual(accepted.stdout, resent.stdout)
        self.assertEqual(rejected.returncode, 6)
        self.assertIn("by ann", rejected.stdout)

    def test_one_trace_shows_every_hop(self):
        trace_id = "0af7651916cd43dd8448eb211c80319c"
        headers = {"traceparent": f"00-{trace_id}-b7ad6b7169203331-01"}
        body = json.dumps({"model": MODEL, "max_tokens": 1}).encode()
        status, _ = builders.post(self.port, "/v1/completions", body, headers)
        self.assertEqual(status, 200)
        expected = {"entry.call", "upstream.run", "engine.generate"}
        path = self.cluster.folder / "spans.jsonl"

        def span_names():
            text = path.read_text() if path.exists() else ""
            # A line that a program is still writing ends without a newline.
            *lines, _unfinished = text.split("\n")
            spans = (json.loads(line) for line in lines)
            return {
                span["name"]
                for span in spans
                if span["context"]["trace_id"] == f"0x{trace_id}"
            }

        for _ in range(200):
            if span_names() >= expected:
                break
            time.sleep(0.1)
        self.assertGreaterEqual(span_names(), expected)

    def test_metrics_show_latency(self):
        self.chat()
        url = f"http://127.0.0.1:{self.port}/metrics"
        with urllib.request.urlopen(url, timeout=5) as answer:
            text = answer.read().decode()
        self.assertIn('bilberry_call_seconds{quantile="0.99"}', text)
