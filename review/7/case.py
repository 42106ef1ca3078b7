# ruff: noqa: D101, D102, D103, D107
"""A hundred bad clients that send hundreds of commands of no class, again as soon as they are turned away."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins2 as st

CLASSES = [{"name": "view", "repeat": "retryable", "aimMs": 750.0, "deadlineMs": 2000.0, "worth": 3.0}]
PLANS = [{"name": "wide", "perSecond": 18.0, "storeSize": 48.0, "valueFactor": 1.4}]
DEADLINE_MS = 1000  # half of the class's, the least that a try gives
LATE_S = DEADLINE_MS / 1000 + 0.5 + 0.05  # half a second after its time, and 50 ms for sockets
RATE = 20
CALM_S, FLOOD_S = 4.0, 12.0
BAD_CLIENTS, COMMANDS = 100, 300


async def body(case):
    discovery = st.Discovery(case.record)
    await discovery.start()
    workers = await case.worker_processes(4, work_s=0.1)
    await discovery.change(*[worker.row() for worker in workers])
    keeper = case.gatekeeper(discovery, classes=CLASSES, packages=PLANS)
    await keeper.start()
    client = st.Client((keeper.host, keeper.port), case.record)
    tasks = []
    started_s = time.monotonic()
    flooded = False
    while time.monotonic() - started_s < CALM_S + FLOOD_S:
        if case.trouble and not flooded and time.monotonic() - started_s > CALM_S:
            flooded = True
            case.record("bad", f"{BAD_CLIENTS} clients send {COMMANDS} commands of no class again and again")
            case.processes.append(await st.start_bad_clients(keeper.port, BAD_CLIENTS, COMMANDS, FLOOD_S))
        tasks.append(asyncio.ensure_future(client.ask("view", DEADLINE_MS, wait_s=DEADLINE_MS / 1000 + 10)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    answers = list(client.answers.values())
    if sum(answer.kind == "served" for answer in answers) < RATE * CALM_S / 2:
        return  # it did not even serve while nothing was wrong
    # A new connection that is closed with nothing sent on it is a failure, not a loss.
    late = [answer.after_s for answer in answers if answer.kind != "closed" and answer.after_s > LATE_S]
    text = f"{len(late)} of {len(answers)} requests had no answer {LATE_S:.2f} s after they were sent"
    if late:
        case.broken(f"{text}, and the last one after {max(late):.2f} s")
    else:
        case.held(text)


st.Case(__file__).main(body)
