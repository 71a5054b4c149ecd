"""Runs the whole system on loopback until SIGINT or SIGTERM."""

import pathlib
import signal
import sys
import tempfile
import threading

from absl import app, flags

from bilberryramp.decisions.shared import views
from bilberryramp.settings import schema
from bilberryramp.standins import local_cluster

_PORT = flags.DEFINE_integer("entry_port", 8700, "The entry's port.")
_CONTROLS = flags.DEFINE_integer("controls", 1, "Control replicas.")
_FOLDER = flags.DEFINE_string("folder", "", "Folder for data and logs.")

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_ENGINES = (
    ("desk-1", "drafting-desk", "isles-a"),
    ("desk-2", "drafting-desk", "isles-b"),
    ("letters-1", "letter-llm", "addis-bole"),
)


def start(cluster: local_cluster.Cluster) -> None:
    local_cluster.start_controls(cluster)
    for name, service, domain in _ENGINES:
        engine = schema.StandinSettings(name, views.UpstreamKind.ENGINE)
        local_cluster.add_upstream(
            cluster, engine, service, failure_domain=domain
        )
    ledger = schema.StandinSettings("ledger-1", views.UpstreamKind.SERVICE)
    local_cluster.add_upstream(
        cluster, ledger, "corrections-ledger", failure_domain="isles-a"
    )
    local_cluster.add_entry(cluster, "entry-1", _PORT.value)
    local_cluster.wait_for_upstreams(cluster, len(_ENGINES) + 1)
    submitted = local_cluster.ctl(
        cluster,
        f"--routes={_EXAMPLES / 'routes.yaml'}",
        f"--pools={_EXAMPLES / 'pools.yaml'}",
        "submit",
    )
    print(submitted.stdout or submitted.stderr, end="")
    local_cluster.wait_for_http(f"http://127.0.0.1:{_PORT.value}/readyz")


def main(_argv: list[str]) -> None:
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    folder = pathlib.Path(_FOLDER.value or tempfile.mkdtemp())
    cluster = local_cluster.new_cluster(folder, _CONTROLS.value, traces=True)
    try:
        start(cluster)
        url = f"http://127.0.0.1:{_PORT.value}/v1/chat/completions"
        body = '{"model":"abay-passes-3b","messages":[]}'
        print("ready")
        print(f"curl {url} -H 'Content-Type: application/json' -d '{body}'")
        print(f"logs and spans: {folder}", flush=True)
        stopped.wait()
    except local_cluster.ClusterStartError as exc:
        print(f"error: {exc}; logs: {folder}", file=sys.stderr)
        sys.exit(1)
    finally:
        local_cluster.stop_all(cluster)


if __name__ == "__main__":
    app.run(main)
