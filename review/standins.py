"""Stand-ins that the review's scripts share: platform, engines and clients.

The store is the project's own emulated one. Engines and clients work on raw sockets, so
that a script decides about each byte that is sent.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from aiohttp import web

from borageworks_emulator.platform.store import EmulatedPlatformStore

ROOT = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"
ENGINES = "huvo11a"
DESK = "wuno96b"
ZONES = ("plovdiv-a", "plovdiv-b", "plovdiv-c")
START_TIMEOUT_S = 20.0
CONTACT_S = 3.0
MAX_MISSES = 2
# Below the ports that systems usually give to outgoing connections.
LISTENING_PORTS = (12_000, 32_000)
FIRST_TOKEN_S = 0.08
ENGINE_RESTART_S = 3.0
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        elapsed_s = time.monotonic() - self._started_at
        self._file.write(f"{elapsed_s:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Head:
    """First line and headers of a request or response."""

    line: str
    headers: dict[str, str]

    @property
    def attempt(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("x-borageworks-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a message up to its blank line."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = text.removesuffix("\r\n\r\n").split("\r\n")
    headers = {}
    for item in fields:
        name, _, value = item.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(line, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a body in chunks, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a complete body with a length or in chunks."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while chunk := await read_chunk(reader):
            body += chunk
        return bytes(body)
    return await reader.readexactly(int(head.headers.get("content-length", "0")))


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def stream_head(identity: str) -> bytes:
    """Return the head of a stream in chunks."""
    return (
        f"HTTP/1.1 200 OK\r\n{identity}Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body, the last one for no data."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


@dataclass
class Run:
    """A request that an engine began to work on."""

    engine: Engine
    head: Head
    body: bytes
    writer: asyncio.StreamWriter
    number: int

    @property
    def identity(self) -> str:
        """Header lines by which the engine identifies request and answer."""
        return (
            f"X-Borageworks-Attempt-Id: {self.head.attempt}\r\n"
            f"X-Borageworks-Response-Seal: {self.engine.id}.{self.number}\r\n"
        )


Answer = Callable[[Run], Awaitable[None]]


class Engine:
    """Engine of the platform; `answer` writes the answer to a request that runs.

    Parameters
    ----------
    name, service
        Id and service in its entry.
    record
        Receives a line for each request that runs.
    answer
        Writes the answer of a run.
    zone
        Zone of its entry.
    slots
        Requests at once.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        answer: Answer,
        zone: str = ZONES[0],
        slots: int = 48,
    ) -> None:
        self.id = name
        self.service = service
        self.answer = answer
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self.address = ("127.0.0.1", 0)
        self.record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, after a restart on the former one."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def crash(self) -> None:
        """Close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    def entry(self) -> bytes:
        """Return the entry that the engine writes to the store."""
        return orjson.dumps(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_ms": 0,
                "phase": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self.sequence,
                "born": self.born,
            }
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self._answer(head, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        path = head.line.split(" ")[1]
        if path.startswith(("/kv-list", "/kv-events")):
            wait_ms = float(head.headers.get("wait-ms", "0"))
            if path.startswith("/kv-events"):
                await asyncio.sleep(wait_ms / 1000)
            fields = {"epoch": self.born, "next": 1, "lost": False, "born": self.born}
            payload = orjson.dumps({**fields, "events": [], "held": []})
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                + f"Content-Length: {len(payload)}\r\n\r\n".encode()
                + payload
            )
            return
        if head.headers.get("x-borageworks-expect-instance", self.id) != self.id:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                + f"X-Borageworks-Attempt-Id: {head.attempt}\r\n".encode()
                + f"X-Borageworks-Served-By: {self.id}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return
        self.arrivals.append((time.monotonic(), head.attempt))
        run = Run(self, head, body, writer, len(self.runs))
        self.runs.append(run)
        self.record.line(f"run {head.attempt} at {self.id}")
        await self.answer(run)


class CrashingEngine(Engine):
    """Engine that crashes as it begins an answer, and is back after some seconds.

    Parameters
    ----------
    name, record, answer, zone
        As for an engine of the service of model engines.
    store
        Store in which it registers again.
    crashes_on
        Returns whether a request crashes the engine that begins to answer it.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        answer: Answer,
        zone: str,
        store: EmulatedPlatformStore,
        crashes_on: Callable[[Run], bool],
    ) -> None:
        super().__init__(name, ENGINES, record, self._answer_or_crash, zone)
        self._name = name
        self._sound_answer = answer
        self._store = store
        self._crashes_on = crashes_on
        self._starts = 1
        self._restart: asyncio.Task[None] | None = None
        # Times of the runs that crashed it, with their attempts.
        self.crash_runs: list[tuple[float, str]] = []

    async def _answer_or_crash(self, run: Run) -> None:
        if not self._crashes_on(run):
            await self._sound_answer(run)
            return
        await asyncio.sleep(FIRST_TOKEN_S)
        self.crash_runs.append((time.monotonic(), run.head.attempt))
        self.record.line(f"{run.head.attempt} crashes {self.id}")
        self.crash()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(ENGINE_RESTART_S)
        former = self.id
        self._starts += 1
        self.id = f"{self._name}-{self._starts}"
        self.born = int(time.time() * 1000)
        await self.start()
        await self._store.delete(f"servers/{former}")
        await self._store.put(f"servers/{self.id}", self.entry())
        self.record.line(f"{former} is back as {self.id}")


