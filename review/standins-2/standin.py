"""Stand-ins of the platform for the scripts of the second review: store, plain workers, clients and TCP proxies.

All addresses are loopback addresses. The entries are started with the command of the deploy file, as separate processes.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "release", "wigeonhaven")
HOST = "jepu9.example"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
# A case may run for 120 s.
TIME_LIMIT = 115


def now():
    """Seconds of the monotonic clock."""
    return time.monotonic()


class CannotRun(Exception):
    """The case could not run; exit status 2."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = now()

    def add(self, text):
        self.file.write(f"{now() - self.began:9.3f} s  {text}\n")
        self.file.flush()


CLAIM_PORT = 7999


def claim_subnet(ports):
    """Claims a loopback network whose addresses have all these ports free. Returns its third octet and the claim."""
    for third in range(20 + os.getpid() % 100, 250):
        claim = socket.socket()
        try:
            # Another case that runs at the same time holds its own claim.
            claim.bind((f"127.91.{third}.250", CLAIM_PORT))
            for host in (1, 2, 9, 10, 11, 18, 101, 109, 200):
                for port in ports:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.91.{third}.{host}", port))
        except OSError:
            claim.close()
            continue
        return third, claim
    raise CannotRun("no free loopback addresses")


# --- HTTP ---------------------------------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a head. Returns its first line and its headers in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks; None if it is incomplete."""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body
                body += part[:-2]
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def response(status, body=b"", headers=()):
    """A response with a length."""
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def query_of(target):
    _, _, query = target.partition("?")
    fields = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
    return {name: value.replace("%2F", "/").replace("%2f", "/") for name, value in fields.items()}


# --- Store ---------------------------------------------------------------------------------------------------------


