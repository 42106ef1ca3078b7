# ruff: noqa: D101, D102, D103, D107
"""Clients that send much at once and go: eighty clients at a time, a hundred commands each."""

import array
import asyncio
import fcntl
import pathlib
import socket
import sys
import termios
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins2 as st

CLIENTS, COMMANDS, BODY = 80, 100, 400  # about 53 KB a client: less than a socket takes in unread
ROUNDS, PAUSE_S = 8, 3.0
LIMIT_S = 0.1 + 0.05  # after the close, and 50 ms for sockets
RATE = 30  # of other clients, which stay


def unsent(sock):
    """Return how many bytes the gatekeeper's machine has not acknowledged yet."""
    count = array.array("i", [0])
    fcntl.ioctl(sock, termios.TIOCOUTQ, count)
    return count[0]


def read_answers(sock):
    """Read all answers, as a client does that stays."""
    with sock.makefile("rb") as file:
        for _ in range(COMMANDS):
            line = file.readline()
            if line[:1] == b"$":
                file.readline()


def send_and_go(keeper, parts, stay):
    """Return when each client closed: once the gatekeeper's machine has all that it sent, or has answered it."""
    socks = [socket.create_connection((keeper.host, keeper.port)) for _ in parts]
    for sock, (_, data) in zip(socks, parts, strict=True):
        sock.sendall(data)
    closed_s = {}
    waiting = dict(zip(socks, parts, strict=True))
    while waiting:
        for sock, (ids, _) in list(waiting.items()):
            if stay:
                read_answers(sock)
            elif unsent(sock):
                continue
            closed_s |= dict.fromkeys(ids, time.monotonic())
            sock.close()
            del waiting[sock]
    return closed_s


async def body(case):
    discovery = st.Discovery(case.record)
    await discovery.start()
    workers = await case.worker_processes(4, work_s=0.1)
    await discovery.change(*[worker.row() for worker in workers])
    keeper = case.gatekeeper(discovery)
    await keeper.start()
    client = st.Client((keeper.host, keeper.port), case.record)
    loop = asyncio.get_running_loop()
    closed_s = {}
    ended = False

    async def others():
        tasks = []
        while not ended:
            tasks.append(asyncio.ensure_future(client.ask("view")))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    background = asyncio.ensure_future(others())
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        parts = []
        for _ in range(CLIENTS):
            ids = [client.new_id() for _ in range(COMMANDS)]
            parts.append((ids, b"".join(client.request("pay", each, 5000, body=b"x" * BODY) for each in ids)))
        closed = await loop.run_in_executor(None, send_and_go, keeper, parts, not case.trouble)
        for request_id, moment_s in closed.items():
            case.record("client", f"sent {request_id.decode()} and closed at {moment_s - case.record.started_s:.4f}")
        closed_s |= closed
        await asyncio.sleep(PAUSE_S)
    ended = True
    await background
    after = sorted(
        moment - closed_s[request_id]
        for worker in workers
        for moment, request_id in worker.runs
        if request_id in closed_s
    )
    late = [each for each in after if each > LIMIT_S]
    text = f"{len(late)} of {len(after)} attempts began later than {LIMIT_S:.2f} s after their client had closed"
    if not after:
        return
    if late:
        case.broken(f"{text}, the last {late[-1]:.3f} s after")
    else:
        case.held(text)


st.Case(__file__).main(body)
