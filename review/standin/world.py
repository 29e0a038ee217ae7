"""Stand-ins of the state service, the cloud, its workers and the users, after the protocol page,
and the three controllers as processes of their own. Real clock, loopback addresses only."""
import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from bisect import bisect_right
from urllib.parse import parse_qs, urlsplit

from wire import NoAnswer, call, json_size, serve

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
now = time.monotonic


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def free_ports(count):
    """Ports below the range from which the system takes those of outgoing connections."""
    held = []
    chooser = random.Random(os.urandom(8))
    while len(held) < count:
        s = socket.socket()
        try:
            s.bind((HOST, chooser.randrange(15000, 32000)))
            held.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Store:
    """The state service. One listener for each controller, so that it can refuse one alone."""

    def __init__(self, world, limits):
        self.world, self.limits = world, dict(limits)
        self.kv, self.revision, self.log = {}, 0, []
        self.leases, self.next_lease = {}, 7
        self.outage, self.refused, self.held = False, set(), set()
        self.tokens = {"rps": float(limits["rps"]), "write_rps": float(limits["write_rps"])}
        self.refilled = now()
        self.delay = {}          # host -> s by which its answers are late
        self.late_share = 0.0    # transactions without an answer, executed 2 to 12 s later
        self.lost_share = 0.0    # transactions whose answer alone is lost
        self.hook = None         # hook(host, txn) -> None, "late", "lost" or "drop"
        self.refusals, self.takers = 0, {}

    # -- changes
    def change(self, key, data, lease=None):
        if data is None:
            if key not in self.kv:
                return
            del self.kv[key]
            self.log.append({"drop": key, "stamp": self.revision})
        else:
            self.kv[key] = (data, self.revision, lease)
            if key.startswith("w/part/"):
                self.takers[self.revision] = data.get("host")
            self.log.append({"set": key, "data": data, "stamp": self.revision})
        if len(self.log) > 12000:
            del self.log[:2000]

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            if self.outage:
                continue
            for lease, (ttl, until) in list(self.leases.items()):
                if now() > until + 0.05:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, v in self.kv.items() if v[2] == lease]
        if keys:
            self.revision += 1
            for k in keys:
                self.change(k, None)
        self.world.note("store", f"lease {lease} ended", keys=keys)

    def set_outage(self, on):
        self.outage = on
        if not on:
            for lease, (ttl, _) in self.leases.items():
                self.leases[lease] = (ttl, now() + ttl)
        self.world.note("store", f"outage {on}")

    def take(self, name, amount):
        t = now()
        for k in self.tokens:
            self.tokens[k] = min(self.limits[k], self.tokens[k] + (t - self.refilled) * self.limits[k])
        self.refilled = t
        if self.tokens[name] < amount:
            return False
        self.tokens[name] -= amount
        return True

    # -- requests
    def handler(self, host):
        async def handle(method, path, body):
            if host in self.held:       # the network holds the request back until the cut is over
                while host in self.held:
                    await asyncio.sleep(0.02)
                if random.random() < 0.3:
                    raise NoAnswer
            if self.outage or host in self.refused:
                return 503, None
            if not self.take("rps", 1):
                return 429, None
            await asyncio.sleep(random.uniform(0.001, 0.006))
            if self.outage or host in self.refused:
                return 503, None
            result = await self.execute(host, method, path, body)
            if self.delay.get(host):
                await asyncio.sleep(self.delay[host])
            return result
        return handle

    async def execute(self, host, method, path, body):
        url = urlsplit(path)
        q = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "POST" and url.path == "/txn":
            return await self.txn(host, body)
        if method == "GET" and url.path.startswith("/store/"):
            key = url.path[len("/store/"):]
            if key not in self.kv:
                return 404, {"ledger": self.revision}
            data, stamp, lease = self.kv[key]
            return 200, {"path": key, "data": data, "stamp": stamp, "permit": lease}
        if method == "GET" and url.path == "/store":
            keys = sorted(k for k in self.kv if k.startswith(q["under"]) and k > q.get("after", ""))
            limit = min(int(q.get("limit", 1000)), 1000)
            page, size = [], 0
            for k in keys:
                item = {"path": k, "data": self.kv[k][0], "stamp": self.kv[k][1]}
                size += json_size(item)
                if len(page) >= limit or size > 512 * 1024:
                    break
                page.append(item)
            return 200, {"entries": page, "truncated": len(page) < len(keys), "ledger": self.revision}
        if method == "GET" and url.path == "/watch":
            after, until = int(q["after"]), now() + int(q.get("waitMs", 0)) / 1000
            while True:
                if self.log and after < self.log[0]["stamp"] - 1 and len(self.log) >= 10000:
                    return 410, None
                at = bisect_right(self.log, after, key=lambda e: e["stamp"])
                events = [e for e in self.log[at:] if (e.get("set") or e.get("drop")).startswith(q["under"])]
                if events or now() >= until:
                    return 200, {"ledger": self.revision, "events": events}
                await asyncio.sleep(0.01)
        if method == "POST" and url.path == "/holds":
            ttl = body["ttlMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, now() + ttl)
            return 200, {"permit": self.next_lease}
        renew = re.fullmatch(r"/holds/(\d+)/renew", url.path)
        if method == "POST" and renew:
            lease = int(renew[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"permit": lease}
        end = re.fullmatch(r"/holds/(\d+)", url.path)
        if method == "DELETE" and end:
            if int(end[1]) in self.leases:
                self.end_lease(int(end[1]))
            return 200, None
        return 400, None

    async def txn(self, host, body):
        when, writes = body.get("when") or [], body.get("writes") or []
        limit = self.limits
        sizes = [json_size(w["data"]) for w in writes if "set" in w]
        fault = None
        if len(writes) > limit["txn_ops"] or len(when) > 4 * limit["txn_ops"]:
            fault = "too many"
        elif json_size(body) > 64 * 1024 or any(s > limit["value_kb"] * 1024 for s in sizes):
            fault = "too large"
        if fault:
            keys = [(w.get("set") or w.get("drop")) for w in writes]
            self.world.note("store", f"400 {fault}", host=host, keys=keys, sizes=sizes)
            return 400, {"error": fault}
        if writes and not self.take("write_rps", len(writes)):
            self.refusals += 1
            return 429, None
        fate = self.hook(host, body) if self.hook else None
        if fate is None and writes:
            r = random.random()
            fate = "late" if r < self.late_share else "lost" if r < self.late_share + self.lost_share else None
        if fate == "late":
            asyncio.create_task(self.later(random.uniform(2, 12), body))
            raise NoAnswer
        result = self.apply(body)
        if fate == "lost":
            raise NoAnswer
        return result

    async def later(self, delay, body):
        await asyncio.sleep(delay)
        while self.outage:
            await asyncio.sleep(0.1)
        self.world.note("store", "late txn", result=self.apply(body)[0],
                        keys=[(w.get("set") or w.get("drop")) for w in body.get("writes") or []])

    def apply(self, body):
        writes = body.get("writes") or []
        for w in writes:
            if w.get("permit") is not None and w["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["path"] for c in body.get("when") or []
                  if (self.kv[c["path"]][1] if c["path"] in self.kv else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if writes:
            self.revision += 1
            for w in writes:
                if "set" in w:
                    self.change(w["set"], w["data"], w.get("permit"))
                else:
                    self.change(w["drop"], None)
        return 200, {"ledger": self.revision}


class Cloud:
    def __init__(self, world, types, lag, boot=(1.0, 2.0)):
        self.world, self.types, self.lag, self.boot = world, types, lag, boot
        self.machines, self.bookings, self.count = {}, {}, 0
        self.history = []
        self.capacity = 40
        self.trouble = False
        self.late_share = self.lost_share = 0.0

    async def handle(self, method, path, body):
        url = urlsplit(path)
        await asyncio.sleep(0.05)
        if self.trouble:
            return 503, {"error": "trouble"}
        if method == "GET" and url.path == "/catalog":
            return 200, {"hardware": self.types}
        if method == "POST" and random.random() < self.late_share:
            asyncio.create_task(self.later(method, path, body))
            raise NoAnswer
        lost = method == "POST" and random.random() < self.lost_share
        result = self.execute(method, url, body)
        if lost:
            raise NoAnswer
        return result

    async def later(self, method, path, body):
        await asyncio.sleep(random.uniform(2, 20))
        self.execute(method, urlsplit(path), body)

    def execute(self, method, url, body):
        if method == "POST" and url.path == "/rentals":
            if body["booking"] not in self.bookings:
                count = min(body["howMany"], 50, self.capacity - len(self.machines))
                if count <= 0:
                    return 503, {"error": "no capacity"}
                names = []
                for _ in range(count):
                    self.count += 1
                    name = f"n-{self.count:06d}"
                    names.append(name)
                    worker = Worker(self.world, name, body["build"], body["hall"], body["standby"])
                    self.machines[name] = worker
                    worker.task = asyncio.create_task(worker.live(random.uniform(*self.boot)))
                self.bookings[body["booking"]] = names
                self.world.note("cloud", f"rented {names}", hall=body["hall"], build=body["build"])
                self.snapshot()
            return 200, {"boxes": self.bookings[body["booking"]]}
        if method == "POST" and url.path == "/rentals/release":
            for name in body["boxes"]:
                worker = self.machines.pop(name, None)
                if worker:
                    worker.destroy("released")
            self.snapshot()
            return 200, None
        if method == "GET" and url.path == "/rentals":
            q = {k: v[0] for k, v in parse_qs(url.query).items()}
            at, listed = 0, []
            for t, entries in self.history:
                if t <= now() - self.lag:
                    at, listed = t, entries
            limit = min(int(q.get("limit", 500)), 500)
            rest = [e for e in listed if e["nameId"] > q.get("after", "")]
            page = [dict(e, heldS=max(0.0, at - e["heldS"])) for e in rest[:limit]]
            return 200, {"boxes": page, "truncated": len(rest) > limit}
        return 400, None

    def snapshot(self):
        self.history.append((now(), [
            {"nameId": n, "address": w.address or "127.0.0.1:1", "build": w.build, "hall": w.hall,
             "standby": w.standby, "phase": "running" if w.up else "starting", "heldS": w.born}
            for n, w in sorted(self.machines.items())]))
        del self.history[:-400]


class Worker:
    """One machine with its worker."""

    def __init__(self, world, name, build, hall, standby):
        self.world, self.name, self.build, self.hall, self.standby = world, name, build, hall, standby
        self.born, self.address, self.up, self.gone = now(), None, False, False
        self.shift, self.tally, self.mandate = 1, 0, 0
        self.pieces = {}        # (piece, try) -> dict(phase, cause, ...)
        self.images, self.pulls = set(), {}
        self.node = random.randrange(len(world.hosts))
        self.changed = asyncio.Event()
        self.hung = False
        self.deaf = self.mute = False
        self.lease_from = None
        self.life, self.warning, self.sick = 0, None, False
        self.server = self.task = None

    async def live(self, boot):
        await asyncio.sleep(boot)
        self.server = await serve(HOST, 0, self.handle)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.up, self.lease_from = True, now()
        self.world.cloud.snapshot()
        asyncio.create_task(self.watch_lease())
        last = 0.0
        while not self.gone:
            interval = self.world.timing["report_s"] * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.changed.wait(), interval)
            except asyncio.TimeoutError:
                pass
            if now() < last + 0.5:
                await asyncio.sleep(last + 0.5 - now())
            while self.hung and not self.gone:
                await asyncio.sleep(0.05)
            if self.gone:
                return
            self.changed.clear()
            last = now()
            await self.report()

    async def report(self):
        world, sent, shift = self.world, now(), (self.life, self.shift)
        host = world.hosts[self.node]
        if self.mute or (self.hall, host) in world.cut:
            await asyncio.sleep(4.0)
            status, value = 0, None
        else:
            body = self.state()
            if random.random() < world.copy_share:
                asyncio.create_task(self.copy(body, random.uniform(2, 25)))
            status, value, _ = await call(world.listen[host], "POST", "/hello", body, timeout=4.0)
        while self.hung and not self.gone:
            await asyncio.sleep(0.05)
        if self.deaf:
            status = 0
        if self.gone or (status and now() > sent + 4.0):
            return
        if status == 200 and shift == (self.life, self.shift):
            token = value.get("mandate")
            if token is None or token < self.mandate:
                return
            self.see(token)
            self.lease_from = max(self.lease_from, sent)
            self.execute(value.get("orders") or [], f"answer of {host}")
        elif status == 421 and (value or {}).get("foreman") in world.hosts and value["foreman"] != host:
            self.node = world.hosts.index(value["foreman"])
            self.changed.set()
        elif status != 200:
            self.node = (self.node + 1) % len(world.hosts)
            await asyncio.sleep(1.0)
            self.changed.set()

    async def copy(self, body, delay):
        """A copy of a report arrives again, late, at each controller."""
        await asyncio.sleep(delay)
        for host in self.world.hosts:
            await call(self.world.listen[host], "POST", "/hello", body, timeout=1.0)

    def restart(self):
        """The machine is back at once and empty: its worker begins anew."""
        self.world.note(self.name, "worker restarted")
        for key in list(self.pieces):
            self.leave(key, "restart")
        self.pieces.clear()
        self.shift, self.tally, self.mandate, self.lease_from = 1, 0, 0, now()
        self.life += 1
        self.images, self.pulls = set(), {}
        self.changed.set()

    def state(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), p in self.pieces.items():
            item = {"piece": piece, "try": attempt, "phase": p["phase"]}
            if p["phase"] == "exited":
                item["cause"] = p["cause"]
                if p.get("saved"):
                    item["saved"] = True
            pieces.append(item)
        return {"box": self.name, "address": self.address, "build": self.build, "hall": self.hall,
                "standby": self.standby, "shift": self.shift, "tally": self.tally, "mandate": self.mandate,
                "warningS": self.warning, "pieces": pieces}

    def see(self, token):
        if token > self.mandate:
            self.mandate = token
            asyncio.get_running_loop().call_later(self.world.timing["lease_s"] / 2 * random.random() + 0.5, self.changed.set)

    async def handle(self, method, path, body):
        while self.hung and not self.gone:
            await asyncio.sleep(0.05)
        if self.gone:
            raise NoAnswer
        if path == "/inspect":
            return 200, self.state()
        if path != "/commands":
            return 400, None
        if self.deaf or (self.hall, self.world.leader_of(body.get("mandate") or 0)) in self.world.cut:
            raise NoAnswer
        if random.random() < self.world.late_command_share:
            asyncio.create_task(self.late_command(body, random.uniform(2, 16)))
            raise NoAnswer
        if body.get("mandate") is None or body.get("shift") is None:
            return 400, None
        if body["mandate"] < self.mandate or body["shift"] != self.shift:
            return 409, self.state()
        self.see(body["mandate"])
        self.execute(body.get("orders") or [], "command")
        state = self.state()
        if self.world.late_answer_s:
            await asyncio.sleep(random.uniform(0, self.world.late_answer_s))
        return 200, state

    async def late_command(self, body, delay):
        await asyncio.sleep(delay)
        while self.hung and not self.gone:
            await asyncio.sleep(0.05)
        if not self.gone and body["mandate"] >= self.mandate and body["shift"] == self.shift:
            self.see(body["mandate"])
            self.execute(body.get("orders") or [], "late command")

    async def watch_lease(self):
        while not self.gone:
            await asyncio.sleep(0.1)
            # Also on a machine that hangs: it may go on within its lease only.
            if now() > self.lease_from + self.world.timing["lease_s"]:
                self.world.note(self.name, "lease expired", shift=self.shift)
                for key in list(self.pieces):
                    self.leave(key, "lease")
                self.pieces.clear()
                self.shift += 1
                self.lease_from = now()
                self.changed.set()

    def destroy(self, why):
        self.world.note(self.name, why)
        self.gone = True
        for key in list(self.pieces):
            self.leave(key, why)
        self.pieces.clear()
        if self.server:
            self.server.close()

    # -- tasks
    def execute(self, orders, origin):
        for o in orders:
            key = (o["piece"], o["try"])
            if o["verb"] == "launch":
                self.launch(key, origin)
            elif o["verb"] == "kill":
                self.kill(key, o.get("courtesyS") or 0, origin)
            elif o["verb"] == "forget" and key in self.pieces and self.pieces[key]["phase"] == "exited":
                del self.pieces[key]
                self.changed.set()

    def launch(self, key, origin):
        piece, attempt = key
        if key in self.pieces:
            return
        job_id, number = piece.split("/")
        job = self.world.jobs.get(job_id)
        p = self.pieces[key] = {"phase": "exited", "cause": None}
        self.world.note(self.name, f"launch {piece}#{attempt}", by=origin, mandate=self.mandate)
        self.changed.set()
        busy = [k for k, q in self.pieces.items() if q["phase"] != "exited" and k != key]
        if job is None or int(number) >= job.spec["pieces"]:
            p["cause"] = "unknown"
        elif any(k[0] == piece for k in busy):
            p["cause"] = "in_use"
        elif not self.fits(job, busy):
            p["cause"] = "no_room"
        else:
            p["phase"] = "fetching"
            asyncio.create_task(self.run(key, job))

    def fits(self, job, busy):
        kind = next(t for t in self.world.cloud.types if t["name"] == self.build)
        for field in ("cores", "gpus", "ramGb"):
            used = sum(self.world.jobs[k[0].split("/")[0]].spec[field] for k in busy)
            if used + job.spec[field] > kind[field] + 1e-6:
                return False
        return True

    def fits_spec(self, spec):
        """The machine has room for a task of this job."""
        kind = next(t for t in self.world.cloud.types if t["name"] == self.build)
        busy = [k for k, q in self.pieces.items() if q["phase"] != "exited"]
        return all(sum(self.world.jobs[k[0].split("/")[0]].spec[f] for k in busy) + spec[f] <= kind[f] + 1e-6
                   for f in ("cores", "gpus", "ramGb"))

    async def fetch(self, image):
        if image in self.images:
            return
        if image not in self.pulls:
            self.pulls[image] = asyncio.create_task(asyncio.sleep(self.world.fetch_s))
        await asyncio.shield(self.pulls[image])
        self.images.add(image)

    def present(self, key, p):
        return not self.gone and self.pieces.get(key) is p and p["phase"] != "exited"

    async def pause(self, seconds):
        end = now() + seconds
        while now() < end:
            await asyncio.sleep(min(0.05, max(0.0, end - now())))
            if self.hung:
                began = now()
                while self.hung and not self.gone:
                    await asyncio.sleep(0.05)
                end += now() - began

    async def run(self, key, job):
        p = self.pieces[key]
        await self.fetch(job.spec["bundle"])
        while self.hung and not self.gone:
            await asyncio.sleep(0.05)
        if not self.present(key, p):
            return
        self.world.start(self, key, job)
        p["on"] = True
        if self.sick:
            return self.exit(key, "error")
        if key[0] in self.world.results:
            return self.exit(key, "done")
        if job.spec["shape"] == "ensemble" and job.spec["pieces"] > 1:
            p["phase"] = "gathering"
            self.changed.set()
            until = now() + self.world.timing["gang_wait_s"]
            gang = self.world.gang(job, key[1])
            gang["waiting"][key[0]] = self
            while len(gang["waiting"]) < job.spec["pieces"] and not gang["started"]:
                await asyncio.sleep(0.05)
                if not self.present(key, p):
                    gang["waiting"].pop(key[0], None)
                    return
                if now() > until:
                    gang["waiting"].pop(key[0], None)
                    return self.exit(key, "alone")
            if not gang["started"]:
                gang["started"] = True
                asyncio.create_task(self.world.run_gang(job, key[1], gang))
            p["phase"] = "running"
            self.changed.set()
            return
        p["phase"] = "running"
        self.changed.set()
        if job.spec["shape"] == "daemon":
            return
        await self.pause(job.run_of.get(int(key[0].split("/")[1]), job.run_s))
        if self.present(key, p) and p["phase"] == "running":
            self.world.results.add(key[0])
            job.completed.setdefault(key[0], now())
            self.exit(key, "done")

    def kill(self, key, courtesy, origin):
        p = self.pieces.get(key)
        if not p or p["phase"] == "exited":
            return
        job = self.world.jobs[key[0].split("/")[0]]
        self.world.note(self.name, f"kill {key[0]}#{key[1]}", by=origin)
        if p["phase"] == "saving":
            if courtesy == 0:
                self.exit(key, "stopped")
            return
        if p["phase"] == "running" and job.spec["savepointS"] > 0 and courtesy >= job.spec["flushS"]:
            p["phase"] = "saving"
            self.changed.set()

            async def save():
                await self.pause(job.spec["flushS"])
                if self.present(key, p):
                    p["saved"] = True
                    self.exit(key, "stopped")
            asyncio.create_task(save())
        else:
            self.exit(key, "stopped")

    def exit(self, key, cause):
        p = self.pieces[key]
        self.leave(key, cause)
        p["phase"], p["cause"] = "exited", cause
        self.changed.set()

    def leave(self, key, why):
        if self.pieces[key].pop("on", None):
            self.world.leave(self, key, why)
        else:
            self.world.note(self.name, f"{key[0]}#{key[1]} left before it was on the machine", why=why)


class Job:
    def __init__(self, spec, run_s):
        self.spec, self.run_s = spec, run_s
        self.id = spec["nameId"]
        self.accepted = self.cancel_asked = self.cancelled_told = self.done_told = None
        self.completed, self.starts, self.answers = {}, [], []
        self.first_started = None
        self.saved = 0.0
        self.run_of = {}    # run times of single tasks

    def complete(self):
        return len(self.completed) >= self.spec["pieces"]


class World:
    """All of it, with the record and the rules."""

    def __init__(self, folder, settings, types, state, boot=(1.0, 2.0), fetch_s=0.5, log_level="info"):
        self.folder, self.cluster = folder, settings
        self.timing = settings["workers"]
        self.state = state
        self.types, self.fetch_s, self.boot, self.log_level = types, fetch_s, boot, log_level
        self.began = now()
        self.record = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.jobs, self.results, self.gangs, self.on = {}, set(), {}, {}
        self.broken = []
        self.procs, self.hosts, self.listen, self.settings = {}, [], {}, {}
        self.cut = set()        # (zone of workers, host) that can't reach each other
        self.peer_block, self.link_delay = set(), {}
        self.copy_share = self.late_command_share = self.late_answer_s = 0.0

    def note(self, who, what, **more):
        text = " ".join(f"{k}={v}" for k, v in more.items())
        self.record.write(f"{now() - self.began:8.3f} {who}: {what} {text}\n")

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.note("RULE", f"{rule} broken: {text}")

    # -- processes
    async def begin(self, nodes=(("hutte-0", 0), ("hutte-1", 1), ("hutte-2", 2))):
        zones = self.cluster["zones"]
        self.hosts = [h for h, _ in nodes]
        zone_of = {h: zones[i % len(zones)] for h, i in nodes}
        self.zone_of = zone_of
        program = os.path.join(ROOT, "target", "release", "lemonweir")
        if not os.path.exists(program):
            raise CannotRun("the program is not built")
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            self.run_command = shlex.split(tomllib.load(f)["run"])
        self.store = Store(self, self.state)
        self.cloud = Cloud(self, self.types, self.cluster["cloud"]["list_lag_s"], self.boot)
        cloud = await serve(HOST, 0, self.cloud.handle)
        asyncio.create_task(self.store.expire())
        self.temporary = tempfile.TemporaryDirectory()
        for _ in range(3):
            await self.lay_out("%s:%d" % cloud.sockets[0].getsockname()[:2])
            await asyncio.sleep(0.3)
            if all(p.poll() is None for p in self.procs.values()):
                return
            # Another process took one of the ports in between.
            for h in self.hosts:
                self.kill_node(h)
        raise CannotRun("the controllers could not be started")

    async def lay_out(self, cloud_address):
        """Writes the settings files, with free ports, and starts the controllers."""
        ports = iter(free_ports(2 * len(self.hosts)))
        self.listen = {h: f"{HOST}:{next(ports)}" for h in self.hosts}
        inner = {h: f"{HOST}:{next(ports)}" for h in self.hosts}
        for h in self.hosts:
            listener = await serve(HOST, 0, self.store.handler(h))
            address = "%s:%d" % listener.sockets[0].getsockname()[:2]
            seeds = []
            for other in self.hosts:
                if other != h:
                    seeds.append({"host_name": other, "zone": self.zone_of[other],
                                  "address": await self.proxy(h, other, inner[other])})
            value = {"host_name": h, "zone": self.zone_of[h], "listen": self.listen[h], "internal_addr": inner[h],
                     "seeds": seeds, "services": {"cloud": cloud_address, "state": address},
                     "cluster": self.cluster}
            path = os.path.join(self.temporary.name, f"{h}.json")
            with open(path, "w") as f:
                json.dump(value, f)
            self.settings[h] = path
        for h in self.hosts:
            self.start_node(h)

    async def proxy(self, a, b, target):
        """The link from a to b; blocked links reset connections."""
        async def connection(reader, writer):
            out = None
            try:
                if (a, b) in self.peer_block:
                    writer.transport.abort()
                    return
                host, port = target.split(":")
                other, out = await asyncio.open_connection(host, int(port))

                async def copy(src, dst):
                    try:
                        while True:
                            data = await src.read(65536)
                            if not data or (a, b) in self.peer_block:
                                break
                            if self.link_delay:
                                await asyncio.sleep(self.link_delay.get(frozenset((a, b)), 0.0))
                            dst.write(data)
                            await dst.drain()
                    except ConnectionError:
                        pass
                    dst.close()
                await asyncio.gather(copy(reader, out), copy(other, writer))
            except OSError:
                pass
            finally:
                writer.close()
                if out:
                    out.close()
        server = await asyncio.start_server(connection, HOST, 0)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def start_node(self, h):
        if h in self.procs and self.procs[h].poll() is None:
            return
        log = open(os.path.join(self.temporary.name, f"{h}.log"), "a")
        env = dict(os.environ, LOG_LEVEL=self.log_level)
        self.procs[h] = subprocess.Popen(self.run_command + [self.settings[h]], cwd=ROOT, env=env,
                                         stderr=log, stdout=log, stdin=subprocess.DEVNULL)
        self.note(h, "process started", pid=self.procs[h].pid)

    def leader_of(self, mandate):
        """The host whose shard token a mandate carries."""
        return self.store.takers.get(mandate >> 28)

    def kill_node(self, h):
        self.procs[h].kill()
        self.procs[h].wait()
        self.note(h, "process killed")

    def signal_node(self, h, sig):
        self.procs[h].send_signal(sig)
        self.note(h, f"signal {sig.name}")

    def end(self):
        for h, p in self.procs.items():
            if p.poll() is None:
                try:
                    p.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                p.kill()
                p.wait()
            else:
                if p.returncode != -signal.SIGKILL:
                    self.note(h, f"process ended by itself with {p.returncode}")
        for w in list(self.cloud.machines.values()) if hasattr(self, "cloud") else []:
            w.gone = True
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for h in self.hosts:
                os.system(f"cp {self.temporary.name}/{h}.log {keep}/{h}.log")
        if hasattr(self, "temporary"):
            self.temporary.cleanup()

    async def ready(self, seconds=20):
        until = now() + seconds
        waiting = set(self.hosts)
        while waiting:
            if now() > until:
                raise CannotRun(f"controllers not ready: {sorted(waiting)}")
            for h in list(waiting):
                status, _, _ = await call(self.listen[h], "GET", "/up", timeout=1.0)
                if status == 200:
                    waiting.discard(h)
            await asyncio.sleep(0.2)
        self.note("all", "controllers ready")

    # -- rules about tasks
    def gang(self, job, attempt):
        key = (job.id, attempt)
        if key not in self.gangs or self.gangs[key].get("over"):
            self.gangs[key] = {"waiting": {}, "started": False}
        return self.gangs[key]

    async def run_gang(self, job, attempt, gang):
        """The tasks of a gang complete together; they notice within gang_peer_s that one is gone."""
        keys = [(f"{job.id}/{i}", attempt) for i in range(job.spec["pieces"])]
        members = {k: gang["waiting"][k[0]] for k in keys}
        pieces = {k: members[k].pieces[k] for k in keys}
        await asyncio.sleep(0.1)
        progress, lost_at, last = job.saved, None, now()
        while progress < job.run_s:
            await asyncio.sleep(0.05)
            step, last = now() - last, now()
            present = [k for k in keys if members[k].present(k, pieces[k])]
            if not present:
                gang["over"] = True
                return
            if len(present) == len(keys) and all(pieces[k]["phase"] == "running" and not members[k].hung for k in keys):
                lost_at = None
                progress += step
                continue
            lost_at = lost_at or now()
            if now() > lost_at + self.timing["gang_peer_s"] * 0.75:
                for k in present:
                    if not members[k].hung:
                        members[k].exit(k, "peers")
        for k in keys:
            self.results.add(k[0])
            job.completed.setdefault(k[0], now())
        for k in keys:
            members[k].exit(k, "done")

    def start(self, worker, key, job):
        piece = key[0]
        there = [w for (p, _), w in self.on.items() if p == piece and w is not worker]
        self.note(worker.name, f"start {piece}#{key[1]}")
        if there:
            self.breaks("ran_twice", f"{piece} starts on {worker.name} while it is on {[w.name for w in there]}")
        if job.cancelled_told and now() > job.cancelled_told:
            self.breaks("start_after_cancel" if now() < job.cancelled_told + self.timing["cancel_s"] else "ran_cancelled", piece)
        for needed in job.spec.get("awaits") or []:
            if not self.jobs[needed].complete():
                self.breaks("too_early", f"{piece} starts before {needed} is done")
        spec = job.spec
        others = [w for (p, _), w in self.on.items() if p.split("/")[0] == job.id]
        if spec.get("hardware") and worker.build not in spec["hardware"] or \
           spec.get("hall") and worker.hall != spec["hall"] or worker.standby and not spec["standby"] or \
           spec["samePlace"] and any(w.hall != worker.hall for w in others) or \
           spec["scatter"] and sum(w.hall == worker.hall for w in others) + 1 > (spec["pieces"] + 1) // 2:
            self.breaks("wrong_place", f"{piece} on {worker.name} {worker.hall}")
        self.on[key] = worker
        job.starts.append((now(), key, worker.name))
        job.first_started = job.first_started or now()
        team = next(t for t in self.cluster["teams"] if t["name"] == spec["owner"])
        for field, most in (("cores", team.get("cpus_max", 0)), ("gpus", team.get("gpus_max", 0))):
            used = sum(self.jobs[p.split("/")[0]].spec[field] for (p, _) in self.on
                       if self.jobs[p.split("/")[0]].spec["owner"] == spec["owner"])
            if most and used > most + 1e-6:
                self.breaks("quota", f"{spec['owner']} uses {used} {field} of {most}")

    def leave(self, worker, key, why):
        self.on.pop(key, None)
        self.note(worker.name, f"left {key[0]}#{key[1]}", why=why)

    # -- users
    def told(self, job, phase, host, asked):
        t = now()
        job.answers.append((asked, t, host, phase))
        if job.cancelled_told and asked > job.cancelled_told and phase != "withdrawn":
            self.breaks("went_back", f"{job.id} called {phase} by {host} after it was called withdrawn")
        if job.done_told and asked > job.done_told and phase != "done":
            self.breaks("went_back", f"{job.id} called {phase} by {host} after it was called done")
        if phase == "withdrawn":
            if not self.may_be_cancelled(job):
                self.breaks("went_back", f"{job.id} called withdrawn by {host}; nobody cancelled it")
            job.cancelled_told = job.cancelled_told or t
        if phase == "done":
            if not job.complete():
                self.breaks("not_done", f"{job.id} called done by {host}")
            job.done_told = job.done_told or t

    def may_be_cancelled(self, job):
        return job.cancel_asked is not None or any(
            self.may_be_cancelled(self.jobs[n]) for n in job.spec.get("awaits") or [])

    async def submit(self, spec, run_s=3.0, host=None, give_up=60.0):
        """A user submits and repeats as the page says. True once accepted."""
        job = self.jobs.get(spec["nameId"]) or Job(spec, run_s)
        self.jobs[job.id] = job
        began = now()
        while now() < began + give_up:
            h = host or random.choice(self.hosts)
            asked = now()
            status, value, headers = await call(self.listen[h], "POST", "/v1/jobs", spec, timeout=5.0)
            self.note("user", f"submit {job.id} to {h}: {status} {value}")
            if status in (200, 201):
                job.accepted = job.accepted or now()
                self.told(job, value["phase"], h, asked)
                return True
            if status in (400, 422):
                if job.accepted:
                    self.breaks("forgotten", f"{job.id}: repeated submission got {status}")
                return False
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1)))))
        return False

    async def poll(self, job_id, host=None):
        job = self.jobs[job_id]
        h = host or random.choice(self.hosts)
        asked = now()
        status, value, _ = await call(self.listen[h], "GET", f"/v1/jobs/{job_id}", timeout=2.0)
        if status == 200:
            self.note("user", f"poll {job_id} at {h}: {value['phase']} {value.get('reason', '')}")
            self.told(job, value["phase"], h, asked)
            return value["phase"]
        if status == 404 and job.accepted and asked > job.accepted:
            self.breaks("forgotten", f"{job_id} got 404 from {h}")
        self.note("user", f"poll {job_id} at {h}: {status}")
        return None

    async def cancel(self, job_id, host=None, give_up=60.0):
        job = self.jobs[job_id]
        job.cancel_asked = job.cancel_asked or now()
        began = now()
        while now() < began + give_up:
            h = host or random.choice(self.hosts)
            asked = now()
            status, value, headers = await call(self.listen[h], "POST", f"/v1/jobs/{job_id}/withdraw", timeout=5.0)
            self.note("user", f"withdraw {job_id} at {h}: {status} {value}")
            if status == 200:
                self.told(job, value["phase"], h, asked)
                return value["phase"]
            if status == 404 and job.accepted and asked > job.accepted:
                self.breaks("forgotten", f"{job_id}: withdrawal got 404 from {h}")
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1)))))
        return None