async def answer_plain(run: Run) -> None:
    """Answer a request with its body of 800 bytes."""
    await asyncio.sleep(0.03)
    payload = plain_body(run.head.attempt)
    run.writer.write(
        f"HTTP/1.1 200 OK\r\n{run.identity}"
        f"Content-Length: {len(payload)}\r\n\r\n".encode()
        + payload
    )


async def answer_stream(run: Run, pieces: int = 10, gap_s: float = 0.05) -> None:
    """Answer a request with a whole stream that goes on at `Last-Event-Id`."""
    await asyncio.sleep(0.05)
    run.writer.write(stream_head(run.identity))
    first = int(run.head.headers.get("last-event-id", "-1")) + 1
    for number in range(first, pieces):
        run.writer.write(chunk(event(number)))
        await run.writer.drain()
        await asyncio.sleep(gap_s)
    run.writer.write(chunk(b""))


def plain_body(attempt: str) -> bytes:
    """Return the body of an engine's answer to a request."""
    return (f"answer to {attempt} ".encode() * 40)[:800].ljust(800, b".")


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration like that of the site, with one route of each kind."""

    def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": f"r-{name}",
            "hostname": HOST,
            "prefix": f"/{name}/",
            "route_type": kind,
            "target_latency_ms": 600,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
            "sticky": service == ENGINES,
            "resumable": False,
            **fields,
        }

    return {
        "version": version,
        "routes": [
            route(
                "quote",
                "streaming",
                ENGINES,
                timeout_ms=8000,
                resumable=True,
                gap_aim_ms=250,
            ),
            route("guide", "streaming", ENGINES, timeout_ms=5000, gap_aim_ms=250),
            route(
                "book",
                "non_idempotent",
                DESK,
                timeout_ms=800,
                target_latency_ms=150,
                max_attempts=1,
            ),
            route("status", "idempotent", DESK, timeout_ms=800, target_latency_ms=150),
        ],
        "services": [
            {
                "name": ENGINES,
                "health_path": "/health",
                "max_conns": 300,
                "engine": {"slots": 48, "kv_capacity": 444_000},
            },
            {"name": DESK, "health_path": "/health", "max_conns": 110},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
            "tokens_per_s": 170_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        **changes,
    }


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens.

    They are none that the system gives to outgoing connections, which could take them
    before the program that is to listen there.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*LISTENING_PORTS)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class GatewayProcess:
    """A gateway that runs as the deploy file says, on loopback addresses."""

    def __init__(
        self, name: str, zone: str, store: tuple[str, int], folder: Path
    ) -> None:
        self.name = name
        self.zone = zone
        self.store = store
        self._folder = folder
        self.front, self.ready, self.control, self.peer, self.metrics = free_ports(5)
        self.seeds = [self.control]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, *, bootstrap: bool = True) -> None:
        """Write the settings file and start the process."""
        path = self._folder / f"{self.name}.conf"
        path.write_text(self._settings(bootstrap))
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ("PATH", "HOME", "LANG")
        } | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BORAGEWORKS_CONFIG": str(path),
            "BORAGEWORKS_METRICS_PORT": str(self.metrics),
        }
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "borageworks.platform.start"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                    return " 200 " in (await read_head(reader)).line
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def _settings(self, bootstrap: bool) -> str:
        seeds = ",".join(f"127.0.0.1:{port}" for port in self.seeds)
        lines = [
            f"node_name={self.name}",
            "role=gateway",
            "node_class=edge",
            "serves=edge,control_plane",
            "ip=127.0.0.1",
            f"zone={self.zone}",
            "region=plovdiv",
            *(f"zones.{zone}=plovdiv" for zone in ZONES),
            f"listen.front=127.0.0.1:{self.front}",
            f"listen.ready=127.0.0.1:{self.ready}",
            f"listen.control=127.0.0.1:{self.control}",
            f"port_range={self.peer},{self.peer}",
            f"seeds={seeds}",
            f"bootstrap={str(bootstrap).lower()}",
            "limits.cpu_share=0.537",
            "limits.cores=2",
            "limits.memory_mb=300",
            "limits.max_fds=1024",
            "heartbeat_ms=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "platform",
            "bounds.seed_lag_s=3",
            "bounds.addr_reuse_s=2",
            "bounds.contact_ms=3000",
            "bounds.ack_ms=4000",
            "bounds.catch_up_s=4",
            "bounds.drain_ms=2000",
            "bounds.grace_s=8",
            "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250",
            "bounds.stretch_max_ms=5000",
            "bounds.strict_revoke=false",
            "bounds.revoke_ms=5000",
            "bounds.retry_budget_ratio=0.2",
            "bounds.budget_window_s=10",
            "bounds.budget_extra=56",
            "bounds.recover_s=12",
            "bounds.pass_ms=120",
            "bounds.retry_after_s=8.1",
            "bounds.quota_window_s=4",
            f"platform.address={self.store[0]}:{self.store[1]}",
            "platform.form=kv",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.value_bytes=1048576",
            "platform.ttl_min_ms=1000",
        ]
        return "\n".join(lines) + "\n"


@dataclass
class Reply:
    """What a client saw of one attempt."""

    attempt: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    # Whether the answer came to its end as its framing states.
    complete: bool = False
    ended_at: float = float("inf")
    error: str = ""

    @property
    def taken_s(self) -> float:
        """Seconds until the answer or its loss."""
        return self.ended_at - self.sent_at


class Client:
    """Client that opens a connection for each attempt.

    Parameters
    ----------
    record
        Receives a line for each attempt and answer.
    prefix
        Begin of the ids of its attempts.
    """

    def __init__(self, record: Record, prefix: str = "a") -> None:
        self._record = record
        self._prefix = prefix
        self._count = 0

    async def send(
        self,
        port: int,
        path: str,
        deadline_ms: int,
        *,
        method: str = "POST",
        body: bytes = b"order",
        key: str = KEY,
        give_up_s: float | None = None,
        extra: str = "",
        prompt: tuple[tuple[str, int], ...] | None = None,
    ) -> Reply:
        """Send one attempt and read its answer."""
        self._count += 1
        attempt = f"{self._prefix}{self._count:06x}"
        payload = b"" if method == "GET" else body
        parts = prompt
        if parts is None and path.startswith(("/quote/", "/guide/")):
            parts = (("5c1e07a2", 800), (f"{self._count:08x}", 200))
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Borageworks-Attempt-Id: {attempt}",
            f"X-Borageworks-Deadline-Remaining: {deadline_ms}",
            f"Authorization: Token {key}",
        ]
        if parts is not None:
            tokens = sum(count for _, count in parts)
            listed = ",".join(f"{name}:{count}" for name, count in parts)
            lines += [
                "X-Borageworks-Model: m",
                f"X-Borageworks-Token-Count: {tokens},50",
                f"X-Borageworks-Prompt-Prefix: {listed}",
            ]
        if method != "GET":
            lines.append(f"Content-Length: {len(payload)}")
        head = "\r\n".join(lines) + "\r\n" + extra + "\r\n"
        reply = Reply(attempt, time.monotonic())
        self._record.line(f"sent {attempt} {path} to port {port}")
        writer = None
        try:
            async with asyncio.timeout(give_up_s or deadline_ms / 1000):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(head.encode() + payload)
                answer = await read_head(reader)
                reply.status = int(answer.line.split(" ")[1])
                reply.headers = answer.headers
                await self._read_answer(reader, answer, reply)
                reply.complete = True
                reply.ended_at = time.monotonic()
        except TimeoutError:
            reply.error = "gave up"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            reply.error = type(error).__name__
            reply.ended_at = time.monotonic()
        finally:
            if writer is not None:
                writer.close()
        self._record.line(
            f"answered {attempt} status={reply.status} complete={reply.complete} "
            f"bytes={len(reply.body)} taken={reply.taken_s:.3f} {reply.error}"
        )
        return reply

    async def _read_answer(
        self, reader: asyncio.StreamReader, answer: Head, reply: Reply
    ) -> None:
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while data := await read_chunk(reader):
                reply.body += data
            return
        if "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                data = await reader.read(min(left, 65_536))
                if not data:
                    raise asyncio.IncompleteReadError(reply.body, left)
                reply.body += data
                left -= len(data)
            return
        reply.body = await reader.read()


class LateWritesStore(EmulatedPlatformStore):
    """Store that loses answers of writes and executes those writes seconds later.

    Parameters
    ----------
    is_lost
        Returns whether the answer to a transaction that writes these keys is lost.
    late_s
        Seconds until such a transaction is executed, if its conditions hold then.
    record
        Receives a line for each lost answer.
    """

    def __init__(
        self, is_lost: Callable[[list[str]], bool], late_s: float, record: Record
    ) -> None:
        super().__init__()
        self._is_lost = is_lost
        self._late_s = late_s
        self._record = record
        self._late: set[asyncio.Task[None]] = set()
        self.lost = 0

    async def _commit(self, request: Any) -> web.Response:
        data = await request.read()
        body = orjson.loads(data)
        keys = [entry["key"] for entry in body["writes"]] + list(body["remove"])
        if not self._is_lost(keys):
            return await super()._commit(request)
        self.lost += 1
        self._record.line(f"the answer to a write of {keys} is lost")
        task = asyncio.create_task(self._execute_late(data, keys))
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        await asyncio.sleep(3600)
        raise AssertionError("the connection returns nothing further")

    async def _execute_late(self, data: bytes, keys: list[str]) -> None:
        await asyncio.sleep(self._late_s)
        response = await super()._commit(_ReadRequest(data))
        self._record.line(f"the write of {keys} is executed late: {response.status}")


class _ReadRequest:
    """Request whose body has been read."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def read(self) -> bytes:
        return self._data


