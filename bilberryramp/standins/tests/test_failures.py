import http.client
import json
import shutil
import signal
import socket
import threading
import unittest

from bilberryramp.standins import local_cluster
from bilberryramp.standins.tests import builders

SERVICE_PATH = "/services/corrections"
# Far longer than a process takes to exit, even on a busy machine.
PROCESS_EXIT_TIMEOUT_S = 60


class ControlFailureTest(unittest.TestCase):
    """Tests three control replicas with SIGKILL, SIGSTOP and a lost disk."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls, controls=3)
        builders.add_engines(cls.cluster)
        local_cluster.wait_for_upstreams(cls.cluster, 3)

    def submit_and_get_version(self):
        reply = builders.submit(self.cluster)
        self.assertEqual(reply.returncode, 0, reply.stdout + reply.stderr)
        return builders.get_status(self.cluster)["version"]

    def wait_until_serving(self, name):
        control = next(
            c for c in self.cluster.controls if c.replica_id == name
        )

        def is_serving():
            replica_status = builders.get_replica_status(control)
            return replica_status and replica_status["phase"] in (
                "follower",
                "leader",
            )

        builders.wait_for(is_serving, f"serving state of {name}")

    def test_killed_leader_loses_no_accepted_version(self):
        before = self.submit_and_get_version()
        leader = builders.wait_for_leader(self.cluster)
        local_cluster.kill(self.cluster, leader)
        self.assertGreater(self.submit_and_get_version(), before)
        local_cluster.restart_process(self.cluster, leader)
        self.wait_until_serving(leader)

    def test_planned_stop_of_the_leader_transfers_leadership(self):
        before = self.submit_and_get_version()
        leader = builders.wait_for_leader(self.cluster)
        self.assertEqual(local_cluster.stop(self.cluster, leader), 0)
        self.assertNotEqual(builders.wait_for_leader(self.cluster), leader)
        self.assertGreater(self.submit_and_get_version(), before)
        local_cluster.restart_process(self.cluster, leader)
        self.wait_until_serving(leader)

    def test_frozen_leader_is_replaced_and_catches_up(self):
        before = self.submit_and_get_version()
        leader = builders.wait_for_leader(self.cluster)
        child = self.cluster.processes[leader].child
        child.send_signal(signal.SIGSTOP)
        try:
            after = self.submit_and_get_version()
            self.assertGreater(after, before)
        finally:
            child.send_signal(signal.SIGCONT)
        control = next(
            c for c in self.cluster.controls if c.replica_id == leader
        )
        builders.wait_for(
            lambda: (
                (builders.get_replica_status(control) or {}).get("version")
                == after
            ),
            "catching up of the resumed replica",
        )

    def test_second_replica_fails_after_a_lost_disk_was_recovered(self):
        before = self.submit_and_get_version()
        leader = builders.wait_for_leader(self.cluster)
        names = [c.replica_id for c in self.cluster.controls]
        first, second = [name for name in names if name != leader]
        local_cluster.kill(self.cluster, first)
        shutil.rmtree(self.cluster.folder / f"data-{first}")
        local_cluster.restart_process(self.cluster, first)
        self.wait_until_serving(first)
        local_cluster.kill(self.cluster, second)
        self.assertGreater(self.submit_and_get_version(), before)
        local_cluster.restart_process(self.cluster, second)
        self.wait_until_serving(second)


class PathFailureTest(unittest.TestCase):
    """Tests entries, upstream processes and engines that exit in a request."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls)
        slow = {"tokens_per_s": 40.0, "crash_on": "POISON"}
        for name, service in (
            ("desk-1", "drafting-desk"),
            ("desk-2", "drafting-desk"),
            ("desk-3", "drafting-desk"),
            ("letters-1", "letter-llm"),
        ):
            local_cluster.add_upstream(
                cls.cluster, builders.standin_settings(name, **slow), service
            )
        plain = builders.standin_settings(
            "ledger-1", builders.SERVICE, crash_on="CRASH", first_token_ms=300
        )
        local_cluster.add_upstream(cls.cluster, plain, "corrections-ledger")
        cls.port = local_cluster.add_entry(cls.cluster, "entry-1")
        local_cluster.wait_for_upstreams(cls.cluster, 5)
        submitted = builders.submit(cls.cluster)
        assert submitted.returncode == 0, submitted.stderr
        local_cluster.wait_for_http(f"http://127.0.0.1:{cls.port}/readyz")
        status, _ = builders.post(
            cls.port, "/v1/completions", builders.completion_body()
        )
        assert status == 200, status

    def restart(self, *names):
        for name in names:
            # A crashing program stops answering some time before it exits.
            self.cluster.processes[name].child.wait(PROCESS_EXIT_TIMEOUT_S)
            local_cluster.restart_process(self.cluster, name)

    def begin_stream(self, port, words):
        """Send a streamed request and read the first bytes of the answer."""
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        body = builders.completion_body(words, stream=True)
        conn.request("POST", "/v1/completions", body)
        answer = conn.getresponse()
        return answer, answer.read(10)

    def test_planned_stop_of_an_entry_completes_open_streams(self):
        port = local_cluster.add_entry(self.cluster, "entry-2")
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        answer, first = self.begin_stream(port, 40)
        stopping = threading.Thread(
            target=local_cluster.stop, args=(self.cluster, "entry-2")
        )
        stopping.start()
        rest = answer.read()
        stopping.join()
        self.assertTrue((first + rest).endswith(b"data: [DONE]\n\n"))
        child = self.cluster.processes["entry-2"].child
        self.assertEqual(child.returncode, 0)

    def test_planned_stop_of_an_upstream_completes_open_streams(self):
        answer, first = self.begin_stream(self.port, 40)
        code = local_cluster.stop(self.cluster, "upstream-letters-1")
        rest = answer.read()
        self.restart("upstream-letters-1")
        self.assertEqual(code, 0)
        self.assertTrue((first + rest).endswith(b"data: [DONE]\n\n"))

    def test_killed_upstream_breaks_the_transfer(self):
        answer, _ = self.begin_stream(self.port, 400)
        local_cluster.kill(self.cluster, "upstream-letters-1")
        with self.assertRaises((http.client.HTTPException, OSError)):
            answer.read()
        self.restart("upstream-letters-1")
        status, _ = builders.post(
            self.port, "/v1/completions", builders.completion_body()
        )
        self.assertEqual(status, 200)

    def test_crashed_service_gives_unknown_outcome(self):
        headers = builders.idempotency_headers("crash-1")
        status, answer = builders.post(
            self.port, SERVICE_PATH, b"CRASH", headers
        )
        self.assertEqual(status, 502)
        self.assertEqual(answer["error"]["outcome"], "unknown")
        self.restart("standin-ledger-1")
        status, answer = builders.post(
            self.port, SERVICE_PATH, b"CRASH", headers
        )
        self.assertEqual(answer["error"]["code"], "key_unknown")

    def test_resend_through_another_entry_runs_once(self):
        port = local_cluster.add_entry(self.cluster, "entry-3")
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        headers = builders.idempotency_headers("twice-1")
        answers = []

        def send(entry_port):
            answers.append(
                builders.post(entry_port, SERVICE_PATH, b"n", headers)
            )

        threads = [
            threading.Thread(target=send, args=(entry_port,))
            for entry_port in (self.port, port)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(status for status, _ in answers)
        self.assertIn(codes, ([200, 200], [200, 409]))
        resent = builders.post(port, SERVICE_PATH, b"n", headers)
        self.assertEqual(resent, (200, {"key": "twice-1", "runs": 1}))

    def test_poison_request_ends_at_most_two_engines(self):
        body = builders.completion_body(
            model="guild-clarify-8b", prompt="POISON", words=2
        )
        for _ in range(4):
            _, answer = builders.post(self.port, "/v1/completions", body)
        self.assertIn("error", answer)
        desks = [f"standin-desk-{n}" for n in (1, 2, 3)]
        crashed = [
            name
            for name in desks
            if self.cluster.processes[name].child.poll() is not None
        ]
        self.assertLessEqual(len(crashed), 2)
        self.restart(*crashed)
        valid_body = builders.completion_body(
            model="guild-clarify-8b", words=2
        )
        status, _ = builders.post(self.port, "/v1/completions", valid_body)
        self.assertEqual(status, 200)

    def test_vanished_caller_frees_its_slot(self):
        answer, _ = self.begin_stream(self.port, 4000)
        answer.close()
        for _ in range(20):
            status, _ = builders.post(
                self.port, "/v1/completions", builders.completion_body()
            )
            self.assertEqual(status, 200)


class BrokenStreamTest(unittest.TestCase):
    """Tests an engine connection that breaks in the middle of an event."""

    def test_broken_stream_is_resumed_and_complete(self):
        cluster = builders.start_cluster(type(self))
        builders.add_engines(cluster, break_after=7)
        port = local_cluster.add_entry(cluster, "entry-1")
        local_cluster.wait_for_upstreams(cluster, 3)
        builders.submit(cluster)
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        self.addCleanup(conn.close)
        body = builders.completion_body(30, stream=True)
        conn.request("POST", "/v1/completions", body)
        events = conn.getresponse().read().split(b"\n\n")
        numbers = [event.partition(b"\n")[0] for event in events[:-1]]
        self.assertEqual(numbers, [b"id: %d" % n for n in range(31)])
        self.assertIn(b"[DONE]", events[-2])
        log = (cluster.folder / "upstream-letters-1.log").read_text()
        self.assertEqual(log.count("stream.resumed"), 1)


class SlowReaderTest(unittest.TestCase):
    """Tests that a caller that does not read loses only its own answer."""

    def test_slow_reader_is_disconnected(self):
        cluster = builders.start_cluster(type(self))
        builders.add_engines(cluster, tokens_per_s=1e6, first_token_ms=0)
        port = local_cluster.add_entry(cluster, "entry-1", slow_reader_ms=300)
        local_cluster.wait_for_upstreams(cluster, 3)
        builders.submit(cluster)
        local_cluster.wait_for_http(f"http://127.0.0.1:{port}/readyz")
        self.send_without_reading(port)
        metric = 'code="caller_left"'
        builders.wait_for(lambda: metric in builders.get_metrics(port), metric)
        status, _ = builders.post(
            port, "/v1/completions", builders.completion_body()
        )
        self.assertEqual(status, 200)

    def send_without_reading(self, port):
        body = builders.completion_body(100_000, stream=True)
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", port))
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)


