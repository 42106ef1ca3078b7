# ruff: noqa: D101, D102, D103, D107
"""A gatekeeper is killed, a worker begins to drain, and the gatekeeper starts again while discovery is slow."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins2 as st

ANSWER_S = 1.0  # until discovery answers a call, after the restart
GRACE_S = 0.25  # drainGraceMs of the settings
SLACK_S = 0.05  # "each time limit is 50 ms longer"
RATE = 40
WORKERS = 4
RULES = {
    "answerSlackMs": 16.0,
    "askWithinMs": 10000.0,
    "coldFrom": 0.23,
    "drainGraceMs": GRACE_S * 1000,
    "fallMultiple": 4.0,
    "tipAfterMs": 3000.0,
    "warmUpMs": 15000.0,
}


async def send(client, seconds):
    """Send requests for some seconds, and wait for their answers."""
    tasks = []
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        tasks.append(asyncio.ensure_future(client.ask("view")))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)


async def body(case):
    discovery = st.Discovery(case.record)
    await discovery.start()
    workers = await case.worker_processes(WORKERS, work_s=0.1)
    await discovery.change(*[worker.row() for worker in workers])
    keeper = case.gatekeeper(discovery, rules=RULES)  # its configuration names the list as it is now
    await keeper.start()
    await send(st.Client((keeper.host, keeper.port), case.record, seed=1), 4.0)
    keeper.signal(signal.SIGKILL)
    await keeper.process.wait()
    drained = workers[0]
    before = len(drained.runs)
    drained.status = "leaving"
    await discovery.change(drained.row())
    await asyncio.sleep(1.0)
    if case.trouble:
        discovery.answer_delay_s = ANSWER_S
    started_s = time.monotonic()
    await keeper.start()
    ready_s = time.monotonic() - started_s
    await send(st.Client((keeper.host, keeper.port), case.record, seed=2), 6.0)
    after = [moment - started_s for moment, _ in drained.runs[before:]]
    late = [each for each in after if each > GRACE_S + SLACK_S]
    others = sum(moment > started_s for worker in workers[1:] for moment, _ in worker.runs)
    text = (
        f"{len(late)} attempts came to {drained.name} later than {GRACE_S + SLACK_S:.2f} s after the new process began,"
        f" which was ready after {ready_s:.2f} s ({before} before it drained)"
    )
    if not before or not others:
        return
    if late:
        case.broken(f"{text}, the first {late[0]:.2f} s and the last {late[-1]:.2f} s after")
    else:
        case.held(text)


st.Case(__file__).main(body)