def job_spec(number, **more):
    spec = {"nameId": f"req-{number:06d}", "jobklasse": "scan-ocr", "owner": "loketteam-00", "shape": "array",
            "rank": "normal", "pieces": 1, "cores": 4.0, "gpus": 1.0, "ramGb": 20.0, "bundle": "img-07",
            "sizeGb": 1.0, "hardware": None, "hall": None, "samePlace": False, "scatter": False,
            "standby": False, "expectS": 10.0, "savepointS": 0.0, "flushS": 0.0, "dueS": None}
    spec.update(more)
    return spec


def small_cluster(teams=3, gpus_max=32.0, zones=("eemsmond", "rijnmond", "utrechtbaan"), next_state=None):
    """The visa desk's settings (BRIEF, DEPLOY), with fewer teams."""
    state = {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32}
    if next_state:
        state["next"] = next_state
    return {"nodes": 3, "zones": list(zones),
            "teams": [{"name": f"loketteam-{i:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": min(8.0, gpus_max), "gpus_max": gpus_max}
                      for i in range(teams)],
            "objectives": [{"kind": "guarantee", "within_s": 20.0, "share": 0.82}],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": state, "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800}, "clock_off_ms": 250.0}


STATE = {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32}


def grachtbak(zones=("eemsmond", "rijnmond", "utrechtbaan")):
    return {"name": "grachtbak", "cores": 12.0, "gpus": 2.0, "ramGb": 72.0, "cacheGb": 60.0, "pullGbPerS": 0.3,
            "hourly": 6.16, "spotPrice": 1.44, "bootS": 30.0, "halls": list(zones)}


def main(play):
    """Runs play(world, trouble) -> None; exit code 0: the rule held, 1: broken, 2: could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "1")))
    code = 2
    holder = {}

    async def run():
        # Cancelled connections at the end are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        await play(folder, trouble, holder)

    async def bounded():
        await asyncio.wait_for(run(), 117)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(bounded())
        world = holder["world"]
        for rule, text in world.broken:
            print(f"{rule}: {text}")
        code = 1 if world.broken else 0
    except (CannotRun, asyncio.TimeoutError, KeyError, OSError) as fault:
        print(f"could not run: {fault!r}")
        if "world" in holder:
            holder["world"].note("test", f"could not run: {fault!r}")
        code = 2
    finally:
        if "world" in holder:
            holder["world"].end()
            holder["world"].note("test", f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
