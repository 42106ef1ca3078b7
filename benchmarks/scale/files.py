"""Numbers, zones and customers of a fleet of a given size, and the files that its gateways read.

The real gateways have the numbers 0, 1, ..; only the few with neighbouring numbers share customer sets with them, and
only these need simulated clients for the cost of quotas to be realistic.
"""

from __future__ import annotations

import json
import random
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from anisefront.gateway.routing import LISTED_PREFIX, first_gateway
from anisefront.policy.settings import Settings

ZONES = 8
SPREAD = 8  # gateways that serve one customer
ROUTES_PER_SERVICE = 13
KEYS_PER_FILE = 1000
SECRET = "sixteen bytes at least"
# A small burst, so that most requests borrow from their customer's quota owner; a rate above that of every size, so
# that no request is rejected.
HEAD = """class view aim 1s deadline 5s repeat safe
class order aim 1s deadline 5s worth 2 repeat keyed window 5s
quota tenant rate 100/s burst 16
plan tenant quota tenant
customers header x-api-key spread {spread}
"""
MAIN = """language 2
gatekeeper {number} of {count} zone {zone}
listen grpc 127.0.0.1:0
listen jsonrpc 127.0.0.1:0
listen peers 127.0.0.1:{port}
secret "{secret}"
members period {period_ms:g}ms
pool main roster "{roster}"
drain 200ms
include "{folder}/head.conf"
include "{folder}/peers.conf"
include "{folder}/routes/*.conf"
include "{folder}/keys/*.conf"
"""
SIMULATED = """language 2
gatekeeper 0 of {count}
listen grpc 127.0.0.1:0
listen peers 127.0.0.1:0
secret "{secret}"
members period {period_ms:g}ms
pool main roster "{roster}"
include "{folder}/head.conf"
include "{folder}/routes/s0000.conf"
"""


@dataclass(frozen=True, slots=True)
class Sizes:
    """Size of a fleet. `requests` is the rate per second of each gateway."""

    gatekeepers: int = 200
    workers: int = 1000
    routes: int = 500
    tenants: int = 2000
    requests: float = 81.0
    reals: int = 6
    period_ms: float = 1000.0

    @property
    def neighbours(self) -> list[int]:
        """The simulated gateways that share customer sets with real ones."""
        around = {(number + by) % self.gatekeepers for number in range(self.reals) for by in range(1 - SPREAD, SPREAD)}
        return sorted(around - set(range(self.reals)))


def simulated_bytes(sizes: Sizes) -> int:
    """Estimate the memory of all simulated gateways, each of which has a row for every worker.

    844 of them with 11,000 workers took 5.1 GB.
    """
    return (sizes.gatekeepers - sizes.reals) * (sizes.workers * 560 + 300_000)


def zone(number: int) -> str:
    """Return the name of the zone of a gateway."""
    return f"zone-{number % ZONES}"


def worker(number: int, port: int) -> str:
    """Return a worker's address: each has a loopback address of its own, so that no two share a connection."""
    return f"127.{1 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:{port}"


def tenant(number: int) -> str:
    """Return the name of a tenant."""
    return f"tenant-{number:05}"


def customers_of(settings: Settings, tenants: int, numbers: set[int]) -> dict[int, list[str]]:
    """Return the tenants that each of these gateways serves."""
    out, count = defaultdict(list), settings.gateways
    for each in range(tenants):
        first = first_gateway(LISTED_PREFIX + tenant(each), settings.tag_key, count)
        for by in range(min(SPREAD, count)):
            if (first + by) % count in numbers:
                out[(first + by) % count].append(tenant(each))
    return out