class Balancer:
    """The platform's entry: takes machines that are not ready out of rotation.

    It asks each machine once a second, and sends a zone's new connections to its
    machines that did not miss twice, or else to those of another zone.
    """

    def __init__(self, gateways: list[GatewayProcess], record: Record) -> None:
        self._gateways = gateways
        self._record = record
        self._misses = dict.fromkeys(range(len(gateways)), 0)

    async def run(self) -> None:
        """Ask all machines until cancelled."""
        await asyncio.gather(*(self._ask(number) for number in self._misses))

    def choose(self, number: int) -> GatewayProcess:
        """Return the machine for a new connection of a client near one of them."""
        count = len(self._gateways)
        order = [(number + offset) % count for offset in range(count)]
        rotation = [item for item in order if self._misses[item] < MAX_MISSES]
        return self._gateways[(rotation or order)[0]]

    async def _ask(self, number: int) -> None:
        gateway = self._gateways[number]
        while True:
            asked_at = time.monotonic()
            if await gateway.is_ready():
                if self._misses[number] >= MAX_MISSES:
                    self._record.line(f"{gateway.name} is in rotation again")
                self._misses[number] = 0
            else:
                self._misses[number] += 1
                if self._misses[number] == MAX_MISSES:
                    self._record.line(f"{gateway.name} is out of rotation")
            await asyncio.sleep(max(asked_at + 1.0 - time.monotonic(), 0.0))


