"""A small deployment on loopback addresses, for the scripts of this review.

The programs of the project run as separate processes with the commands of the
deploy file. Engines, clients and the operator are small stand-ins that live in
the process of the script. Every machine has a loopback address of its own; the
ports are free ones and the same on all machines.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUEST_ID = "X-Bilberryramp-Request-Id"
SIGNATURE = "X-Bilberryramp-Server-Signature"
NOT_EXECUTED = "X-Bilberryramp-Not-Executed"
HOST = "desk.example"
HEARTBEAT_S = 1.2
# Times for which an engine that has crashed is away, and loads a model that
# it has on its disk.
RESTART_ENGINE_S = 2.0
LOAD_S = 0.4
# Time after which the platform starts a program that has ended.
RESTART_S = 0.5
# Time that the operator waits for an answer before it asks another node.
OPERATOR_TIMEOUT_S = 1.0
BROKEN, HELD, CANNOT_RUN = 1, 0, 2

SETTINGS = """
nodeName = "{name}"
role = "{role}"
machineClass = "{machine_class}"
serves = [{serves}]
ip = "{ip}"
zone = "isles-a"
region = "north-isles"
internalPorts = [{peer}, {peer}]
seeds = [{seeds}]
bootstrap = {bootstrap}
inTolerance = true
dataDir = "{data}"
discovery = "registry"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet",\
"stream","engine"]
configMode = "highest"
{app}
[zones]
isles-a = "north-isles"
[listen]
{listen}
[limits]
cpuShare = 0.968
cpuCores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 60
recoveryS = 12
passMs = 120
retryAfterS = 0
fencingRequired = true
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1
"""


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, one line each, in a file."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = self.path.open("w", encoding="utf-8")
        self.start_s = time.monotonic()

    def note(self, event, /, **fields):
        """Write a line on an event."""
        at_s = time.monotonic() - self.start_s
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at_s:8.3f} {event} {rest}\n")

    def say(self, text):
        """Write a line, and print it."""
        self.note("script", text=text)
        print(text, flush=True)


def free_ports(addresses, count):
    """Return ports that are free on all addresses."""
    ports = []
    held = []
    while len(ports) < count:
        socks = []
        try:
            first = socket.socket()
            socks.append(first)
            first.bind((addresses[0], 0))
            port = first.getsockname()[1]
            for address in addresses[1:]:
                sock = socket.socket()
                socks.append(sock)
                sock.bind((address, port))
            ports.append(port)
        except OSError:
            pass
        held += socks
    for sock in held:
        sock.close()
    return ports


class Program:
    """A program of the deploy file on one machine, kept running."""

    def __init__(self, fleet, name, role, ip, bootstrap=True, app=""):
        self.fleet, self.name, self.role, self.ip = fleet, name, role, ip
        self.bootstrap, self.app = bootstrap, app
        self.process = None
        self.ends = []
        self.kills = 0
        self.keeper = None
        self.is_wanted = False

    @property
    def data(self):
        """Folder on the disk of the machine."""
        return self.fleet.folder / self.name / "data"

    def _write_settings(self):
        fleet, spec = self.fleet, ROLES[self.role]
        is_front = spec["on"] == "front"
        listen = ""
        if is_front:
            listen = "\n".join(
                f'{key} = "{self.ip}:{fleet.ports[key]}"'
                for key in ("front", "ready", "control")
            )
            self.data.mkdir(parents=True, exist_ok=True)
        folder = fleet.folder / self.name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "node.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                role=self.role,
                machine_class=spec["on"],
                serves=", ".join(f'"{word}"' for word in spec["serves"]),
                ip=self.ip,
                peer=fleet.ports["peer"],
                seeds=", ".join(f'"{seed}"' for seed in fleet.seeds()),
                bootstrap="true" if self.bootstrap else "false",
                data=str(self.data) if is_front else "",
                app=f'app = "{self.app}"' if self.app else "",
                listen=listen,
                memory_mb=300 if is_front else 232,
            )
        )
        return path

    async def start(self):
        """Start the program once."""
        path = self._write_settings()
        spec = ROLES[self.role]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= spec.get("env", {})
        env["BILBERRYRAMP_SETTINGS"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (path.parent / "output").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *spec["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=output,
            )
        self.fleet.record.note("start", program=self.name)

    async def keep(self):
        """Start the program, and again whenever it has ended."""
        self.is_wanted = True
        while self.is_wanted:
            await self.start()
            kills = self.kills
            status = await self.process.wait()
            if not self.is_wanted:
                return
            was_killed = self.kills > kills
            self.ends.append((time.monotonic(), status, was_killed))
            self.fleet.record.note(
                "end", program=self.name, status=status, by_script=was_killed
            )
            self.bootstrap = False
            await asyncio.sleep(RESTART_S)

    def signal(self, signum):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    def kill(self):
        """End the process from outside."""
        self.kills += 1
        self.signal(signal.SIGKILL)

    def anonymous_mb(self):
        """Return the memory that is the process's own, without files."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def output(self):
        """Return what the program has logged."""
        path = self.fleet.folder / self.name / "output"
        return path.read_text(errors="replace") if path.exists() else ""


