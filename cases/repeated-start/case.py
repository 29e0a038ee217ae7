"""A task fails on a machine, which forgets it, and its next attempt runs elsewhere. Then the call that
started it, executed and answered long ago, reaches the first machine once more."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review", "standin"))
from world import *

# moved: the next attempt runs elsewhere. leader: so it does, and the shard's leader ends and is back in
# between. cancelled: the job's cancellation is confirmed. restarted: the machine restarts while the task
# runs there, and the copy arrives when the next attempt runs elsewhere. emptied: as moved, and the machine
# restarts just before the copy arrives.
VARIANT = os.environ.get("VARIANT", "moved")
# From the forget to the copy; after a restart, from the next attempt's start.
COPY_AFTER_S = float(os.environ.get("COPY_AFTER_S", "2.5"))
LEADER_BACK_AFTER_S = 0.3
WATCH_S = 6.0
JOB = "req-000003"


class StartCall:
    """The first call that starts the task, as the machine executed it."""

    def __init__(self):
        self.worker = self.body = None

    def record(self, worker, body):
        starts = any(o["verb"] == "launch" and o["piece"] == f"{JOB}/0" for o in body.get("orders") or [])
        if starts and self.worker is None and body["mandate"] >= worker.mandate and body["shift"] == worker.shift:
            self.worker, self.body = worker, body
            worker.sick = VARIANT != "restarted"


def recording(call):
    plain = Worker.handle

    async def handle(self, method, path, body):
        if path == "/commands":
            call.record(self, body)
        return await plain(self, method, path, body)
    Worker.handle = handle


async def until(seconds, condition, what):
    end = now() + seconds
    while not condition():
        if now() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.01)


def runs_elsewhere(world, worker):
    return any(p == f"{JOB}/0" and w is not worker for (p, _), w in world.on.items())


async def forgotten(world, call):
    await until(20, lambda: all(key[0] != f"{JOB}/0" for key in call.worker.pieces), "the machine forgets the task")
    call.worker.sick = False
    world.note("test", f"{call.worker.name} has forgotten the task", mandate=call.worker.mandate)


async def repeat(world, call):
    worker, body = call.worker, call.body
    executed = body["mandate"] >= worker.mandate and body["shift"] == worker.shift
    world.note("trouble", f"the start reaches {worker.name} once more", mandate=body["mandate"],
               highest=worker.mandate, executed=executed)
    print(f"token of the start {body['mandate']}, highest of the machine {worker.mandate}: "
          f"{'executed' if executed else 'refused'}")
    await worker.handle("POST", "/commands", body)


async def prepare(world, call):
    await until(20, lambda: call.worker, "the task starts")
    if VARIANT == "cancelled":
        if await world.cancel(JOB) != "withdrawn":
            raise CannotRun("the job was not cancelled")
        return await forgotten(world, call)
    if VARIANT == "restarted":
        await until(10, lambda: any(p == f"{JOB}/0" for p, _ in world.on), "the task runs")
        call.worker.restart()
    else:
        await forgotten(world, call)
    await until(40, lambda: runs_elsewhere(world, call.worker), "the next attempt runs elsewhere")
    if VARIANT == "leader":
        leader = world.leader_of(call.body["mandate"])
        world.kill_node(leader)
        await asyncio.sleep(LEADER_BACK_AFTER_S)
        world.start_node(leader)


async def play(folder, trouble, holder):
    call = StartCall()
    recording(call)
    world = holder["world"] = World(folder, small_cluster(), [grachtbak()], STATE)
    await world.begin()
    await world.ready()
    await asyncio.sleep(0.5)
    # Services of another team keep two machines up, each with room for the task.
    for number, hall in ((1, "eemsmond"), (2, "rijnmond")):
        await world.submit(job_spec(number, owner="loketteam-01", shape="daemon", rank="prod", hall=hall))
    await until(30, lambda: all(world.jobs[f"req-{n:06d}"].starts for n in (1, 2)), "two machines up")
    await asyncio.sleep(3.0)
    await world.submit(job_spec(3, shape="daemon", rank="prod"))
    await prepare(world, call)
    await asyncio.sleep(COPY_AFTER_S)
    if trouble:
        if VARIANT == "emptied":
            call.worker.restart()
        await repeat(world, call)
    await asyncio.sleep(WATCH_S)


main(play)
