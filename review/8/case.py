"""Controllers call a running job queued while they can't reach each other; see claim.txt."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from world import TROUBLE, World, job, main  # noqa: E402

REFUSED_S = 40
# The bound of the rule.
LAG_S = 3


async def play():
    world = World(HERE, {("grachtbak", zone, False): 2 for zone in ("rijnmond", "utrechtbaan", "eemsmond")})
    try:
        await world.open()
        # Some seconds for the controllers to meet.
        await asyncio.sleep(5)
        if TROUBLE:
            world.refuse_peers(True)
        began, name = world.now(), "req-000001"
        await world.submit(job(name, expectS=300.0))
        await world.until(lambda: world.running, 30, "the job never ran")
        runs_since, wrong, answers = world.running[0][0], [], 0
        while world.now() < began + REFUSED_S - 1:
            for node in world.nodes:
                asked = world.now()
                status, body = await world.one(node, "GET", f"/v1/jobs/{name}")
                answers += 1
                # Its one task runs all the time: it is `running` from 3 s after it began to run.
                if status == 200 and body["phase"] == "queued" and asked > runs_since + LAG_S:
                    wrong.append((node.name, asked - runs_since))
            await asyncio.sleep(0.25)
        if TROUBLE:
            world.refuse_peers(False)
        still = [t for m in world.cloud.machines.values() for t in m.tasks.values() if t.phase == "running"]
        if len(world.starts) != 1 or len(still) != 1:
            world.note("the task did not run throughout")
            return None
        for node in world.nodes:
            ages = [age for host, age in wrong if host == node.name]
            world.note(node.name, "said queued", len(ages), "times, at the latest", max(ages, default=0), "s after it ran")
        if not wrong:
            return None
        latest = max(age for _, age in wrong)
        return f"{len(wrong)} of {answers} answers called the job queued, the last {latest:.0f} s after its task ran"
    finally:
        world.close()


main(HERE, play)
