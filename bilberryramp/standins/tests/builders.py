"""Builders of local systems and requests for tests with real processes."""

import dataclasses
import http.client
import json
import pathlib
import tempfile
import time
import urllib.error
import urllib.request

import yaml

from bilberryramp.decisions.shared import views
from bilberryramp.settings import schema
from bilberryramp.standins import local_cluster

EXAMPLES_DIR = pathlib.Path(__file__).parents[3] / "examples"
MODEL = "abay-passes-3b"
ENGINE = views.UpstreamKind.ENGINE
SERVICE = views.UpstreamKind.SERVICE
TIMEOUT_S = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """Whole answer to a request.

    Attributes
    ----------
    status
        Status of the answer.
    is_last
        Whether the answer says that its connection closes.
    body
        Body of the answer.
    """

    status: int
    is_last: bool
    body: bytes


def start_cluster(
    test_class, controls=1, traces=False, **control_settings
) -> local_cluster.Cluster:
    """Start control replicas that are stopped after the test class."""
    folder = tempfile.TemporaryDirectory()
    test_class.addClassCleanup(folder.cleanup)
    cluster = local_cluster.new_cluster(
        pathlib.Path(folder.name), controls, traces
    )
    test_class.addClassCleanup(local_cluster.stop_all, cluster)
    local_cluster.start_controls(cluster, **control_settings)
    return cluster


def standin_settings(name, kind=ENGINE, **overrides) -> schema.StandinSettings:
    return schema.StandinSettings(name, kind, **overrides)


def add_engines(cluster, **overrides):
    """Start the engines that the example routes and pools require."""
    for name, service in (
        ("desk-1", "drafting-desk"),
        ("desk-2", "drafting-desk"),
        ("letters-1", "letter-llm"),
    ):
        engine = standin_settings(name, **overrides)
        local_cluster.add_upstream(cluster, engine, service)


def submit(cluster, *args):
    return local_cluster.ctl(
        cluster,
        f"--routes={EXAMPLES_DIR / 'routes.yaml'}",
        f"--pools={EXAMPLES_DIR / 'pools.yaml'}",
        *args,
        "submit",
    )


def submission_body() -> bytes:
    """Build the body that submits the example tables as the first ones."""
    tables = {
        name: yaml.safe_load((EXAMPLES_DIR / f"{name}.yaml").read_text())[name]
        for name in ("routes", "pools")
    }
    fields = {"submission_id": "s-1", "submitter": "ann", "base_version": 0}
    return json.dumps(fields | tables).encode()


def get_status(cluster) -> dict:
    result = local_cluster.ctl(cluster, "--json", "status")
    return json.loads(result.stdout)


def get_replica_status(control) -> dict | None:
    url = f"http://{control.operator_address}/v1/status"
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, OSError):
        return None


def wait_for_leader(cluster) -> str:
    """Wait until a control replica reports that it leads; return its id."""
    for _ in poll():
        statuses = [
            get_replica_status(control) for control in cluster.controls
        ]
        leading = [s for s in statuses if s and s["phase"] == "leader"]
        if leading:
            latest = max(leading, key=lambda s: s["term"])
            return latest["replica_id"]
    raise AssertionError(f"no control replica leads after {TIMEOUT_S} s")


def wait_for(condition, description="condition"):
    for _ in poll():
        if condition():
            return
    raise AssertionError(f"{description} not met after {TIMEOUT_S} s")


def read_log(cluster, name) -> str:
    """Read what a program has logged so far."""
    path = cluster.folder / f"{name}.log"
    return path.read_text() if path.exists() else ""


def poll():
    """Yield repeatedly, with pauses, until `TIMEOUT_S` has passed."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        yield
        time.sleep(0.05)


def post(port, path, body, headers=None, timeout=30):
    """Send a POST request; return its status and decoded JSON body."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}",
        data=body,
        headers=headers or {},
        method="POST",
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())


def connect(port, timeout=TIMEOUT_S) -> http.client.HTTPConnection:
    """Open a connection that is not opened again once it is closed."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    conn.connect()
    conn.auto_open = 0
    return conn


def begin_post(conn, path, length=None, **headers) -> None:
    """Send the head of a POST request, with chunks if no length is given."""
    conn.putrequest("POST", path)
    if length is None:
        conn.putheader("Transfer-Encoding", "chunked")
    else:
        conn.putheader("Content-Length", str(length))
    for name, value in headers.items():
        conn.putheader(name.replace("_", "-"), value)
    conn.endheaders()


def encode_pieces(body, count, chunked) -> list[bytes]:
    """Split a body into about equal parts, in the framing asked for."""
    size = -(-len(body) // count)
    parts = [body[n : n + size] for n in range(0, len(body), size)]
    if not chunked:
        return parts
    return [b"%x\r\n%b\r\n" % (len(part), part) for part in (*parts, b"")]


def read_answer(conn) -> Answer:
    """Read an answer to its end; raise if it is not whole."""
    response = conn.getresponse()
    is_last = response.getheader("Connection", "").lower() == "close"
    return Answer(response.status, is_last, response.read())


def get_metrics(port) -> str:
    url = f"http://127.0.0.1:{port}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return answer.read().decode()


def idempotency_headers(key):
    return {"Idempotency-Key": key, "Bilberry-Repeat": "never"}


def completion_body(words=4, model=MODEL, prompt="x", stream=False) -> bytes:
    body = {"model": model, "max_tokens": words, "prompt": prompt}
    return json.dumps(body | {"stream": stream}).encode()
