"""A service that is suspected of its failures keeps one replica; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from world import TROUBLE, ZELTPLATZ, CouldNotRun, World, job, main  # noqa: E402

REPLICAS, FAULTY = 3, 2
# The bound of the rule.
WAIT_S = 90


async def play():
    world = World(HERE, {("gletscherkiste", "aarehalle", False): 2, ("gletscherkiste", "limmathalle", False): 1}, ZELTPLATZ)
    service, faulty = "req-000011", []

    def began(machine, task):
        # The first machines on which the service's tasks start are the faulty ones.
        if TROUBLE and task.job["nameId"] == service and len(faulty) < FAULTY and machine not in faulty:
            world.note("trouble: tasks that start on", machine.name, "fail")
            machine.sick = True
            faulty.append(machine)

    world.on_start = began
    try:
        await world.open()
        # Each machine does some work first, which takes it whole.
        whole = dict(
            jobklasse="bewertung-rang", owner="buchungsteam", shape="ensemble", rank="high", cores=86.0, gpus=8.0,
            ramGb=610.0, expectS=6.0,
        )
        for k in range(3):
            await world.submit(job(f"req-00000{k}", **whole))
        await world.until(lambda: len(world.done) == 3, 30, "the machines' first jobs never ended")
        if len({machine for _, _, machine, _ in world.running}) < 3:
            raise CouldNotRun("not every machine had a job")
        await world.submit(job(
            service, jobklasse="platzsuche", owner="buchungsteam", shape="daemon", rank="prod", pieces=REPLICAS,
            cores=8.0, ramGb=58.0, expectS=0.0,
        ))

        def up():
            return sum(
                1 for m in world.cloud.machines.values() for t in m.tasks.values()
                if t.job["nameId"] == service and t.phase == "running"
            )

        def has_room(machine):
            used = [t.job for t in machine.tasks.values() if t.phase != "exited"]
            return machine.up and all(
                sum(spec[part] for spec in used) + world.jobs[service][part] <= machine.kind[part]
                for part in ("cores", "gpus", "ramGb")
            )

        await world.until(lambda: len(faulty) == (FAULTY if TROUBLE else 0) and up(), 45, "the service never ran")
        for machine in faulty:
            machine.sick = False
        world.note("no trouble from here on")
        began_at, most, always_room = world.now(), 0, True
        while most < REPLICAS and world.now() < began_at + WAIT_S:
            await asyncio.sleep(0.2)
            most = max(most, up())
            always_room = always_room and any(has_room(m) for m in world.cloud.machines.values())
        await world.ask(world.nodes[0], "GET", f"/v1/jobs/{service}")
        if most == REPLICAS or not always_room:
            return None
        return f"at most {most} of {REPLICAS} replicas ran in the {WAIT_S} s after the trouble, beside room for another"
    finally:
        world.close()


main(HERE, play)
