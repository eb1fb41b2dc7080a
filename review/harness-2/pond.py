"""Stand-ins of the platform's store, of targets and of clients, on loopback addresses.

One asyncio process holds all stand-ins. The instances of celerypond are separate processes, started
with the command of the deploy file. Needs Python 3.8 or later and its standard library only.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Names and sizes of a small deployment, as in the examples of the pages.
HOST = "ficu95.example"
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "enforceRevocation": "false",
    "revokeMs": 5000, "retryBudgetRatio": 0.8, "budgetWindowS": 10, "budgetSlack": 150,
    "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000, "recoverS": 12, "passMs": 120,
    "againS": 10, "ttl_max_s": 5,
}


class Record:
    """The record of a run: one line an event, with the time since its start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def line(self, *words):
        text = " ".join(str(word) for word in words)
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, *words):
        """Writes a line to the record and to standard output."""
        self.line(*words)
        print(*words, flush=True)


class Addresses:
    """Loopback addresses and ports that nothing else uses."""

    def __init__(self):
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.host = 0
        base = random.randint(20000, 50000)
        self.front, self.ready, self.control, self.directory = (base + n for n in range(4))
        self.internal = (base + 10, base + 25)

    def next_ip(self):
        self.host += 1
        return f"{self.net}.{self.host}"