class StartFailureTest(unittest.TestCase):
    """Tests the error message and exit code of programs that cannot start."""

    @classmethod
    def setUpClass(cls):
        cls.cluster = builders.start_cluster(cls)

    def test_port_in_use_exits_with_3(self):
        control = self.cluster.controls[0]
        port = int(control.operator_address.rpartition(":")[2])
        local_cluster.add_entry(self.cluster, "entry-x", port)
        child = self.cluster.processes["entry-x"].child
        self.assertEqual(child.wait(20), 3)
        output = (self.cluster.folder / "entry-x.out").read_text()
        self.assertIn("error: OSError", output)
        self.assertNotIn("Traceback", output)

    def test_unusable_data_folder_exits_with_4(self):
        settings = self.cluster.folder / "control-1.yaml"
        text = settings.read_text()
        data = str(self.cluster.folder / "data-control-1")
        blocked = self.cluster.folder / "blocked"
        blocked.write_text("a file, not a folder")
        for name, folder, error in (
            ("taken", data, "DataFolderInUseError"),
            ("blocked", str(blocked), "BadDataFolderError"),
        ):
            other = self.cluster.folder / f"{name}.yaml"
            other.write_text(text.replace(data, folder))
            local_cluster.start_program(self.cluster, name, "control", other)
            self.assertEqual(self.cluster.processes[name].child.wait(20), 4)
            output = (self.cluster.folder / f"{name}.out").read_text()
            self.assertIn(error, output)

    def test_malformed_settings_exit_with_2(self):
        malformed = self.cluster.folder / "bad.yaml"
        malformed.write_text("name: [")
        local_cluster.start_program(self.cluster, "bad", "entry", malformed)
        self.assertEqual(self.cluster.processes["bad"].child.wait(20), 2)

    def test_routes_without_pool_or_memory_are_refused(self):
        routes = self.cluster.folder / "routes.yaml"
        pools = builders.EXAMPLES_DIR / "pools.yaml"
        routes_text = (builders.EXAMPLES_DIR / "routes.yaml").read_text()
        args = (f"--routes={routes}", f"--pools={pools}")
        routes.write_text(
            routes_text.replace("pool: abay-letters", "pool: none")
        )
        result = local_cluster.ctl(self.cluster, *args, "validate")
        self.assertEqual(result.returncode, 5)
        self.assertIn("routes[2].pool: found 'none'", result.stderr)
        routes.write_text(routes_text)
        result = local_cluster.ctl(self.cluster, *args, "submit")
        self.assertEqual(result.returncode, 5)
        self.assertIn("MiB free", result.stderr)
        shown = json.loads(
            local_cluster.ctl(self.cluster, "--json", "status").stdout
        )
        self.assertEqual(shown["version"], 0)
