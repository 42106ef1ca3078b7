"""`run` as deploy/balancer.toml gives it: one process of its own, TCP and UDP over IPv4 only, and what it imports."""

import os
import pathlib
import re
import subprocess
import time
import tomllib

from test_node_loopback import ROOT, Discovery, Node, Worker, ask, free_port, house, endpoint_row  # noqa: F401

DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
# The rooms that a gatekeeper on the platform loads, and what must never cost it memory and time at a start.
ROOMS = {
    "upstream",
    "cli",
    "gateway",
    "daemon",
    "frontends",
    "resp_gateway",
    "policy",
    "protocols",
    "cluster",
}
NEVER = {"google", "grpc", "h2", "hpack", "numpy", "matplotlib", "prometheus_client", "textual", "multiprocessing"}


class Run(Node):
    """One gatekeeper started by the line of the deploy file, with peers and a note of each import."""

    def __init__(self, folder, discovery, *known):
        self.peer = free_port()
        super().__init__(folder, discovery, *known)

    def start(self):
        settings = self.config["settings"] | {"balancers": 2}
        settings = settings | {"limits": settings["limits"] | {"mayTell": True}}
        self.write(
            peer_listen=f"127.0.0.1:{self.peer}",
            settings=settings,
            peers=[f"127.0.0.1:{self.peer}", f"127.0.0.1:{free_port()}"],
        )
        return subprocess.Popen(
            DEPLOY["run"],
            shell=True,
            cwd=ROOT,
            stdout=self.log,
            stderr=self.log,
            env={**os.environ, "PROXY_CONFIG": str(self.file), "PYTHONPROFILEIMPORTTIME": "1"},
        )


def test_run_is_one_process_with_sockets_over_ipv4_only(house):  # noqa: F811
    worker = house(Worker())
    discovery = house(Discovery(endpoint_row("s1", worker.address)))
    node = house(Run(house.folder, discovery.address, endpoint_row("s1", worker.address)))
    assert ask(node.client(), 1) == b"value for 0000000000000001"
    said = node.said()
    # Danger: who is let in while we still start is read late. The work of starting comes before listening.
    assert said.index('"event": "settings"') < said.index('"event": "started"')
    proc = pathlib.Path("/proc") / str(node.process.pid)  # the shell has put the program in its own place
    assert "python" in os.readlink(proc / "exe")
    assert all(not (task / "children").read_text() for task in (proc / "task").iterdir())
    assert re.search(r"/libc\.so\.6$", (proc / "maps").read_text(), re.M)  # linked dynamically
    kinds = {}
    for kind in ("tcp", "udp", "tcp6", "udp6", "unix"):
        place = 6 if kind == "unix" else 9
        for line in (proc / "net" / kind).read_text().splitlines()[1:]:
            kinds[line.split()[place]] = kind
    links = [os.readlink(each) for each in (proc / "fd").iterdir()]
    sockets = [link[8:-1] for link in links if link.startswith("socket:")]
    assert {kinds[inode] for inode in sockets} == {"tcp", "udp"}
    assert not [link for link in links if "io_uring" in link]


def test_run_imports_what_is_listed_and_no_more(house):  # noqa: F811
    worker = house(Worker())
    discovery = house(Discovery(endpoint_row("s1", worker.address)))
    node = house(Run(house.folder, discovery.address, endpoint_row("s1", worker.address)))
    assert ask(node.client(), 1) == b"value for 0000000000000001"
    names = set(re.findall(r"^import time:[ \d|]+?([\w.]+)$", node.said(), re.M))
    assert "anisefront.resp_gateway.instance" in names
    assert {name.split(".")[1] for name in names if name.startswith("anisefront.")} - {"__main__"} <= ROOMS
    assert not {name.partition(".")[0] for name in names} & NEVER


def test_run_ends_soon_at_sigterm_with_what_it_had_answered(house):  # noqa: F811
    worker = house(Worker(work_s=0.2))
    discovery = house(Discovery(endpoint_row("s1", worker.address)))
    node = house(Run(house.folder, discovery.address, endpoint_row("s1", worker.address)))
    client = node.client()
    assert ask(client, 1) == b"value for 0000000000000001"
    node.process.terminate()
    began = time.monotonic()
    assert node.process.wait(10) == 0 and time.monotonic() - began < 4.0