async def read_head(reader):
    """Reads a head; returns its first line and its headers with names in lower case, or None."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


def close(writer, reset=False):
    if reset:
        sock = writer.get_extra_info("socket")
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
        writer.transport.abort()
        return
    try:
        writer.close()
    except (ConnectionError, OSError, RuntimeError):
        pass


class Store:
    """The platform's store: objects by kind and name, lists, watches and conditional writes.

    Each instance has an address of its own there, so that the store can turn single ones away.
    """

    HISTORY = 4096

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.refused = set()
        self.servers = []
        self.calls = []

    async def listen(self, ip, client):
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, client), ip, 0)
        self.servers.append(server)
        return server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec=None, status=None, keep_spec=False):
        """Writes an object, as the operator or a target does; returns its revision."""
        known = self.objects.get((kind, name))
        if known and keep_spec:
            spec = known["spec"]
        elif known and status is None:
            status = known["status"]
        if known and known["spec"] == spec and known["status"] == status:
            return known["metadata"]["revision"]
        self.revision += 1
        created = known["metadata"]["createRev"] if known else self.revision
        item = {
            "metadata": {"name": name, "revision": self.revision, "createRev": created,
                         "finalizers": [], "deleting": False},
            "spec": spec, "status": status,
        }
        self.objects[(kind, name)] = item
        self.note(kind, False, item)
        return self.revision

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            item = dict(item, metadata=dict(item["metadata"], revision=self.revision))
            self.note(kind, True, item)

    def note(self, kind, removed, item):
        self.events.append((self.revision, kind, {"removed": removed, "object": item}))
        del self.events[:-self.HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer, client):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                status, answer = await self.answer(line, body, client)
                data = json.dumps(answer).encode()
                phrase = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
                          503: "Service Unavailable"}[status]
                writer.write(f"HTTP/1.1 {status} {phrase}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            close(writer)

    async def answer(self, line, body, client):
        method, target, _ = line.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/") if part][2:]
        await asyncio.sleep(0.004)
        if client in self.refused:
            return 503, {}
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "PUT" and len(parts) == 3:
            return self.write_status(kind, name, json.loads(body), client)
        if method != "GET":
            self.record.line("store: unexpected call", client, line)
            return 404, {}
        if name is not None:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("waitMs", "0")), client)
        names = sorted(key[1] for key in self.objects if key[0] == kind)
        names = [known for known in names if known > query.get("afterRevision", "")]
        items = [self.objects[(kind, known)] for known in names[:500]]
        return 200, {"items": items, "truncated": len(names) > 500, "asOf": self.revision}

    def write_status(self, kind, name, value, client):
        item = self.objects.get((kind, name))
        if item is None:
            return 404, {}
        if value["metadata"].get("revision", item["metadata"]["revision"]) != item["metadata"]["revision"]:
            return 409, item
        self.record.line("store: status of", f"{kind}/{name}", "by", client, json.dumps(value["status"]))
        self.put(kind, name, status=value["status"], keep_spec=True)
        return 200, self.objects[(kind, name)]

    async def watch(self, kind, since, wait_ms, client):
        until = time.monotonic() + wait_ms / 1000
        if self.events and since < self.events[0][0] - 1 and len(self.events) == self.HISTORY:
            return 410, {}
        while True:
            changed = self.changed
            found = [event for revision, known, event in self.events
                     if known == kind and revision > since]
            left = until - time.monotonic()
            if client in self.refused:
                return 503, {}
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.1))
            except asyncio.TimeoutError:
                pass


class Engine:
    """A target. `handle(engine, request, writer)` answers one request, and returns whether the
    connection goes on. The default one answers a plain call after `work` seconds."""

    def __init__(self, record, store, ip, service, zone, name=None, slots=6, work=0.015, handle=None,
                 extra=None):
        self.record, self.store, self.ip, self.service, self.zone = record, store, ip, service, zone
        self.name = name or f"i-{random.getrandbits(32):08x}"
        self.slots, self.work, self.handle = slots, work, handle or type(self).plain
        self.extra = extra or {}
        self.version, self.state, self.sequence = "v1", "ready", 0
        self.born = int(time.time() * 1000)
        self.running, self.ran, self.writers = {}, [], set()
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "coldRemainingMs": 0, "sequence": self.sequence, "born": self.born}
        entry.update(self.extra)
        self.store.put("servers", self.name, entry)

    async def stop(self, reset=True):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            close(writer, reset)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, path, _ = line.split(" ", 2)
                if path == "/health":
                    self.send(writer, 200 if self.state == "ready" else 503, b"",
                              {"Instance-Id": self.name})
                    await writer.drain()
                    continue
                request = {"method": method, "path": path, "headers": headers, "body": body,
                           "id": headers.get("request-id", ""), "reader": reader}
                if "expect-instance" in headers and headers["expect-instance"] != self.name:
                    self.send(writer, 421, b"", {"Instance-Id": self.name, "Request-Id": request["id"]})
                    await writer.drain()
                    continue
                if not await self.handle(self, request, writer):
                    return
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    def send(self, writer, status, body, headers):
        phrase = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
        lines = [f"HTTP/1.1 {status} {phrase}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def run(self, request):
        """Records that a request runs here."""
        self.ran.append((self.record.now(), request["id"]))
        headers = request["headers"]
        self.record.line("target", self.name, self.service, "runs", request["id"], request["method"],
                         request["path"], "tenant", headers.get("tenant", "-"))

    def stamp(self, request):
        return {"Request-Id": request["id"], "Server-Stamp": f"{self.name}.{request['id']}",
                "Server-Load": f"{len(self.running)},0,{self.slots}"}

    async def plain(self, request, writer):
        self.run(request)
        await asyncio.sleep(self.work)
        self.send(writer, 200, f"{self.name} {request['id']}\n".encode() * 8, self.stamp(request))
        return True


class ModelEngine(Engine):
    """A model engine that streams events, and copies the memory of runs to other engines.

    The memory of a run is the name of its prompt. Each event is made from that memory, so that a run
    that goes on from the memory of another request shows in what its client gets.
    """

    def __init__(self, record, store, ip, service, zone, engines, **options):
        super().__init__(record, store, ip, service, zone, **options)
        self.engines, self.tokens_per_s, self.gap, self.events = engines, 8000, 0.15, 120
        self.forget()
        engines.append(self)

    def forget(self):
        """Starts anew: the engine holds and knows nothing of before, and its counts start anew."""
        self.runs, self.copies, self.handles, self.count = {}, {}, {}, 0

    async def crash(self, down):
        """Crashes, and starts again after a while, under the id and the address that it had."""
        port = self.port
        self.record.line("target", self.name, "crashes for", down, "s")
        await self.stop()
        self.forget()
        await asyncio.sleep(down)
        self.born = int(time.time() * 1000)
        await self.start(port)
        self.record.line("target", self.name, "is back")

    async def call(self, request, writer):
        path, body = request["path"], request["body"]
        if path == "/celerypond/report":
            answer = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                      "busy": False, "sequence": self.count, "waiting": 0, "running": len(self.runs),
                      "kvUsed": 0, "kvTotal": 88000, "handles": len(self.handles), "born": self.born}
            return self.reply(writer, 200, answer)
        if path == "/celerypond/kv-list":
            held = [["", run["part"], 8000, "m"] for run in self.runs.values()]
            return self.reply(writer, 200, {"epoch": self.born, "next": 1, "held": held})
        if path == "/celerypond/kv-move":
            order = json.loads(body)
            run = self.runs.get(order["id"])
            other = next((engine for engine in self.engines if engine.server and engine.address == order["target"]), None)
            if run is None:
                return self.reply(writer, 404, {})
            if other is None or other is self:
                return self.reply(writer, 503, {})
            if order.get("last"):
                run["stopped"] = True
            key = (order["id"], order["target"])
            if key not in self.handles:
                self.count += 1
                self.handles[key] = f"{self.count}"
                self.record.line("target", self.name, "copies", order["id"], "to", other.name, "as", f"{self.address}/{self.count}")
            await asyncio.sleep(0.02)
            handle = self.handles.get(key)
            if handle is None:
                return False
            name = f"{self.address}/{handle}"
            if name in other.copies and other.copies[name]["id"] != order["id"]:
                self.record.line("target", other.name, "copy", name, "of", other.copies[name]["id"], "replaced by that of", order["id"])
            other.copies[name] = {"id": order["id"], "memory": run["memory"], "events": run["made"], "at": time.monotonic()}
            return self.reply(writer, 200, {"handle": handle, "createRev": run["made"]})
        if path.startswith("/celerypond/kv-handle/"):
            handle = path.rsplit("/", 1)[1]
            keys = [key for key, known in self.handles.items() if known == handle]
            for key in keys:
                del self.handles[key]
                for engine in self.engines:
                    engine.copies.pop(f"{self.address}/{handle}", None)
            return self.reply(writer, 200 if keys else 404, {})
        return self.reply(writer, 404, {})

    def reply(self, writer, status, answer):
        self.send(writer, status, json.dumps(answer).encode(), {"Content-Type": "application/json"})
        return True

    def plain(self, request, writer):
        if request["path"].startswith("/celerypond/"):
            return self.call(request, writer)
        return self.stream(request, writer)

    def copy_named(self, name):
        copy = self.copies.pop(name, None)
        # A copy is kept for handleS after its last part, and a little longer.
        return copy if copy and time.monotonic() - copy["at"] < 5 else None

    async def stream(self, request, writer):
        headers = request["headers"]
        parts = [part.split(":")[0] for part in headers.get("prompt-prefix", "").split(",")]
        made = int(headers.get("last-event-id", "0"))
        memory, source = parts[-1], headers.get("kv-from")
        if source:
            self.record.line("target", self.name, "gets", request["id"], "with Kv-From", source)
            copy = self.copy_named(source)
            if copy is None:
                self.send(writer, 503, b"", {"Request-Id": request["id"], "Not-Run": "1"})
                return True
            if copy["id"] != request["id"]:
                self.record.line("target", self.name, "request", request["id"], "goes on from the memory of", copy["id"], "named", source)
                self.mixed = getattr(self, "mixed", []) + [(request["id"], copy["id"])]
            memory = copy["memory"]
        self.run(request)
        run = {"memory": memory, "made": made, "part": parts[-1], "stopped": False}
        self.runs[request["id"]] = run
        gone = asyncio.ensure_future(request["reader"].read(1))
        backup = headers.get("kv-backup")
        try:
            tokens = int(headers.get("token-counts", "0,0").split(",")[0])
            await asyncio.sleep(0.01 if source else tokens / self.tokens_per_s)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                     "Weight-Versions: 1"] + [f"{name}: {value}" for name, value in self.stamp(request).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            while run["made"] < self.events:
                if gone.done() or run["stopped"] or self.runs.get(request["id"]) is not run:
                    return False
                run["made"] += 1
                event = f"id: {run['made']}\ndata: {run['memory']} {run['made']}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                if backup:
                    other = next((engine for engine in self.engines if engine.server and engine.address == backup), None)
                    if other:
                        other.copies[f"{backup}/{request['id']}"] = {"id": request["id"], "memory": run["memory"], "events": run["made"], "at": time.monotonic()}
                await asyncio.sleep(self.gap)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        finally:
            gone.cancel()
            if self.runs.get(request["id"]) is run:
                del self.runs[request["id"]]


class Instance:
    """One process of celerypond, with its settings file."""

    def __init__(self, record, folder, addresses, name, zone, store_address, seeds):
        self.record, self.folder, self.name, self.zone = record, folder, name, zone
        self.addresses, self.store_address, self.seeds = addresses, store_address, seeds
        self.ip = addresses.next_ip()
        self.path = os.path.join(folder, f"{name}.conf")
        self.process, self.log = None, None

    @property
    def control(self):
        return f"{self.ip}:{self.addresses.control}"

    @property
    def front(self):
        return (self.ip, self.addresses.front)

    def write_settings(self):
        ports = self.addresses
        lines = [
            f"node={self.name}", "role=relay", "machineClass=front", "serves=front,directory,control",
            f"ip={self.ip}", f"zone={self.zone}", "region=cascadia",
            f"listen.front={self.ip}:{ports.front}", f"listen.ready={self.ip}:{ports.ready}",
            f"listen.control={self.ip}:{ports.control}", f"listen.directory={self.ip}:{ports.directory}",
            f"internalPorts={ports.internal[0]},{ports.internal[1]}",
            f"seeds={','.join(self.seeds)}", "bootstrap=false", "limits.cpuShare=0.25",
            "limits.cores=1", "limits.memoryMb=260", "limits.maxFds=4100", "limits.linkMbps=1000.0",
            "discovery=platform", "entry=directory", "heartbeatMs=1200",
            "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform",
            f"platform.address={self.store_address}", "platform.form=objects",
            "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
            "platform.valueBytes=1048576",
        ]
        lines += [f"bounds.{name}={value}" for name, value in BOUNDS.items()]
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        os.replace(self.path + ".new", self.path)

    def start(self):
        self.write_settings()
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            words = re.search(r'^run = "(.*)"', file.read(), re.M).group(1).split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CELERYPOND_CONFIG"] = self.path
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        program = os.path.join(ROOT, words[0])
        if not os.path.exists(program):
            raise CannotRun(f"{words[0]} is not built")
        self.process = subprocess.Popen([program] + words[1:], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.record.line("instance", self.name, "started at", self.ip, "seeds", ",".join(self.seeds))

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.record.line("instance", self.name, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            try:
                self.process.send_signal(signal.SIGCONT)
            except OSError:
                pass
            self.process.kill()
        if self.process:
            self.process.wait()
        if self.log:
            self.log.close()

    def log_text(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class CannotRun(Exception):
    """The case could not be run."""


async def get_json(ip, port, path):
    """Returns the status and the JSON body of a GET, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        line, headers = await asyncio.wait_for(read_head(reader), 1)
        body = await asyncio.wait_for(read_body(reader, headers), 1)
        close(writer)
        return int(line.split(" ")[1]), json.loads(body) if body else None
    except (OSError, asyncio.TimeoutError, TypeError, ValueError, asyncio.IncompleteReadError):
        return None


