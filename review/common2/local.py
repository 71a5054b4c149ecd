"""A small fleet of the project's programs on loopback addresses.

Every machine has a loopback address of its own, as machines have addresses on
the platform, so the ports are the same on all of them.
"""

import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
NODE_COMMAND = ("-m", "bilberryramp.programs.node", "--metrics_port=9464")
AGENT_COMMAND = ("-m", "bilberryramp.programs.agent")
PEER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 7380, 8149, 8141, 8144
METRICS_PORT = 9464
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

SETTINGS = """
nodeName = "{name}"
role = "node"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internalPorts = [7380, 7395]
seeds = [{seeds}]
bootstrap = {bootstrap}
inTolerance = {durable}
{data_dir}
discovery = "registry"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet",
             "stream", "engine"]
configMode = "highest"
[zones]
za = "r"
zb = "r"
zc = "r"
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
control = "{ip}:8144"
[limits]
cpuShare = 0.968
cpuCores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machines = {tolerance}
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = {stable_ms}
ackMs = {ack_ms}
catchUpS = {catch_up_s}
drainMs = {drain_ms}
graceS = 8
lossSlackMs = 200
configApplyMs = {apply_ms}
rollbackSlackMs = 250
skewMaxMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
recoveryS = {recovery_s}
passMs = 120
retryAfterS = 0
fencingRequired = true
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1
"""
# Bounds of the installations with one machine to be lost, and with two.
SMALL = {
    "tolerance": 1,
    "stable_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "apply_ms": 2000,
    "recovery_s": 12,
    "memory_mb": 300,
}
GROWN = {
    "tolerance": 2,
    "stable_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 6,
    "drain_ms": 2500,
    "apply_ms": 2500,
    "recovery_s": 15,
    "memory_mb": 200,
}


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """File of what was sent, answered and run, with times in seconds."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.path.write_text("")
        self.began = time.monotonic()

    def __call__(self, text):
        """Write a line, and print it."""
        print(self.note(text), flush=True)

    def note(self, text):
        """Write a line, and return it."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        with self.path.open("a") as file:
            print(line, file=file)
        return line


class Machine:
    """A machine, with the process of the role that runs there."""

    def __init__(self, fleet, number, durable):
        self.fleet, self.number = fleet, number
        self.name = f"front-{number}"
        self.ip = f"{fleet.net}.{number}"
        self.zone = ("za", "zb", "zc")[number % 3]
        self.data = fleet.folder / f"{self.name}-data" if durable else None
        self.settings = fleet.folder / f"{self.name}.toml"
        self.log = fleet.folder / f"{self.name}.log"
        self.proc = None
        if self.data:
            self.data.mkdir()

    @property
    def front(self):
        """Address for consumers."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def control(self):
        """Address for the operator and the engines."""
        return f"{self.ip}:{CONTROL_PORT}"

    def write_settings(self, bootstrap):
        """Write the settings file as the platform does."""
        fleet = self.fleet
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=", ".join(f'"{seed}"' for seed in fleet.seeds),
            bootstrap=str(bootstrap).lower(),
            durable=str(bool(self.data)).lower(),
            data_dir=f'dataDir = "{self.data}"' if self.data else "",
            **fleet.bounds,
        )
        self.settings.write_text(text)

    def start(self, is_first=True):
        """Start the process; `bootstrap` is true the first time only.

        It is also false for a machine that is added later.
        """
        self.write_settings(bootstrap=is_first and self.proc is None)
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}"
        env["SSL_CERT_FILE"] = "/dev/null"
        env["BILBERRYRAMP_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.proc = subprocess.Popen(
                [sys.executable, *NODE_COMMAND],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record(f"start {self.name}")

    def send(self, number):
        """Send a signal to the process."""
        self.fleet.record(f"{signal.Signals(number).name} {self.name}")
        self.proc.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        self.proc.wait()

    def lose_disk(self):
        """Empty the data folder of a process that has ended."""
        self.fleet.record(f"disk lost {self.name}")
        shutil.rmtree(self.data)
        self.data.mkdir()


class Fleet:
    """Machines with the settings of one installation."""

    def __init__(self, record, bounds, durable, others=0):
        self.record, self.bounds = record, bounds
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.net = _free_net(durable + others)
        self.seeds = [
            f"{self.net}.{number}:{CONTROL_PORT}"
            for number in range(1, min(durable, 3) + 1)
        ]
        self.machines = [
            Machine(self, number, number <= durable)
            for number in range(1, durable + others + 1)
        ]

    def start(self):
        """Start all machines for the first time."""
        for machine in self.machines:
            machine.start()

    def end(self):
        """End all processes, and remove the temporary folder."""
        for machine in self.machines:
            if machine.proc is not None and machine.proc.poll() is None:
                machine.proc.send_signal(signal.SIGCONT)
                machine.proc.kill()
                machine.proc.wait()
        if os.environ.get("KEEP_LOGS"):
            self.record(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_net(count):
    """Return three bytes of loopback addresses whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randrange(30, 250)}.{random.randrange(1, 250)}"
        try:
            for number in range(1, count + 1):
                for port in (
                    PEER_PORT,
                    FRONT_PORT,
                    READY_PORT,
                    CONTROL_PORT,
                    METRICS_PORT,
                ):
                    with socket.socket() as sock:
                        sock.bind((f"{net}.{number}", port))
        except OSError:
            continue
        return net
    raise NotRunError("no free addresses")


