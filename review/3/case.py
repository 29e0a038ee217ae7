"""A machine loses the network for 30 s, and the controller ends that has just placed anew what ran
there. The tasks of a job with `samePlace` must not be in two zones."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *

CUT_S = 30.0       # machine_cut, count = 1 of 2 allowed, for_s = 30
BACK_S = 5.0       # restart_delay_s
A, B = "eemsmond", "rijnmond"
OTHERS = 31        # jobs of one task that start together with the job's task


def on_machine(world, worker, job_id):
    return sorted(int(p.split("/")[1]) for (p, _), w in world.on.items() if w is worker and p.split("/")[0] == job_id)


async def until(seconds, condition, what):
    end = now() + seconds
    while not condition():
        if now() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.02)


async def play(folder, trouble, holder):
    world = holder["world"] = World(folder, small_cluster(), [grachtbak()], STATE)
    await world.begin()
    world.cloud.capacity = 1
    await world.ready()
    await asyncio.sleep(0.5)
    # A machine in one zone, kept by a service of another team.
    small = dict(gpus=0.0, ramGb=0.5)
    await world.submit(job_spec(1, owner="loketteam-01", shape="daemon", rank="prod", hall=A, cores=0.25, **small))
    await until(25, lambda: world.jobs["req-000001"].starts, "the first machine up")
    here = next(iter(world.cloud.machines.values()))
    # An array of 65 tasks that must share a zone. All but the last two of them are short.
    job = Job(job_spec(3, pieces=65, samePlace=True, cores=0.5, **small), 0.3)
    job.run_of = {63: 80.0, 64: 80.0}
    world.jobs[job.id] = job
    await world.submit(job.spec)
    await until(30, lambda: len(job.completed) == 63 and on_machine(world, here, job.id) == [63, 64], "63 tasks done")
    # Other jobs of the team on the same machine.
    numbers = range(10, 10 + OTHERS)
    await asyncio.gather(*(world.submit(job_spec(n, rank="high", cores=0.25, **small), run_s=80.0) for n in numbers))
    await until(15, lambda: all(on_machine(world, here, f"req-{n:06d}") == [0] for n in numbers), "the others run")
    # A machine in another zone, with room for the others and one task of the array.
    world.cloud.capacity = 2
    await world.submit(job_spec(2, owner="loketteam-01", shape="daemon", rank="prod", hall=B, cores=3.5, **small))
    await until(20, lambda: world.jobs["req-000002"].starts, "the second machine up")
    there = next(w for w in world.cloud.machines.values() if w is not here)
    await asyncio.sleep(3.0)

    async def back():
        await asyncio.sleep(CUT_S)
        here.mute = here.deaf = False
        world.note("trouble", f"{here.name} has the network again")
    if trouble:
        here.mute = here.deaf = True
        world.note("trouble", f"{here.name} in {A} loses the network for {CUT_S:.0f} s")
        asyncio.create_task(back())
        # Once what ran there is proven over, the job goes on in the other zone.
        await until(28, lambda: on_machine(world, there, job.id), "the job goes on in the other zone")
        await asyncio.sleep(1.0)
        world.kill_node("hutte-0")
        await asyncio.sleep(BACK_S)
        world.start_node("hutte-0")
    end = now() + 30
    while now() < end and not world.broken:
        await asyncio.sleep(0.1)
    await world.poll(job.id)
    world.broken = [(rule, text) for rule, text in world.broken if rule == "wrong_place"]


main(play)