async def wait_ready(instance, limit=20):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        answer = await get_json(instance.ip, instance.addresses.ready, "/celerypond/ready")
        if answer and answer[0] == 200:
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{instance.name} did not become ready")


def new_id():
    return f"{random.getrandbits(64):016x}"


class Connection:
    """A client's connection to an instance."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address):
        return cls(*await asyncio.wait_for(asyncio.open_connection(*address), 1))

    async def send(self, request_id, method, path, key, deadline_ms, headers=None, body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}",
                 f"Request-Deadline: {deadline_ms}", f"Key: {key}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def answer(self, limit):
        """Returns the status, the headers and the body; the status is None if there is none."""
        async def read():
            head = await read_head(self.reader)
            if head is None:
                return None, {}, b""
            line, headers = head
            return int(line.split(" ")[1]), headers, await read_body(self.reader, headers)
        try:
            return await asyncio.wait_for(read(), limit)
        except (asyncio.TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
            return None, {}, b""

    def close(self):
        close(self.writer)


def main(case, limit=110):
    """Runs `case(record, folder)`, which returns an exit code, and exits with it."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    record.line("TROUBLE", int(TROUBLE))
    children = []

    async def run():
        with tempfile.TemporaryDirectory() as scratch:
            try:
                return await asyncio.wait_for(case(record, scratch, children), limit)
            except CannotRun as error:
                record.say("cannot run:", error)
                return NOT_RUN
            except asyncio.TimeoutError:
                record.say("cannot run: the case took too long")
                return NOT_RUN
            except Exception as error:  # A fault of the stand-ins says nothing about the rule.
                record.say("cannot run:", repr(error))
                return NOT_RUN
            finally:
                for child in children:
                    child.end()
                keep = os.environ.get("KEEP_LOGS")
                for child in children if keep else []:
                    with open(os.path.join(keep, child.name + ".log"), "w", encoding="utf-8") as file:
                        file.write(child.log_text())

    code = asyncio.run(run())
    record.say("result:", {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
