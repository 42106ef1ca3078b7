"""The `run` command of deploy/balancer.toml: a single process, TCP and UDP over IPv4 only, and its imports."""

import os
import pathlib
import re
import subprocess
import time
import tomllib

from test_node_loopback import ROOT, Discovery, GatewayProcess, Worker, send_request, free_port, managed, endpoint_row  # noqa: F401

DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
# The packages that an instance on the platform imports, and modules that would cost memory and time at the start.
PACKAGES = {
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
FORBIDDEN_MODULES = {
    "google",
    "grpc",
    "h2",
    "hpack",
    "numpy",
    "matplotlib",
    "prometheus_client",
    "textual",
    "multiprocessing",
}


class DeployedGatewayProcess(GatewayProcess):
    """Gateway process started by the command of the deploy file, with peers, and with imports in its log."""

    def __init__(self, folder, discovery, *known):
        self.peer = free_port()
        super().__init__(folder, discovery, *known)

    def start(self):
        settings = self.config["settings"] | {"balancers": 2}
        settings = settings | {"limits": settings["limits"] | {"mayTell": True}}
        self.write_config(
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


def test_run_starts_one_process_with_ipv4_sockets_only(managed):  # noqa: F811
    worker = managed(Worker())
    discovery = managed(Discovery(endpoint_row("s1", worker.address)))
    gateway = managed(DeployedGatewayProcess(managed.folder, discovery.address, endpoint_row("s1", worker.address)))
    assert send_request(gateway.client(), 1) == b"value for 0000000000000001"
    log = gateway.log_text()
    # Requests accepted during the start would be read late, so the work of the start comes before listening.
    assert log.index('"event": "settings"') < log.index('"event": "started"')
    proc = pathlib.Path("/proc") / str(gateway.process.pid)  # the shell has replaced itself by the program
    assert "python" in os.readlink(proc / "exe")
    assert all(not (task / "children").read_text() for task in (proc / "task").iterdir())
    assert re.search(r"/libc\.so\.6$", (proc / "maps").read_text(), re.M)  # linked dynamically
    kinds = {}
    for kind in ("tcp", "udp", "tcp6", "udp6", "unix"):
        column = 6 if kind == "unix" else 9
        for line in (proc / "net" / kind).read_text().splitlines()[1:]:
            kinds[line.split()[column]] = kind
    links = [os.readlink(each) for each in (proc / "fd").iterdir()]
    sockets = [link[8:-1] for link in links if link.startswith("socket:")]
    assert {kinds[inode] for inode in sockets} == {"tcp", "udp"}
    assert not [link for link in links if "io_uring" in link]


def test_run_imports_listed_packages_only(managed):  # noqa: F811
    worker = managed(Worker())
    discovery = managed(Discovery(endpoint_row("s1", worker.address)))
    gateway = managed(DeployedGatewayProcess(managed.folder, discovery.address, endpoint_row("s1", worker.address)))
    assert send_request(gateway.client(), 1) == b"value for 0000000000000001"
    names = set(re.findall(r"^import time:[ \d|]+?([\w.]+)$", gateway.log_text(), re.M))
    assert "anisefront.resp_gateway.instance" in names
    assert {name.split(".")[1] for name in names if name.startswith("anisefront.")} - {"__main__"} <= PACKAGES
    assert not {name.partition(".")[0] for name in names} & FORBIDDEN_MODULES


def test_run_ends_soon_after_sigterm(managed):  # noqa: F811
    worker = managed(Worker(work_s=0.2))
    discovery = managed(Discovery(endpoint_row("s1", worker.address)))
    gateway = managed(DeployedGatewayProcess(managed.folder, discovery.address, endpoint_row("s1", worker.address)))
    client = gateway.client()
    assert send_request(client, 1) == b"value for 0000000000000001"
    gateway.process.terminate()
    began = time.monotonic()
    assert gateway.process.wait(10) == 0 and time.monotonic() - began < 4.0
