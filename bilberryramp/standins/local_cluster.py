"""Start a whole system on the loopback interface as separate processes.

``make demo`` and the tests with real processes use this module. The programs
of the system never start processes themselves.
"""

import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

from bilberryramp.decisions.shared import errors, views
from bilberryramp.programs import launch
from bilberryramp.settings import schema

__all__ = [
    "Cluster",
    "ClusterStartError",
    "Process",
    "add_entry",
    "add_upstream",
    "ctl",
    "free_ports",
    "kill",
    "new_cluster",
    "restart_process",
    "start_controls",
    "start_program",
    "stop",
    "stop_all",
    "wait_for_http",
    "wait_for_upstreams",
]

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05


class ClusterStartError(errors.BilberryError):
    """Raised when processes are not ready within the time limit."""


@dataclasses.dataclass(slots=True)
class Process:
    """A started program and what is needed to restart it.

    Attributes
    ----------
    program
        Name of the module in `bilberryramp.programs`.
    settings
        Settings file.
    child
        Operating system process of the latest start.
    """

    program: str
    settings: pathlib.Path
    child: subprocess.Popen


@dataclasses.dataclass(slots=True)
class Cluster:
    """A system of processes that listen on the loopback interface.

    Attributes
    ----------
    folder
        Folder for settings, logs and data folders.
    controls
        Names and addresses of the control replicas, as in the settings of
        all processes.
    traces
        Whether programs write trace spans to a file.
    processes
        Started programs by name.
    """

    folder: pathlib.Path
    controls: tuple[schema.ControlReplica, ...]
    traces: bool = False
    processes: dict[str, Process] = dataclasses.field(default_factory=dict)


def free_ports(count: int) -> list[int]:
    """Find free TCP ports on loopback.

    Parameters
    ----------
    count
        Number of ports.

    Returns
    -------
    list of int
        Distinct ports, which were free when this function checked them.
    """
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def new_cluster(
    folder: pathlib.Path, control_count: int, traces: bool = False
) -> Cluster:
    """Choose the addresses of a system without starting processes.

    Parameters
    ----------
    folder
        Folder for settings, logs and data, created if it does not exist.
    control_count
        Number of control replicas.
    traces
        Whether programs write trace spans to a file.

    Returns
    -------
    Cluster
        System without processes.
    """
    folder.mkdir(parents=True, exist_ok=True)
    ports = free_ports(2 * control_count)
    controls = tuple(
        schema.ControlReplica(
            replica_id=f"control-{number + 1}",
            address=f"tcp://127.0.0.1:{ports[2 * number]}",
            operator_address=f"127.0.0.1:{ports[2 * number + 1]}",
        )
        for number in range(control_count)
    )
    launch.write_yaml(folder / "ctl.yaml", schema.CtlSettings(controls))
    return Cluster(folder, controls, traces)


def start_controls(cluster: Cluster, **overrides) -> None:
    """Start every control replica, formatting data folders that do not exist.

    Parameters
    ----------
    cluster
        System of processes. Modified in place.
    **overrides
        Further fields of `schema.ControlSettings`.
    """
    for control in cluster.controls:
        name = control.replica_id
        data = cluster.folder / f"data-{name}"
        cfg = schema.ControlSettings(
            replica_id=name,
            replicas=cluster.controls,
            data_folder=str(data),
            telemetry=_telemetry_settings(cluster, name),
            **overrides,
        )
        settings = _write_settings(cluster, name, cfg)
        if not data.exists():
            command = _program_command("control", settings, "--format")
            subprocess.run(command, check=True)
        start_program(cluster, name, "control", settings)


def add_upstream(
    cluster: Cluster,
    standin: schema.StandinSettings,
    service: str,
    **overrides,
) -> None:
    """Start a stand-in and its upstream process.

    Parameters
    ----------
    cluster
        System of processes. Modified in place.
    standin
        Settings of the stand-in. Its name is part of the names of both
        processes; port 0 is replaced by a free port.
    service
        Service that the upstream belongs to.
    **overrides
        Fields of `schema.UpstreamSettings` that replace the defaults.
    """
    port = standin.port or free_ports(1)[0]
    standin = dataclasses.replace(
        standin,
        port=port,
        telemetry=_telemetry_settings(cluster, standin.name),
    )
    upstream_name = f"upstream-{standin.name}"
    engine = standin.kind == views.UpstreamKind.ENGINE
    cfg = schema.UpstreamSettings(
        name=standin.name,
        controls=cluster.controls,
        address="tcp://127.0.0.1:0",
        service=service,
        kind=standin.kind,
        engine_url=f"http://127.0.0.1:{port}",
        accelerators=standin.accelerators if engine else 0,
        memory_mib=standin.memory_mib if engine else 0,
        fenced=standin.fenced,
        telemetry=_telemetry_settings(cluster, upstream_name),
    )
    cfg = dataclasses.replace(cfg, **overrides)
    name = f"standin-{standin.name}"
    start_program(
        cluster, name, "standin", _write_settings(cluster, name, standin)
    )
    start_program(
        cluster,
        upstream_name,
        "upstream",
        _write_settings(cluster, upstream_name, cfg),
    )


