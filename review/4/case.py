"""A copy of a start reaches a machine that is back at once; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from world import TROUBLE, Worker, World, job, main, unpack  # noqa: E402

PIECE = "req-000001/0"
# From the restart to the copy. A worker goes to the controller that a 421 names "at once or after up to
# half a second".
COPY_AFTER_S, REDIRECT_S = 0.1, 0.5
AFTER_S = 10


async def play():
    world = World(HERE, {("grachtbak", zone, False): 1 for zone in ("rijnmond", "utrechtbaan")})
    world.redirect_s = lambda: REDIRECT_S
    sent, twice = [], []

    class Recorded(Worker):
        async def handle(self, method, path, body):
            if path == "/commands":
                orders = unpack(body).get("orders") or []
                if any(o["verb"] == "launch" and o["piece"] == PIECE for o in orders):
                    sent.append((self, body))
            return await super().handle(method, path, body)

    world.worker = Recorded

    def on(machine):
        return [t for t in machine.tasks.values() if t.piece == PIECE and t.phase != "exited"]

    def began(machine, task):
        others = [m.name for m in world.cloud.machines.values() if m is not machine and m.up and on(m)]
        if task.piece == PIECE and others:
            world.note("starts on", machine.name, "while it is on", *others)
            twice.append((machine.name, others[0]))

    world.on_start = began
    try:
        await world.open()
        await world.submit(job("req-000001", expectS=300.0))
        await world.until(lambda: world.running, 30, "the job never ran")
        if not sent:
            return None
        machine, message = sent[0]
        # A service that is bound to the zone takes the machine; the job is stopped and runs elsewhere.
        service = dict(jobklasse="pasfoto-check", shape="daemon", rank="prod", cores=4.0, ramGb=22.0, expectS=0.0)
        await world.submit(job("req-000002", pieces=2, hall=machine.pool[1], **service))
        await world.until(
            lambda: any(p == PIECE and m != machine.name for _, p, m, _ in world.running), 60, "the job never ran elsewhere"
        )
        await world.until(lambda: not any(t.piece == PIECE for t in machine.tasks.values()), 20, "the attempt was not forgotten")
        await asyncio.sleep(3)
        if TROUBLE:
            machine.restart()
            await asyncio.sleep(COPY_AFTER_S)
            status, _ = await machine.handle("POST", "/commands", message)
            world.note("trouble: a copy of the first start reaches", machine.name, "again:", unpack(message), "->", status)
        await asyncio.sleep(AFTER_S)
        if not twice:
            return None
        return f"{PIECE} started on {twice[0][0]} while it was on {twice[0][1]}"
    finally:
        world.close()


main(HERE, play)
