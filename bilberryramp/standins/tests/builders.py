"""Builders of local systems and requests for tests of real processes."""

import json
import pathlib
import tempfile
import time
import urllib.error
import urllib.request

from bilberryramp.decisions.shared import views
from bilberryramp.settings import schema
from bilberryramp.standins import local_cluster

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
MODEL = "abay-passes-3b"
ENGINE = views.UpstreamKind.ENGINE
SERVICE = views.UpstreamKind.SERVICE
WAIT_S = 20.0


def cluster(case, controls=1, traces=False) -> local_cluster.Cluster:
    """Plans a system that ends with the test case class."""
    folder = tempfile.TemporaryDirectory()
    case.addClassCleanup(folder.cleanup)
    made = local_cluster.new_cluster(
        pathlib.Path(folder.name), controls, traces
    )
    case.addClassCleanup(local_cluster.stop_all, made)
    local_cluster.start_controls(made)
    return made


def standin(name, kind=ENGINE, **overrides) -> schema.StandinSettings:
    return schema.StandinSettings(name, kind, **overrides)


def add_engines(made, **overrides):
    """Starts the engines that the example tables need."""
    for name, service in (
        ("desk-1", "drafting-desk"),
        ("desk-2", "drafting-desk"),
        ("letters-1", "letter-llm"),
    ):
        engine = standin(name, **overrides)
        local_cluster.add_upstream(made, engine, service)


def submit(made, *args):
    return local_cluster.ctl(
        made,
        f"--routes={EXAMPLES / 'routes.yaml'}",
        f"--pools={EXAMPLES / 'pools.yaml'}",
        *args,
        "submit",
    )


def status(made) -> dict:
    shown = local_cluster.ctl(made, "--json", "status")
    return json.loads(shown.stdout)


def replica_status(control) -> dict | None:
    url = f"http://{control.operator_address}/v1/status"
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return json.loads(answer.read())
    except (urllib.error.URLError, OSError):
        return None


def leader_of(made) -> str:
    """Waits for a leader that a majority agrees on."""
    for _ in polls():
        seen = [replica_status(control) for control in made.controls]
        leading = [s for s in seen if s and s["phase"] == "leader"]
        if leading:
            newest = max(leading, key=lambda s: s["term"])
            return newest["replica_id"]
    raise AssertionError("no leader")


def wait_for(condition, what="condition"):
    for _ in polls():
        if condition():
            return
    raise AssertionError(f"not reached: {what}")


def polls():
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        yield
        time.sleep(0.05)


def post(port, path, body, headers=None, timeout=30):
    """Posts a request; returns its status and decoded JSON."""
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


def metrics(port) -> str:
    url = f"http://127.0.0.1:{port}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return answer.read().decode()


def marked(key):
    return {"Idempotency-Key": key, "Bilberry-Repeat": "never"}


def completion(words=4, model=MODEL, prompt="x", stream=False) -> bytes:
    body = {"model": model, "max_tokens": words, "prompt": prompt}
    return json.dumps(body | {"stream": stream}).encode()
