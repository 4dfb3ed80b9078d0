"""A deployment whose workers crash when they begin to run one request, and a caller that sends that request again."""

from standin import *  # noqa: F403

ZONES = [("rajkot-a", "saurashtra"), ("bhuj-a", "kutch"), ("surat-a", "dakshin-gujarat")]
POISON = "/book/poison"
BODY = b'{"visit":"2026-03-07T06:00","household":1187}'
CONTACT = 3.0
BOOKINGS_PER_S = 64
# A worker is back after this time; its registration expires after three heartbeat intervals of 1.2 s.
DOWN, EXPIRY = 5.0, 3.6


class CrashingWorker(Worker):
    """Crashes at the end of its work on the request for POISON."""

    on_crash = None
    has_crashed = False

    async def answer(self, writer, ident, target):
        if target == POISON:
            await asyncio.sleep(self.work)
            self.on_crash(self, ident)
            raise ConnectionResetError
        await super().answer(writer, ident, target)


class PoisonTrial:
    """Fleet of entries and crashing workers, with what was sent and what crashed."""

    def __init__(self, folder):
        self.fleet = Fleet(folder, ZONES)
        self.record = self.fleet.record
        self.started, self.stopped, self.away = {}, {}, set()
        # Runs of the request, each of which crashes its worker, and all attempts with entry and time.
        self.crashes, self.attempts, self.lost = [], {}, []
        self.background = set()

    def spawn(self, task):
        task = asyncio.ensure_future(task)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def start(self, entries, workers):
        fleet = self.fleet
        await fleet.start_store()
        for number in range(workers):
            worker = await fleet.start_worker(f"i-desk{10 + number}", 10 + number, zone=ZONES[number % 3][0],
                                              cls=CrashingWorker)
            worker.on_crash = self.crash
        routes = [fleet.route("book", "/book/", "desk", kind="unsafe", timeout=800)]
        await fleet.store.put("op/config", fleet.config(1, routes))
        await fleet.start_entries(entries)
        self.started.update({entry: now() for entry in fleet.entries})
        await asyncio.sleep(CONTACT + 1)

    def stop(self):
        for task in self.background:
            task.cancel()
        self.fleet.stop()

    def in_touch(self, entry, at):
        """No SIGTERM and no start of the entry in the contact_ms before."""
        return at - self.started[entry] >= CONTACT and at - self.stopped.get(entry, 0) >= CONTACT

    def crash(self, worker, ident):
        self.crashes.append((now(), worker.ident, ident))
        entry, _ = self.attempts[ident]
        self.record.add(f"worker {worker.ident} runs {ident} (sent to entry {entry}) and crashes: "
                        f"crash {len(self.crashes)}")
        if worker.has_crashed:
            return
        worker.has_crashed = True
        worker.server.close()
        for writer in list(worker.connections):
            writer.transport.abort()
        self.spawn(self.restart(worker, len(self.crashes)))

    async def restart(self, worker, number):
        await asyncio.sleep(EXPIRY)
        await self.fleet.store.remove(f"servers/{worker.ident}")
        await asyncio.sleep(DOWN - EXPIRY)
        host = int(worker.ip.split(".")[-1])
        ident = f"i-desk{host}-{number}"
        again = CrashingWorker(ident, worker.service, worker.zone, worker.ip, worker.port, worker.work)
        again.on_crash = self.crash
        await again.serve()
        self.fleet.workers[ident] = again
        await self.fleet.store.put(f"servers/{ident}", again.item())
        self.record.add(f"worker {ident} is back at {again.address}")

    def ready(self):
        return [entry for entry in self.fleet.entries if entry not in self.away]

    async def attempt(self, entry, ident):
        """One attempt of the caller with the request that crashes workers."""
        self.attempts[ident] = (entry, now())
        try:
            reader, writer = await self.fleet.connect(entry)
        except (OSError, asyncio.TimeoutError):
            self.record.add(f"{ident} to entry {entry}: no connection")
            return
        status, headers, _ = await exchange(reader, writer, request_bytes("POST", POISON, ident, BODY), 3)
        writer.close()
        self.record.add(f"{ident} to entry {entry}: answer {status}, Retry-After {headers.get('retry-after')}")

    async def bookings(self):
        """Sound requests of other callers, as many a second as the site has bookings."""
        number = 0
        while True:
            number += 1
            self.spawn(self.book(number, f"book-{number}"))
            await asyncio.sleep(1 / BOOKINGS_PER_S)

    async def book(self, number, ident):
        ready = self.ready()
        entry = ready[number % len(ready)]
        try:
            reader, writer = await self.fleet.connect(entry)
        except (OSError, asyncio.TimeoutError):
            return
        status, _, _ = await exchange(reader, writer, request_bytes("POST", "/book/1", ident, b"{}"), 3)
        writer.close()
        if status in (502, 504, None):
            self.lost.append(ident)
            self.record.add(f"booking {ident} at entry {entry}: answer {status}")

    def retries(self):
        """Retries that reached a worker, sent by entries in touch later than contact_ms after the third crash."""
        if len(self.crashes) < 3:
            raise CannotRun("the request has not crashed three workers")
        third = self.crashes[2][0]
        late = []
        for _, _, ident in self.crashes:
            entry, sent = self.attempts[ident]
            if sent > third + CONTACT and self.in_touch(entry, sent):
                late.append(ident)
        return list(dict.fromkeys(late))

    def verdict(self):
        """True if the rule was broken."""
        retries = self.retries()
        self.record.add(f"crashes: {len(self.crashes)}; retries that reached workers, sent by entries in touch later than "
                        f"{CONTACT} s after the third crash: {len(retries)} ({', '.join(retries)}); allowed: 3")
        self.record.add(f"bookings of other callers that ended with 502, 504 or no answer: {len(self.lost)}")
        print(f"crashes {len(self.crashes)}, retries after the third {len(retries)} (allowed 3), "
              f"other bookings without an answer {len(self.lost)}")
        return len(retries) > 3
