# ruff: noqa: D101, D102, D103, D107
"""A front whose connections carry many customers' requests, one in twenty with units out of range."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins2 as st

DEADLINE_MS = 480
LATE_S = DEADLINE_MS / 1000 + 0.5 + 0.05  # half a second after its time, and 50 ms for sockets
RATE = 30
SECONDS = 50
INVALID_SHARE = 0.05
CLASSES = [{"name": "view", "repeat": "retryable", "aimMs": 400.0, "deadlineMs": 960.0, "worth": 2.0}]


async def body(case):
    discovery = st.Discovery(case.record)
    await discovery.start()
    workers = await case.worker_processes(4, work_s=0.05)
    await discovery.change(*[worker.row() for worker in workers])
    keeper = case.gatekeeper(discovery, classes=CLASSES)
    await keeper.start()
    front = st.Client((keeper.host, keeper.port), case.record)
    tasks, invalid = [], []
    started_s = time.monotonic()
    while time.monotonic() - started_s < SECONDS:
        wait_s = DEADLINE_MS / 1000 + 5
        if case.trouble and random.random() < INVALID_SHARE:
            invalid.append(asyncio.ensure_future(front.ask("view", DEADLINE_MS, wait_s, units="9")))
        else:
            tasks.append(asyncio.ensure_future(front.ask("view", DEADLINE_MS, wait_s)))
        await asyncio.sleep(random.expovariate(RATE))
    answers = await asyncio.gather(*tasks)
    errors = await asyncio.gather(*invalid)
    if sum(answer.kind == "served" for answer in answers) < len(answers) / 4:
        return
    late = [answer.after_s for answer in answers if answer.kind != "closed" and answer.after_s > LATE_S]
    failed = sum(answer.kind == "failed" for answer in errors)
    text = (
        f"{len(late)} of {len(answers)} requests had no answer {LATE_S:.2f} s after they were sent"
        f" ({failed} of {len(errors)} with units out of range got an error)"
    )
    if late:
        case.broken(f"{text}, and the last one after {max(late):.2f} s")
    else:
        case.held(text)


st.Case(__file__).main(body)
