# ruff: noqa: D101, D102, D103, D107
"""Discovery that is slow: it answers each call 3 s after it."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins2 as st

ANSWER_S = 3.0  # until a call is answered
DRAIN_AT_S = 12.0  # after the gatekeeper is ready
TOLD_S = 6.0  # "at the latest 6 s after discovery had it and could be reached"
GRACE_S = 2.0  # drainGraceMs of the settings
SLACK_S = 0.05  # "each time limit is 50 ms longer"
AFTER_S = 30.0  # how long after the drain's start the case goes on
RATE = 30
WORKERS = 4


async def body(case):
    discovery = st.Discovery(case.record)
    if case.trouble:
        discovery.answer_delay_s = ANSWER_S
    await discovery.start()
    workers = [st.Worker(f"s-{number:08x}", case.record, work_s=0.15) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    await discovery.change(*[worker.row() for worker in workers])
    keeper = case.gatekeeper(discovery)
    await keeper.start()
    client = st.Client((keeper.host, keeper.port), case.record)
    tasks = []
    started_s = time.monotonic()
    drained = workers[0]
    drain_s = None
    while time.monotonic() - started_s < DRAIN_AT_S + AFTER_S:
        if drain_s is None and time.monotonic() - started_s >= DRAIN_AT_S:
            drained.status = "leaving"
            await discovery.change(drained.row())
            drain_s = time.monotonic()
        tasks.append(asyncio.ensure_future(client.ask("view")))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    limit_s = drain_s + TOLD_S + GRACE_S + SLACK_S
    late = [round(moment_s - drain_s, 1) for moment_s, _ in drained.runs if moment_s > limit_s]
    before = sum(moment_s <= drain_s for moment_s, _ in drained.runs)
    text = (
        f"{len(late)} attempts came to {drained.name} later than {limit_s - drain_s:.2f} s after it began to drain"
        f" ({before} before it)"
    )
    if not before:
        return
    if late:
        case.broken(f"{text}, the last {late[-1]} s after")
    else:
        case.held(text)


st.Case(__file__).main(body)