class Files:
    """The settings files and the endpoint list of one fleet, in a folder of its own."""

    def __init__(self, folder: Path, sizes: Sizes, worker_port: int) -> None:
        self.folder, self.sizes, self._port = folder, sizes, worker_port
        self.endpoint_list, self.simulated = folder / "roster.json", folder / "simulated.conf"
        self.changes = 0
        (folder / "routes").mkdir()
        (folder / "keys").mkdir()
        self._write("head.conf", HEAD.format(spread=min(SPREAD, sizes.gatekeepers)))
        numbers, rng = list(range(sizes.routes)), random.Random(1)
        for service, at in enumerate(range(0, sizes.routes, ROUTES_PER_SERVICE)):
            self._write(
                f"routes/s{service:04}.conf",
                "".join(self._route(service, each, rng) for each in numbers[at : at + ROUTES_PER_SERVICE]),
            )
        for at in range(0, sizes.tenants, KEYS_PER_FILE):
            self._write(
                f"keys/k{at // KEYS_PER_FILE:03}.conf",
                "".join(
                    f"key k-{each:05} customer {tenant(each)} plan tenant\n"
                    for each in range(at, min(sizes.tenants, at + KEYS_PER_FILE))
                ),
            )
        self._first_service = (folder / "routes/s0000.conf").read_text()
        self.write_endpoint_list()
        common = {
            "count": sizes.gatekeepers,
            "secret": SECRET,
            "period_ms": sizes.period_ms,
            "folder": folder,
            "roster": self.endpoint_list,
        }
        self._common = common
        self.simulated.write_text(SIMULATED.format(**common))

    def _write(self, name: str, text: str) -> None:
        """Replace a file atomically, so that no reader sees half of it."""
        temporary = self.folder / "being-written"
        temporary.write_text(text)
        temporary.replace(self.folder / name)

    @staticmethod
    def _route(service: int, number: int, rng: random.Random) -> str:
        if number % ROUTES_PER_SERVICE == 0:
            return f"route GET /s{service:04}/list class view pool main\n"
        suffix = rng.choice(["/:item", "/:item/parts", "/*", "/open"])
        method, kind = rng.choice([("GET", "view"), ("POST", "order")])
        return f"route {method} /s{service:04}/r{number:05}{suffix} class {kind} pool main\n"

    def paths(self) -> list[str]:
        """Return one path of each service, known to every gateway."""
        return [f"/s{service:04}/list" for service in range(-(-self.sizes.routes // ROUTES_PER_SERVICE))]

    def write_endpoint_list(self, draining: int = 0) -> None:
        """Write the list of all workers, the first `draining` of them marked as draining."""
        groups = defaultdict(list)
        for each in range(self.sizes.workers):
            address, _, port = worker(each, self._port).rpartition(":")
            groups[each % ZONES, each // 24].append(
                {
                    "endpoint": {"address": {"socketAddress": {"address": address, "portValue": int(port)}}},
                    "healthStatus": "DRAINING" if each < draining else "HEALTHY",
                }
            )
        self._write(
            "roster.json",
            json.dumps(
                {
                    "clusterName": "main",
                    "endpoints": [
                        {"locality": {"zone": f"zone-{zone_number}", "subZone": f"cell-{cell}"}, "lbEndpoints": rows}
                        for (zone_number, cell), rows in groups.items()
                    ],
                }
            ),
        )

    def write_peers(self, ports: dict[int, int]) -> None:
        """Write the port on which each gateway receives datagrams."""
        self._write(
            "peers.conf",
            "".join(f"peer {number} 127.0.0.1:{port} zone {zone(number)}\n" for number, port in sorted(ports.items())),
        )

    def write_main(self, number: int, port: int) -> Path:
        """Write the settings file of a real gateway and return its path."""
        file = self.folder / f"real-{number}.conf"
        file.write_text(MAIN.format(number=number, zone=zone(number), port=port, **self._common))
        return file

    def change(self) -> str:
        """Write one service's file with one added route, without those of earlier changes; return the route's path."""
        self.changes += 1
        path = f"/s0000/changed-{self.changes}"
        self._write("routes/s0000.conf", f"{self._first_service}route GET {path} class view pool main\n")
        return path

    def settings_bytes(self, number: int = 0) -> int:
        """Return the total size of the files that make up a real gateway's settings."""
        shared_files = [self.folder / name for name in ("head.conf", "peers.conf", f"real-{number}.conf")]
        included_files = [*self.folder.glob("routes/*"), *self.folder.glob("keys/*")]
        return sum(file.stat().st_size for file in shared_files + included_files)
