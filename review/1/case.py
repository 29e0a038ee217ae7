"""A controller stands still for 9 s while the links between controllers are slow. A job that is
accepted once both are over has to run."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from world import *

FREEZE_S = 9.0       # within the 7 to 32.5 s of the site files
SLOW_LINK_S = {"hutte-1": 0.25, "hutte-2": 0.3}   # one way, between hutte-0 and the others
WAIT_S = 90.0        # "no job is left waiting for 90 s"


def machine_with_room(world, spec):
    """A machine that fits, is up, and whose free room covers a task. Not one whose lease has ended."""
    for worker in list(world.cloud.machines.values()):
        if worker.up and not worker.gone and worker.fits_spec(spec) and worker.shift == 1 \
                and now() < worker.lease_from + world.timing["lease_s"]:
            return worker.name
    return None


async def play(folder, trouble, holder):
    world = holder["world"] = World(folder, small_cluster(), [grachtbak()], STATE)
    await world.begin()
    await world.ready()
    await asyncio.sleep(1.0)
    # A service of another team keeps a machine up that has room for one task more.
    await world.submit(job_spec(1, owner="loketteam-01", shape="daemon", rank="prod", hall="rijnmond"))
    # The team of the rule is served before the trouble.
    await world.submit(job_spec(2, owner="loketteam-00", hall="rijnmond"), run_s=0.5)
    await asyncio.sleep(8.0)

    if trouble:
        world.link_delay = {frozenset(("hutte-0", h)): s for h, s in SLOW_LINK_S.items()}
        world.note("trouble", f"links of hutte-0 to the other controllers take {SLOW_LINK_S} s one way")
        world.signal_node("hutte-0", signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if trouble:
        world.signal_node("hutte-0", signal.SIGCONT)
    await asyncio.sleep(2.0)
    world.link_delay = {}
    world.note("trouble", "over")

    spec = job_spec(3, owner="loketteam-00")
    if not await world.submit(spec, run_s=2.0, give_up=8.0):
        raise CannotRun("the job was not accepted")
    job, accepted = world.jobs["req-000003"], now()
    room = 0
    while now() < accepted + WAIT_S and not job.starts:
        room += machine_with_room(world, spec) is not None
        if int(now() - accepted) % 10 == 0:
            await world.poll("req-000003")
        await asyncio.sleep(1.0)
    world.note("test", "waited", s=round(now() - accepted, 1), seconds_with_room=room, starts=len(job.starts))
    if not job.starts:
        if room < WAIT_S * 0.9:
            raise CannotRun("no machine had room for all of the time")
        world.breaks("accepted_job_must_run", f"req-000003, accepted after the trouble, waits for {WAIT_S:.0f} s"
                     " while a machine that fits has room and its team is under its limit")


main(play)
