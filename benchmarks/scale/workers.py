"""Simulated workers: one listening socket each, all in one process; a request gets a short answer at once."""

from __future__ import annotations

import json
import selectors
import socket
import sys

from benchmarks.scale import child
from benchmarks.scale.files import worker

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}"
MAX_WORKERS = 12_000


def main() -> None:
    """Serve requests on every listener until the parent closes the pipe."""
    count = child.task()["workers"]
    if count > MAX_WORKERS:
        raise SystemExit(f"{count} workers requested, the limit is {MAX_WORKERS}")
    selector, listeners, port = selectors.DefaultSelector(), [], 0
    for number in range(count):
        address = worker(number, port).rpartition(":")[0]
        link = socket.socket()
        link.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        link.bind((address, port))  # the first takes a free port; the others use the same port on their own addresses
        port = link.getsockname()[1]
        link.listen(64)
        link.setblocking(False)
        listeners.append(link)
        selector.register(link, selectors.EVENT_READ, "listener")
    selector.register(sys.stdin, selectors.EVENT_READ, "commands")
    child.send_to_parent({"port": port})
    served = 0
    while True:
        for key, _ in selector.select(1.0):
            link = key.fileobj
            if key.data == "commands":
                if not sys.stdin.readline():
                    return
                child.send_to_parent(json.loads(f'{{"served": {served}}}'))
            elif key.data == "listener":
                try:
                    connection, _ = link.accept()
                except OSError:
                    continue
                connection.setblocking(False)
                selector.register(connection, selectors.EVENT_READ, "connection")
            else:
                try:
                    if b"\r\n\r\n" in link.recv(4096):
                        link.send(RESPONSE)
                        served += 1
                except OSError:
                    pass
                selector.unregister(link)
                link.close()


if __name__ == "__main__":
    main()