class _NoRedirect(urllib.request.HTTPRedirectHandler):
    def redirect_request(self, *args):
        return None


_OPENER = urllib.request.build_opener(
    urllib.request.ProxyHandler({}), _NoRedirect
)


def call(address, path, body=None, timeout_s=1.0):
    """Call a machine, following two redirects; return status and body.

    The status is 0 if there is no answer.
    """
    url = f"http://{address}{path}"
    for _ in range(3):
        req = urllib.request.Request(url, data=body)
        try:
            with _OPENER.open(req, timeout=timeout_s) as resp:
                return resp.status, resp.read()
        except urllib.error.HTTPError as exc:
            if exc.code != 307:
                return exc.code, exc.read()
            url = exc.headers["Location"]
        except OSError:
            return 0, b""
    return 307, b""


def make_route(prefix, service, kind, **changes):
    """Return the fields of a route."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 6000,
        "latencyTargetMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
    } | changes


def make_document(version, routes, **changes):
    """Return the body of a configuration with two services."""
    engine = {
        "slots": 64,
        "kvCapacity": 232000,
        "stride": 4,
        "models": [
            {
                "name": "m0",
                "weightsMb": 34300.0,
                "loadS": 2.6,
                "adapters": 0,
                "adapterMb": 40.0,
            }
        ],
        "weightsMb": 200000.0,
        "adapterSlots": 5,
        "loadsPerS": 1.1,
    }
    services = [
        {
            "name": name,
            "healthPath": "/health",
            "maxConns": 130,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("svc-llm", "svc-app")
    ]
    services[0]["engine"] = engine
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        | changes
    ).encode()


def put(record, machines, body, within_s):
    """Send a configuration as the operator does, until it is acknowledged.

    Return the machine that acknowledged it, or None.
    """
    version = json.loads(body)["version"]
    until = time.monotonic() + within_s
    pause_s = 0.1
    while time.monotonic() < until:
        machine = random.choice(machines)
        status, _ = call(machine.control, "/config/put", body)
        record(f"put version {version} at {machine.name}: {status}")
        if status == 200:
            return machine
        if status in (400, 409, 412, 413, 422):
            return None
        time.sleep(pause_s)
        pause_s = min(2 * pause_s, 1.0)
    return None


def run_case(folder, play):
    """Run a case and exit with its result.

    Parameters
    ----------
    folder
        Folder of the case.
    play
        Function of the record, and whether there is trouble, that returns
        whether the rule held.
    """
    record = Record(folder)
    # The processes are ended also if this one is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    try:
        held = play(record, trouble)
    except NotRunError as exc:
        record(f"the case could not run: {exc}")
        sys.exit(EXIT_NOT_RUN)
    except Exception as exc:
        record(f"the case could not run: {exc!r}")
        sys.exit(EXIT_NOT_RUN)
    record("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