class Engine:
    """A sound engine: model engine or plain service."""

    def __init__(self, fleet, upstream_id, service, ip, models=()):
        self.fleet, self.id, self.service = fleet, upstream_id, service
        self.name, self.ip = upstream_id, ip
        self.boot, self.is_up, self.busy, self.fence = 0, True, False, -1
        self.models = [
            {"name": name, "version": 1, "adapters": []} for name in models
        ]
        self.born = int(time.time() * 1000)
        self.seq = self.orders = 0
        self.slots = 64 if models else 6
        self.service_s = 0.06
        self.running = 0
        self.gate = asyncio.Semaphore(self.slots)
        self.runs = []
        self.runner = None
        self.on_run = lambda engine, request: None
        self.on_end = lambda request_id, at_s: None

    @property
    def address(self):
        """Host and port of the engine."""
        return f"{self.ip}:{self.fleet.ports['app']}"

    async def start(self):
        """Listen."""
        server = web.Server(
            self.serve,
            access_log=None,
            handler_cancellation=True,
            max_line_size=65536,
            max_field_size=65536,
        )
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.ip, self.fleet.ports["app"])
        await site.start()

    async def stop(self):
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def heartbeat(self):
        """Return the fields of the next check-in."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "isles-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "both",
            "models": self.models,
            "seq": self.seq,
            "born": self.born,
        }

    async def serve(self, request):
        """Answer a call or a request."""
        if request.path == "/report":
            return web.json_response(
                {
                    "stage": "both",
                    "models": self.models,
                    "busy": self.busy,
                    "seq": self.orders,
                    "waiting": 0,
                    "running": self.running,
                    "kvUsed": 0,
                    "kvTotal": 232000,
                    "handles": 0,
                    "born": self.born,
                }
            )
        if request.path == "/health":
            return web.Response(
                headers={"X-Bilberryramp-Instance-Id": self.id}
            )
        if request.path == "/order":
            return await self.serve_order(request)
        return await self.serve_call(request)

    async def serve_order(self, request):
        """Accept an order to load a model, as the pages say."""
        fields = json.loads(await request.read())
        expected = request.headers.get("X-Bilberryramp-Expected-Instance")
        if expected and expected != self.id:
            return web.Response(status=421)
        if fields["fence"] < self.fence:
            return web.Response(status=412)
        if fields.get("precondition", self.orders) != self.orders or self.busy:
            return web.Response(status=409)
        self.fence = fields["fence"]
        held = {row["name"] for row in self.models}
        if fields["op"] != "load" or fields["model"] in held:
            return web.Response(status=200)
        self.orders += 1
        self.busy = True
        boot = self.boot

        def finish():
            if boot == self.boot:
                self.busy = False
                self.models.append(
                    {"name": fields["model"], "version": 1, "adapters": []}
                )

        asyncio.get_running_loop().call_later(LOAD_S, finish)
        return web.Response(status=202)

    async def crash(self):
        """End without a word, and start again, empty, after some seconds."""
        self.boot += 1
        self.is_up = False
        self.fleet.record.note("crash", engine=self.id)
        runner, self.runner = self.runner, None
        for conn in list(runner.server.connections):
            if conn.transport is not None:
                conn.transport.abort()
        await runner.cleanup()
        await asyncio.sleep(RESTART_ENGINE_S)
        self.id = f"{self.name}-b{self.boot}"
        self.born = int(time.time() * 1000)
        self.seq = self.orders = self.running = 0
        self.fence, self.busy, self.models = -1, False, []
        self.gate = asyncio.Semaphore(self.slots)
        await self.start()
        self.is_up = True

    async def serve_call(self, request):
        """Answer a request of a consumer."""
        request_id = request.headers.get(REQUEST_ID, "")
        headers = {REQUEST_ID: request_id}
        expected = request.headers.get("X-Bilberryramp-Expected-Instance")
        model = request.headers.get("X-Bilberryramp-Model", "").split("/")[0]
        held = {row["name"] for row in self.models}
        if (expected and expected != self.id) or (model and model not in held):
            return web.Response(status=421, headers=headers)
        body = await request.read()
        if self.running >= self.slots + 24:
            headers[NOT_EXECUTED] = "1"
            return web.Response(status=503, headers=headers)
        headers[SIGNATURE] = f"sig-{self.id}-{request_id}"
        self.running += 1
        boot = self.boot
        try:
            async with self.gate:
                return await self.work(request, request_id, body, headers)
        finally:
            self.running -= boot == self.boot

    async def work(self, request, request_id, body, headers):
        """Run a request in one of the slots."""
        begun_s = time.monotonic()
        self.runs.append((begun_s, request_id))
        self.fleet.record.note(
            "run",
            engine=self.id,
            id=request_id,
            target=f"{request.method} {request.raw_path}",
        )
        self.on_run(self, request)
        end = "cancelled"
        try:
            await asyncio.sleep(self.service_s)
            end = "done"
            if "X-Bilberryramp-Model" not in request.headers:
                return web.Response(body=b"did " + body, headers=headers)
            headers["Content-Type"] = "text/event-stream"
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            for number in range(3):
                await response.write(
                    b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
                )
            await response.write_eof()
            return response
        finally:
            self.on_end(request_id, time.monotonic())
            self.fleet.record.note(
                "ran",
                engine=self.id,
                id=request_id,
                end=end,
                took_ms=round(1000 * (time.monotonic() - begun_s)),
            )


class Fleet:
    """The deployment: nodes, engines with their agents, and an operator."""

    def __init__(self, folder, node_count=3, model_engines=3, plain_engines=3):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberry-review-"))
        self.node_ips = [f"127.31.1.{n + 1}" for n in range(node_count)]
        side_ips = [f"127.31.2.{n + 1}" for n in range(model_engines)]
        plain_ips = [f"127.31.3.{n + 1}" for n in range(plain_engines)]
        names = ("peer", "front", "ready", "control", "app")
        ports = free_ports(self.node_ips + side_ips + plain_ips, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.engines = [
            Engine(self, f"i-model-{n}", "drafting-desk", ip, ["m0"])
            for n, ip in enumerate(side_ips)
        ] + [
            Engine(self, f"i-plain-{n}", "corrections-ledger", ip)
            for n, ip in enumerate(plain_ips)
        ]
        self.nodes = [
            Program(self, f"front-{n + 1}", "node", ip)
            for n, ip in enumerate(self.node_ips)
        ]
        self.agents = [
            Program(
                self,
                f"side-{n + 1}",
                "agent",
                ip,
                app=f"{ip}:{self.ports['app']}",
            )
            for n, ip in enumerate(side_ips)
        ]
        self.tasks = []

    def seeds(self):
        """Return the seeds of the settings."""
        return [f"{ip}:{self.ports['control']}" for ip in self.node_ips]

    def document(self, version, **changes):
        """Return a configuration as JSON."""
        route = {
            "host": HOST,
            "priority": 1,
            "sticky": False,
            "resumable": False,
        }
        fields = {
            "version": version,
            "routes": [
                route
                | {
                    "name": "draft",
                    "pathPrefix": "/draft/",
                    "kind": "streaming",
                    "timeoutMs": 15000,
                    "latencyTargetMs": 4000,
                    "service": "drafting-desk",
                    "maxAttempts": 1,
                    "sticky": True,
                    "gapAimMs": 600,
                },
                route
                | {
                    "name": "file",
                    "pathPrefix": "/file/",
                    "kind": "non_idempotent",
                    "timeoutMs": 4000,
                    "latencyTargetMs": 400,
                    "service": "corrections-ledger",
                    "maxAttempts": 1,
                },
                route
                | {
                    "name": "look",
                    "pathPrefix": "/look/",
                    "kind": "idempotent",
                    "timeoutMs": 4000,
                    "latencyTargetMs": 400,
                    "service": "corrections-ledger",
                    "maxAttempts": 2,
                },
            ],
            "services": [
                {
                    "name": "drafting-desk",
                    "healthPath": "/health",
                    "maxConns": 380,
                    "protocol": "h1",
                    "tls": False,
                    "engine": {
                        "slots": 64,
                        "kvCapacity": 232000,
                        "kvTokenBytes": 327680,
                        "linkMbps": 260000.0,
                        "moves": True,
                        "backups": True,
                        "stride": 4,
                        "cap": 12,
                        "models": [
                            {
                                "name": "m0",
                                "weightsMb": 34300.0,
                                "loadS": 2.0,
                                "adapters": 0,
                                "adapterMb": 40.0,
                                "warmS": 0.28,
                                "diskS": 0.4,
                            }
                        ],
                        "weightsMb": 200000.0,
                        "adapterSlots": 8,
                        "loadsPerS": 2.1,
                    },
                },
                {
                    "name": "corrections-ledger",
                    "healthPath": "/health",
                    "maxConns": 120,
                    "protocol": "h1",
                    "tls": False,
                },
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        return json.dumps(fields | changes).encode()

    async def start(self):
        """Start engines and programs."""
        for engine in self.engines:
            await engine.start()
        for program in (*self.nodes, *self.agents):
            program.keeper = asyncio.create_task(program.keep())
        for engine in self.engines:
            self.tasks.append(
                asyncio.create_task(self.send_heartbeats(engine))
            )

    async def send_heartbeats(self, engine):
        """Check in at one node, or else the next."""
        turn = 0
        while True:
            if not engine.is_up:
                await asyncio.sleep(0.1)
                continue
            fields = json.dumps(engine.heartbeat()).encode()
            for _ in self.node_ips:
                ip = self.node_ips[turn % len(self.node_ips)]
                path = f"/instances/{engine.id}/heartbeat"
                status, _, _ = await call(
                    ip, self.ports["control"], "POST", path, fields, 1.0
                )
                if 200 <= status < 300:
                    break
                turn += 1
            boot, end_s = engine.boot, time.monotonic() + HEARTBEAT_S
            while time.monotonic() < end_s and engine.boot == boot:
                await asyncio.sleep(0.05)

    async def submit(self, body, tries=20, first=0):
        """Send a configuration as the operator does; return the status."""
        for turn in range(tries):
            ip = self.node_ips[(first + turn) % len(self.node_ips)]
            status = await self.submit_once(ip, body)
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status
            await asyncio.sleep(min(0.2 * 1.3**turn, 2.0))
        return 0

    async def submit_once(self, ip, body):
        """Send a configuration to one node, and follow redirections."""
        port = self.ports["control"]
        for _ in range(3):
            status, headers, _ = await call(
                ip, port, "POST", "/config/put", body, OPERATOR_TIMEOUT_S
            )
            self.record.note("put", node=ip, bytes=len(body), status=status)
            if status != 307:
                return status
            address = headers["location"].split("/")[2]
            ip, _, port = address.partition(":")
            port = int(port)
        return status

    async def wait_ready(self, timeout_s=40):
        """Wait until all nodes say that they are ready."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            ready = [
                (await call(ip, self.ports["ready"], "GET", "/ready"))[0]
                for ip in self.node_ips
            ]
            if all(status == 200 for status in ready):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the nodes are not ready")

    async def prepare(self):
        """Start all, and return once requests are served."""
        await self.start()
        await asyncio.sleep(2.0)
        if await self.submit(self.document(3)) != 200:
            raise CannotRunError("the first configuration is not confirmed")
        await self.wait_ready()
        await asyncio.sleep(2.0)

    async def stop(self):
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        programs = (*self.nodes, *self.agents)
        for program in programs:
            program.is_wanted = False
            program.kill()
        for program in programs:
            if program.keeper is not None:
                with contextlib.suppress(asyncio.CancelledError):
                    program.keeper.cancel()
                    await program.keeper
            if program.process is not None:
                program.signal(signal.SIGKILL)
                await program.process.wait()
        for engine in self.engines:
            await engine.stop()
        self.record.file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_answer(reader):
    """Read one HTTP answer; raise if it is not complete."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    status = int(first.split()[1])
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
    elif status not in (204, 304):
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return status, headers, body


async def call(ip, port, method, path, body=b"", timeout_s=1.0, headers=()):
    """Make one call on a channel of its own; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(
                make_request(
                    method, path, body, (("Connection", "close"), *headers)
                )
            )
            return await read_answer(reader)
    except (OSError, EOFError, ValueError, TimeoutError, IndexError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


def make_request(method, path, body=b"", headers=()):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    if not any(name == "Host" for name, _ in headers):
        lines.append(f"Host: {HOST}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(folder, play, **sizes):
    """Play a case and exit with its verdict."""
    if not (ROOT / "target" / "deps").exists():
        print("the build of the deploy file is missing")
        sys.exit(CANNOT_RUN)

    async def main():
        fleet = Fleet(folder, **sizes)
        try:
            await fleet.prepare()
            return await play(fleet)
        except CannotRunError as exc:
            fleet.record.say(f"cannot run: {exc}")
            return CANNOT_RUN
        finally:
            await fleet.stop()

    try:
        sys.exit(asyncio.run(main()))
    except OSError as exc:
        print(f"cannot run: {exc!r}")
        sys.exit(CANNOT_RUN)
