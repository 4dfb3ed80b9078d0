"""The two entries of a region that follow the store are partitioned from it while routes are removed.

Judged: RULES.md, CONFIG: "A request sent later than `config_apply_ms` after the acknowledgement of a version is handled as
only an older version allows (run by the old service, run with a dropped route or key, ..), by machines in touch."
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standin import *  # noqa: E402,F403

# Two zones of one region.
ZONES = [("rajkot-a", "saurashtra"), ("rajkot-b", "saurashtra")]
ENTRIES, WORKERS = 6, 3
CONFIG_APPLY, CONTACT = 2.0, 3.0
ROUNDS = 4
# Each round removes routes one after the other, and cuts off two entries in the middle.
STORM, GAP, CUT = 2.0, 0.08, 5.0
# A dropped route is used in this time after config_apply_ms has passed, once each PROBE_GAP at each entry in touch.
PROBE_TIME, PROBE_GAP = 0.4, 0.02


class ConfigTrial:
    def __init__(self, folder):
        self.fleet = Fleet(folder, ZONES)
        self.record = self.fleet.record
        self.routes = [f"r{number:04d}" for number in range(ROUNDS * int(STORM / GAP))]
        self.dropped = {}
        self.version = 1
        self.cut = set()
        self.probes = {}

    def config(self):
        names = ["look"] + [name for name in self.routes if name not in self.dropped]
        return self.fleet.config(self.version, [self.fleet.route(name, f"/{name}/", "desk") for name in names])

    async def drop_route(self, name):
        self.version += 1
        self.dropped[name] = None
        self.dropped[name] = await self.fleet.store.put("op/config", self.config())
        self.record.add(f"configuration {self.version} without route {name} is acknowledged")

    async def probe(self, name, entry, number):
        ident = f"probe-{name}-{entry}-{number}"
        try:
            reader, writer = await self.fleet.connect(entry)
        except (OSError, asyncio.TimeoutError):
            return
        sent = now()
        status, _, _ = await exchange(reader, writer, request_bytes("GET", f"/{name}/1", ident), 2)
        writer.close()
        self.probes[ident] = (entry, name, sent - self.dropped[name], status)

    async def use_dropped(self, name):
        """Uses a dropped route at the entries in touch, from config_apply_ms after the acknowledgement on."""
        start = self.dropped[name] + CONFIG_APPLY + 0.01
        await asyncio.sleep(max(0, start - now()))
        probes, number = [], 0
        while now() < start + PROBE_TIME:
            number += 1
            for entry in self.fleet.entries:
                if entry not in self.cut:
                    probes.append(asyncio.ensure_future(self.probe(name, entry, number)))
            await asyncio.sleep(PROBE_GAP)
        await asyncio.gather(*probes)

    def followers(self):
        """Entries whose connection to the store has waited for changes in the last seconds."""
        recent = [(at, entry) for entry, at in self.fleet.watched.items() if now() - at < 2.0]
        return sorted(entry for _, entry in recent)

    async def round(self, number, trouble):
        size = len(self.routes) // ROUNDS
        names = self.routes[number * size:(number + 1) * size]
        uses, healed = [], None
        for index, name in enumerate(names):
            await self.drop_route(name)
            uses.append(asyncio.ensure_future(self.use_dropped(name)))
            if trouble and index == size // 2:
                followers = self.followers()
                self.cut = set(followers[:2])
                self.record.add(f"entries that follow the store: {followers}; {sorted(self.cut)} are cut off from it")
                for entry in self.cut:
                    self.fleet.proxies[entry].cut()
                healed = now() + CUT
            await asyncio.sleep(GAP)
        await asyncio.gather(*uses)
        if healed:
            await asyncio.sleep(max(0, healed - now()))
            for entry in self.cut:
                self.fleet.proxies[entry].heal()
            self.record.add(f"entries {sorted(self.cut)} reach the store again")
        await asyncio.sleep(CONTACT + 2)
        self.cut = set()


async def run(trouble, folder):
    trial = ConfigTrial(folder)
    fleet = trial.fleet
    try:
        await fleet.start_store()
        for number in range(WORKERS):
            await fleet.start_worker(f"i-desk{10 + number}", 10 + number, zone=ZONES[number % 2][0], work=0.002)
        await fleet.store.put("op/config", trial.config())
        await fleet.start_entries(ENTRIES, proxied=True)
        await asyncio.sleep(6)
        for number in range(ROUNDS):
            await trial.round(number, trouble)
        ran = {run["id"] for worker in fleet.workers.values() for run in worker.runs}
        broken = [(ident, *trial.probes[ident]) for ident in trial.probes if ident in ran]
        for ident, entry, name, age, status in broken:
            trial.record.add(f"{ident}: sent to entry {entry} {age:.3f} s after the route was dropped, was run (answer {status})")
        worst = max((age for _, _, _, age, _ in broken), default=0)
        trial.record.add(f"requests on a dropped route, sent later than {CONFIG_APPLY} s after the acknowledgement to entries "
                         f"in touch: {len(trial.probes)}, of which {len(broken)} were run, the last {worst:.3f} s after it")
        print(f"probes {len(trial.probes)}, run {len(broken)}, latest {worst:.3f} s after the acknowledgement (allowed 2 s)")
        return bool(broken)
    finally:
        fleet.stop()


main(run, FOLDER)