def add_entry(cluster: Cluster, name: str, port: int = 0, **overrides) -> int:
    """Start an entry process.

    Parameters
    ----------
    cluster
        System of processes. Modified in place.
    name
        Name of the entry.
    port
        Port to listen at; 0 selects a free port.
    **overrides
        Further fields of `schema.EntryProgramSettings`.

    Returns
    -------
    int
        Port that the entry listens at.
    """
    port = port or free_ports(1)[0]
    cfg = schema.EntryProgramSettings(
        name=name,
        controls=cluster.controls,
        port=port,
        telemetry=_telemetry_settings(cluster, name),
        **overrides,
    )
    start_program(cluster, name, "entry", _write_settings(cluster, name, cfg))
    return port


def start_program(
    cluster: Cluster, name: str, program: str, settings: pathlib.Path
) -> None:
    """Start a program and append its output to a file of its name.

    Parameters
    ----------
    cluster
        System of processes. Modified in place.
    name
        Name of the process in `Cluster.processes`; a process that has this
        name already is replaced there.
    program
        Name of a module in `bilberryramp.programs`.
    settings
        Settings file of the program.
    """
    with (cluster.folder / f"{name}.out").open("a") as out:
        child = subprocess.Popen(
            _program_command(program, settings), stdout=out, stderr=out
        )
    cluster.processes[name] = Process(program, settings, child)


def restart_process(cluster: Cluster, name: str) -> None:
    """Start a process that has exited again with the same settings.

    Parameters
    ----------
    cluster
        System of processes. Modified in place.
    name
        Name of the process.
    """
    process = cluster.processes[name]
    start_program(cluster, name, process.program, process.settings)


def stop(cluster: Cluster, name: str) -> int:
    """Send SIGTERM to a process and wait until it has exited.

    Parameters
    ----------
    cluster
        System of processes.
    name
        Name of the process.

    Returns
    -------
    int
        Exit code of the process.

    Raises
    ------
    subprocess.TimeoutExpired
        If the process does not exit within `STOP_TIMEOUT_S`.
    """
    child = cluster.processes[name].child
    child.send_signal(signal.SIGTERM)
    return child.wait(STOP_TIMEOUT_S)


def kill(cluster: Cluster, name: str) -> None:
    """Send SIGKILL to a process and wait until it has exited.

    Parameters
    ----------
    cluster
        System of processes.
    name
        Name of the process.
    """
    child = cluster.processes[name].child
    child.kill()
    child.wait()


def stop_all(cluster: Cluster) -> None:
    """Stop all processes that still run.

    Processes are signaled in reverse order of their start, so that entries
    stop accepting calls first. SIGCONT resumes suspended processes, and a
    process that does not exit within `STOP_TIMEOUT_S` of SIGTERM is killed.

    Parameters
    ----------
    cluster
        System of processes.
    """
    children = [p.child for p in reversed(cluster.processes.values())]
    for child in children:
        if child.poll() is None:
            child.send_signal(signal.SIGCONT)
            child.terminate()
    for child in children:
        try:
            child.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()


def ctl(cluster: Cluster, *args: str) -> subprocess.CompletedProcess:
    """Run `bilberryctl` against the system.

    Parameters
    ----------
    cluster
        System of processes.
    *args
        Command-line arguments.

    Returns
    -------
    subprocess.CompletedProcess
        Exit code, and standard output and error as text.
    """
    settings = cluster.folder / "ctl.yaml"
    command = [
        *_python_command("from bilberryramp.programs import ctl; ctl.run()"),
        f"--ctl_settings={settings}",
        *args,
    ]
    return subprocess.run(command, capture_output=True, text=True)


def wait_for_upstreams(cluster: Cluster, count: int) -> None:
    """Wait until the control replicas list a number of upstreams.

    Parameters
    ----------
    cluster
        System of processes.
    count
        Smallest number of upstreams to wait for.

    Raises
    ------
    ClusterStartError
        If fewer upstreams are listed within `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        result = ctl(cluster, "status")
        lines = result.stdout.splitlines()
        if sum(line.startswith("upstream ") for line in lines) >= count:
            return
        time.sleep(POLL_INTERVAL_S)
    raise ClusterStartError(f"control lists fewer than {count} upstreams")


def wait_for_http(url: str, wait_s: float = START_TIMEOUT_S) -> None:
    """Wait until a URL answers with status 200.

    Parameters
    ----------
    url
        URL to request.
    wait_s
        Time limit in seconds.

    Raises
    ------
    ClusterStartError
        If no request returned status 200 within `wait_s`.
    """
    deadline = time.monotonic() + wait_s
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(url, timeout=2) as answer:
                if answer.status == 200:
                    return
        except (urllib.error.URLError, OSError):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise ClusterStartError(f"{url} did not return status 200")


def _telemetry_settings(
    cluster: Cluster, name: str
) -> schema.TelemetrySettings:
    return schema.TelemetrySettings(
        log_file=str(cluster.folder / f"{name}.log"),
        trace_exporter="file" if cluster.traces else "none",
        trace_file=str(cluster.folder / "spans.jsonl"),
    )


def _write_settings(cluster: Cluster, name: str, cfg) -> pathlib.Path:
    path = cluster.folder / f"{name}.yaml"
    launch.write_yaml(path, cfg)
    return path


def _program_command(
    program: str, settings: pathlib.Path, *more: str
) -> list[str]:
    code = f"from bilberryramp.programs import {program}; {program}.run()"
    return [*_python_command(code), f"--settings={settings}", *more]


def _python_command(code: str) -> list[str]:
    return [sys.executable, "-c", code]