class Deployment:
    """Store, engines and gateways of one case, in a temporary folder."""

    def __init__(self, folder: Path, gateways: int = 1) -> None:
        self.record = Record(folder)
        self.store = EmulatedPlatformStore()
        self.engines: list[Engine] = []
        self.gateways: list[GatewayProcess] = []
        self._count = gateways
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    def add(self, engine: Engine) -> Engine:
        """Add an engine before the start."""
        self.engines.append(engine)
        return engine

    async def register(self, engine: Engine) -> None:
        """Write the entry of an engine."""
        await self.store.put(f"servers/{engine.id}", engine.entry())

    async def configure(self, body: dict[str, Any]) -> None:
        """Write the operator's configuration."""
        await self.store.put("op/config", orjson.dumps(body))
        self.record.line(f"configuration {body['version']} acknowledged")

    async def start(self, body: dict[str, Any] | None = None) -> None:
        """Start everything, and wait until all gateways are calm and ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            await self.register(engine)
        await self.configure(body or configuration())
        for number in range(self._count):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number // len(ZONES) + 1}"
            gateway = GatewayProcess(name, zone, self.store.address, self.folder)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.seeds = [item.control for item in self.gateways[:3]]
            gateway.start()
        for gateway in self.gateways:
            await self.wait_ready(gateway)
        # Links open, and the machines have been in touch for `contact_ms`.
        await asyncio.sleep(CONTACT_S + 1.0)

    async def wait_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway says that it is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await gateway.is_ready():
            ended = gateway.process is None or gateway.process.poll() is not None
            if ended or time.monotonic() > deadline:
                raise CouldNotRunError(f"{gateway.name} is not ready")
            await asyncio.sleep(0.1)
        self.record.line(f"{gateway.name} is ready")

    async def stop(self) -> None:
        """End everything that was started."""
        for gateway in self.gateways:
            gateway.kill()
        for engine in self.engines:
            engine.crash()
        await self.store.stop()
        self._temporary.cleanup()


def main(
    folder: Path,
    gateways: int,
    case: Callable[[Deployment], Awaitable[bool]],
    limit_s: float = 110.0,
) -> None:
    """Run a case and exit with its verdict; the case returns whether the rule held."""

    async def run() -> int:
        deployment = Deployment(folder, gateways)
        task = asyncio.current_task()
        assert task is not None
        # The processes end with the script, also if it is asked to end early.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                held = await case(deployment)
        except Exception as error:  # noqa: BLE001  # no verdict, whatever failed
            traceback.print_exc()
            deployment.record.line(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            for gateway in deployment.gateways:
                if gateway.process is not None and gateway.process.poll() is not None:
                    deployment.record.line(
                        f"{gateway.name} ended by itself: {gateway.process.poll()}"
                    )
                    for line in gateway.log().splitlines()[-20:]:
                        deployment.record.line(f"{gateway.name}: {line}")
            await deployment.stop()
        deployment.record.line("rule held" if held else "rule broken")
        return HELD if held else BROKEN

    sys.exit(asyncio.run(run()))
