"""A task fails on a machine, which forgets it, and its next attempt runs elsewhere. Then every call that
the first machine has executed and answered, long ago, reaches it once more: the one that started the task
too, if a call did."""
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


class Machine:
    """The machine that starts the task first, and the calls that each machine has executed."""

    def __init__(self):
        self.worker, self.calls = None, {}

    def record_call(self, worker, body):
        if body["mandate"] >= worker.mandate and body["shift"] == worker.shift:
            self.calls.setdefault(worker.name, []).append(body)

    def record_start(self, worker, orders):
        starts = any(o["verb"] == "launch" and o["piece"] == f"{JOB}/0" for o in orders)
        if starts and self.worker is None:
            self.worker, self.token = worker, worker.mandate
            worker.sick = VARIANT != "restarted"


def recording(machine):
    plain_handle, plain_execute = Worker.handle, Worker.execute

    async def handle(self, method, path, body):
        if path == "/commands":
            machine.record_call(self, body)
        return await plain_handle(self, method, path, body)

    def execute(self, orders, origin):
        machine.record_start(self, orders)
        return plain_execute(self, orders, origin)
    Worker.handle, Worker.execute = handle, execute


async def until(seconds, condition, what):
    end = now() + seconds
    while not condition():
        if now() > end:
            raise CannotRun(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.01)


def runs_elsewhere(world, worker):
    return any(p == f"{JOB}/0" and w is not worker for (p, _), w in world.on.items())


async def forgotten(world, first):
    await until(20, lambda: all(key[0] != f"{JOB}/0" for key in first.worker.pieces), "the machine forgets the task")
    first.worker.sick = False
    world.note("test", f"{first.worker.name} has forgotten the task", mandate=first.worker.mandate)


async def repeat(world, first):
    worker = first.worker
    for body in list(first.calls.get(worker.name, [])):
        executed = body["mandate"] >= worker.mandate and body["shift"] == worker.shift
        world.note("trouble", f"a call reaches {worker.name} once more", mandate=body["mandate"],
                   highest=worker.mandate, executed=executed, orders=body.get("orders"))
        print(f"call with token {body['mandate']}, highest of the machine {worker.mandate}, "
              f"{len(body.get('orders') or [])} commands: {'executed' if executed else 'refused'}")
        await worker.handle("POST", "/commands", body)


async def prepare(world, first):
    await until(20, lambda: first.worker, "the task starts")
    if VARIANT == "cancelled":
        if await world.cancel(JOB) != "withdrawn":
            raise CannotRun("the job was not cancelled")
        return await forgotten(world, first)
    if VARIANT == "restarted":
        await until(10, lambda: any(p == f"{JOB}/0" for p, _ in world.on), "the task runs")
        first.worker.restart()
    else:
        await forgotten(world, first)
    await until(40, lambda: runs_elsewhere(world, first.worker), "the next attempt runs elsewhere")
    if VARIANT == "leader":
        leader = world.leader_of(first.token)
        world.kill_node(leader)
        await asyncio.sleep(LEADER_BACK_AFTER_S)
        world.start_node(leader)


async def play(folder, trouble, holder):
    first = Machine()
    recording(first)
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
    await prepare(world, first)
    await asyncio.sleep(COPY_AFTER_S)
    if trouble:
        if VARIANT == "emptied":
            first.worker.restart()
        await repeat(world, first)
    await asyncio.sleep(WATCH_S)


main(play)