class Store:
    """The platform's store. It can only be read over HTTP; the operator and the workers write by calling put."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Condition()
        self.watchers = {}
        self.delay = 0.004

    async def put(self, key, value):
        """Writes an item; the time of the return is the acknowledgement."""
        async with self.changed:
            self.revision += 1
            data = value if isinstance(value, bytes) else json.dumps(value).encode()
            created = self.items.get(key, {}).get("create_revision", self.revision)
            item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                    "create_revision": created, "lease": 0}
            self.items[key] = item
            self.events.append((self.revision, item))
            self.changed.notify_all()
        return now()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append((self.revision, {"key": key, "revision": self.revision, "removed": True}))
            self.changed.notify_all()
        return now()

    async def serve(self, ip, port):
        self.server = await asyncio.start_server(self.handle, ip, port)

    async def handle(self, reader, writer):
        peer = writer.get_extra_info("peername")
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                target = head[0].split(" ")[1]
                await asyncio.sleep(self.delay)
                status, body = await self.answer(target, peer)
                writer.write(response(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, target, peer):
        fields = query_of(target)
        prefix = fields.get("prefix", "")
        if target.startswith("/v1/kv-range"):
            after = fields.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return 200, {"items": [self.items[key] for key in keys], "truncated": False, "as_of": self.revision}
        if target.startswith("/v1/kv-key"):
            item = self.items.get(fields.get("key", ""))
            return (200, {"item": item, "as_of": self.revision}) if item else (404, {"as_of": self.revision})
        after, wait = int(fields.get("after", "0")), int(fields.get("wait_ms", "0")) / 1000
        self.watchers[peer] = now()
        until = now() + wait
        async with self.changed:
            while self.revision <= after and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            events = [event for revision, event in self.events if revision > after and event["key"].startswith(prefix)]
            as_of = self.revision
        self.watchers.pop(peer, None)
        return 200, {"events": events, "as_of": as_of}


# --- Workers -------------------------------------------------------------------------------------------------------


class Worker:
    """A plain worker. `runs` lists each request that it has run, `arrivals` each one that has reached it."""

    def __init__(self, ident, service, zone, ip, port, work=0.015):
        self.ident, self.service, self.zone, self.ip, self.port, self.work = ident, service, zone, ip, port, work
        self.born = int(time.time() * 1000)
        self.runs, self.arrivals = [], []
        self.connections = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def item(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 6,
                "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born}

    async def serve(self):
        self.server = await asyncio.start_server(self.handle, self.ip, self.port)

    async def handle(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                method, target, _ = line.split(" ")
                body = await read_body(reader, headers)
                if body is None:
                    break
                if target == "/health":
                    writer.write(response(200, b"", [("Instance-Id", self.ident)]))
                    continue
                ident = headers.get("request-id", "")
                self.arrivals.append((now(), ident, headers))
                if headers.get("expect-instance", self.ident) != self.ident:
                    writer.write(response(421, b"", [("Instance-Id", self.ident), ("Request-Id", ident)]))
                    continue
                self.runs.append({"at": now(), "id": ident, "method": method, "target": target, "headers": headers,
                                  "body": body})
                await self.answer(writer, ident, target)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, writer, ident, target):
        await asyncio.sleep(self.work)
        body = f"{self.ident} ran {ident} {target}".encode()
        headers = [("Request-Id", ident), ("Server-Stamp", f"stamp.{self.ident}.{ident}"), ("Server-Load", "1,0,6")]
        writer.write(response(200, body, headers))


# --- Proxy ---------------------------------------------------------------------------------------------------------


class Proxy:
    """Forwards TCP connections. While `silent`, nothing passes in either direction and connections stay open."""

    def __init__(self, target, on_data=None):
        self.target, self.on_data = target, on_data
        self.open = asyncio.Event()
        self.open.set()

    async def serve(self, ip, port):
        self.server = await asyncio.start_server(self.handle, ip, port)

    def cut(self):
        """Partitions both sides, without a reset."""
        self.open.clear()

    def heal(self):
        self.open.set()

    async def handle(self, reader, writer):
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.open.wait()
                    if self.on_data and source is reader:
                        self.on_data(data)
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass
            finally:
                sink.close()

        try:
            await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        except asyncio.CancelledError:
            pass


# --- Entries -------------------------------------------------------------------------------------------------------

PORTS = {"front": 8005, "ready": 8002, "control": 8000, "directory": 8009, "internal": 7700, "metrics": 9464,
         "store": 8007, "worker": 8040}


class Fleet:
    """Store, workers and entry processes of one small deployment."""

    def __init__(self, folder, zones, bounds=None):
        self.third, self.claim = claim_subnet(PORTS.values())
        self.zones = zones
        self.bounds = {"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                       "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_strict": "false", "revoke_ms": 5000,
                       "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 106, "cold_over": 1.5,
                       "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 120, "retry_after_s": 0,
                       "version_ms": 8000, "version_all_ms": 0, "ttl_max_s": 5, **(bounds or {})}
        self.record = Record(folder)
        self.store = Store()
        self.workers, self.entries, self.processes, self.proxies = {}, [], {}, {}
        # Time of the last request of each entry that waits for changes of the store.
        self.watched = {}
        self.temporary = tempfile.mkdtemp(prefix="wigeonhaven-review-")

    def ip(self, host):
        return f"127.91.{self.third}.{host}"

    async def start_store(self):
        await self.store.serve(self.ip(200), PORTS["store"])

    def config(self, version, routes, tenants=None, services=None, limits=None):
        default_services = [{"name": name, "max_connections": 110} for name in
                            dict.fromkeys(worker.service for worker in self.workers.values())]
        return {"version": version, "routes": routes, "services": services or default_services,
                "tenants": tenants if tenants is not None else [{"name": TENANT, "api_keys": [KEY]}],
                "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                                     "idle_timeout_ms": 10000}}

    @staticmethod
    def route(name, prefix, service, kind="safe", timeout=1500, **more):
        return {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeout_ms": timeout,
                "target_latency_ms": 100, "priority": 2, "service": service,
                "max_attempts": 1 if kind == "unsafe" else 2, **more}

    async def start_worker(self, ident, host, service="desk", zone=None, work=0.015, cls=None, listed=True):
        worker = (cls or Worker)(ident, service, zone or self.zones[0][0], self.ip(host), PORTS["worker"], work)
        await worker.serve()
        self.workers[ident] = worker
        if listed:
            await self.store.put(f"servers/{ident}", worker.item())
        return worker

    def settings(self, number, store_address):
        zone, region = self.zones[(number - 1) % len(self.zones)]
        ip = self.ip(number)
        lines = [f"node_name=front-{zone}-{number}", "role=entry", "machine_class=front", "serves=front,directory,control",
                 f"ip={ip}", f"zone={zone}", f"region={region}"]
        lines += [f"zones.{name}={of}" for name, of in self.zones]
        lines += [f"listen.{name}={ip}:{PORTS[name]}" for name in ("front", "ready", "control", "directory")]
        seeds = ",".join(f"{self.ip(seed)}:{PORTS['control']}" for seed in self.seeds)
        lines += [f"internal_port_range={PORTS['internal']},{PORTS['internal'] + 15}", f"seeds={seeds}", "bootstrap=true",
                  "loss_counts=false", "limits.cpu_share=0.25", "limits.cpu_cores=1", "limits.memory_mb=260",
                  "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
                  "entry=directory", "heartbeat_ms=1200",
                  "contracts=base,drain,config,cost,retry,recover,tenants,places,platform"]
        lines += [f"bounds.{name}={value}" for name, value in self.bounds.items()]
        lines += [f"platform.address={store_address}", "platform.form=read", "platform.writes_per_s=400",
                  "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
                  "platform.ttl_min_ms=1000"]
        return "\n".join(lines) + "\n"

    async def start_entries(self, count, proxied=False):
        self.seeds = list(range(1, min(count, 3) + 1))
        self.entries = list(range(1, count + 1))
        for number in self.entries:
            address = (self.ip(200), PORTS["store"])
            if proxied:
                proxy = Proxy(address, lambda data, number=number: self.note_watch(number, data))
                address = (self.ip(100 + number), PORTS["store"])
                await proxy.serve(*address)
                self.proxies[number] = proxy
            path = os.path.join(self.temporary, f"entry-{number}.conf")
            with open(path, "w", encoding="utf-8") as file:
                file.write(self.settings(number, f"{address[0]}:{address[1]}"))
            self.start_entry(number)
        for number in self.entries:
            await self.wait_ready(number)

    def note_watch(self, number, data):
        if b"GET /v1/kv-watch" in data:
            self.watched[number] = now()

    def start_entry(self, number):
        path = os.path.join(self.temporary, f"entry-{number}.conf")
        log = open(os.path.join(self.temporary, f"entry-{number}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.temporary, "WIGEONHAVEN_SETTINGS": path}
        self.processes[number] = subprocess.Popen([BINARY, "entry"], env=environment, stdin=subprocess.DEVNULL,
                                                  stdout=log, stderr=log, cwd=ROOT)

    async def wait_ready(self, number, limit=10):
        end = now() + limit
        while now() < end:
            if await self.get(self.ip(number), PORTS["ready"], "/v1/ready") == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"entry {number} is not ready")

    @staticmethod
    async def get(ip, port, target):
        """Status of a GET request; None if there is no response."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return int(head[0].split(" ")[1]) if head else None
        except (OSError, asyncio.TimeoutError):
            return None

    async def connect(self, number):
        return await asyncio.wait_for(asyncio.open_connection(self.ip(number), PORTS["front"]), 1)

    def signal(self, number, what):
        self.processes[number].send_signal(what)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.file.close()
        if not os.environ.get("KEEP"):
            import shutil
            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print(self.temporary)


def request_bytes(method, target, ident, body=b"", key=KEY, deadline=1500, more=()):
    """A caller's request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {ident}", f"Deadline-Ms: {deadline}"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    lines += more
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(reader, writer, data, limit=8):
    """Sends bytes and reads one response. Returns its status, headers and body; status None if there is none."""
    try:
        writer.write(data)
        await writer.drain()
        head = await asyncio.wait_for(read_head(reader), limit)
        if head is None:
            return None, {}, None
        return int(head[0].split(" ")[1]), head[1], await asyncio.wait_for(read_body(reader, head[1]), limit)
    except (ConnectionError, asyncio.TimeoutError):
        return None, {}, None


def main(run, folder):
    """Runs a case: exit status 1 if it returns True (the rule was broken), 0 if the rule held, 2 if it could not run."""
    async def guarded():
        task = asyncio.current_task()
        for ending in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # The processes are stopped also if the case is broken off.
            asyncio.get_running_loop().add_signal_handler(ending, task.cancel)
        return await asyncio.wait_for(run(os.environ.get("TROUBLE", "1") != "0", folder), TIME_LIMIT)

    try:
        broken = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
