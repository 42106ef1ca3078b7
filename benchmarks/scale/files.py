"""What a fleet of a size is: who has which number, zone and customers, and the files that its gatekeepers read.

The real gatekeepers have the numbers 0, 1, ..; so those that share sets of customers with them are the few around
them, and only these need requests of their own for what quotas cost.
"""

from __future__ import annotations

import json
import random
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

from anisefront.gateway.routing import first_gateway
from anisefront.gateway.routing import LISTED_PREFIX
from anisefront.policy.settings import Settings

ZONES, SPREAD, PER_SERVICE, KEYS_A_FILE = 8, 8, 13, 1000
SECRET = "sixteen bytes at least"
# A small burst, so that most requests ask their customer's home; a rate that no size passes, so that none is refused.
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
HOLLOW = """language 2
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
    """How large a fleet is. `requests`: a second, of each gatekeeper."""

    gatekeepers: int = 200
    workers: int = 1000
    routes: int = 500
    tenants: int = 2000
    requests: float = 81.0
    reals: int = 6
    period_ms: float = 1000.0

    @property
    def busy(self) -> list[int]:
        """The hollow ones that share sets of customers with real ones."""
        near = {(number + by) % self.gatekeepers for number in range(self.reals) for by in range(1 - SPREAD, SPREAD)}
        return sorted(near - set(range(self.reals)))


def hollow_bytes(sizes: Sizes) -> int:
    """About what all hollow gatekeepers hold: each has a row of its own for every worker (as measured: 5.1 GB for 844
    of them before 11,000 workers)."""
    return (sizes.gatekeepers - sizes.reals) * (sizes.workers * 560 + 300_000)


def zone(number: int) -> str:
    return f"zone-{number % ZONES}"


def worker(number: int, port: int) -> str:
    """A worker's address: each has its own on the loopback, so that no two share a connection."""
    return f"127.{1 + number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:{port}"


def tenant(number: int) -> str:
    return f"tenant-{number:05}"


def customers_of(settings: Settings, tenants: int, numbers: set[int]) -> dict[int, list[str]]:
    """The tenants that come through each of these gatekeepers."""
    out, count = defaultdict(list), settings.gateways
    for each in range(tenants):
        first = first_gateway(LISTED_PREFIX + tenant(each), settings.tag_key, count)
        for by in range(min(SPREAD, count)):
            if (first + by) % count in numbers:
                out[(first + by) % count].append(tenant(each))
    return out


class Files:
    """The files of one fleet in a folder of its own."""

    def __init__(self, folder: Path, sizes: Sizes, worker_port: int) -> None:
        self.folder, self.sizes, self._port = folder, sizes, worker_port
        self.roster, self.hollow = folder / "roster.json", folder / "hollow.conf"
        self.changes = 0
        (folder / "routes").mkdir()
        (folder / "keys").mkdir()
        self._write("head.conf", HEAD.format(spread=min(SPREAD, sizes.gatekeepers)))
        rest, chance = list(range(sizes.routes)), random.Random(1)
        for service, at in enumerate(range(0, sizes.routes, PER_SERVICE)):
            self._write(
                f"routes/s{service:04}.conf",
                "".join(self._route(service, each, chance) for each in rest[at : at + PER_SERVICE]),
            )
        for at in range(0, sizes.tenants, KEYS_A_FILE):
            self._write(
                f"keys/k{at // KEYS_A_FILE:03}.conf",
                "".join(
                    f"key k-{each:05} customer {tenant(each)} plan tenant\n"
                    for each in range(at, min(sizes.tenants, at + KEYS_A_FILE))
                ),
            )
        self._first = (folder / "routes/s0000.conf").read_text()
        self.write_roster()
        common = {
            "count": sizes.gatekeepers,
            "secret": SECRET,
            "period_ms": sizes.period_ms,
            "folder": folder,
            "roster": self.roster,
        }
        self._common = common
        self.hollow.write_text(HOLLOW.format(**common))

    def _write(self, name: str, text: str) -> None:
        """All of it or nothing: a reader must not see half a file."""
        new = self.folder / "being-written"
        new.write_text(text)
        new.replace(self.folder / name)

    @staticmethod
    def _route(service: int, number: int, chance: random.Random) -> str:
        if number % PER_SERVICE == 0:
            return f"route GET /s{service:04}/list class view pool main\n"
        tail = chance.choice(["/:item", "/:item/parts", "/*", "/open"])
        method, kind = chance.choice([("GET", "view"), ("POST", "order")])
        return f"route {method} /s{service:04}/r{number:05}{tail} class {kind} pool main\n"

    def paths(self) -> list[str]:
        """Paths that all gatekeepers know, one of each service."""
        return [f"/s{service:04}/list" for service in range(-(-self.sizes.routes // PER_SERVICE))]

    def write_roster(self, draining: int = 0) -> None:
        """The list of all workers; so many of the first are said to drain."""
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
                        {"locality": {"zone": f"zone-{room}", "subZone": f"cell-{cell}"}, "lbEndpoints": rows}
                        for (room, cell), rows in groups.items()
                    ],
                }
            ),
        )

    def write_peers(self, ports: dict[int, int]) -> None:
        """Where each gatekeeper takes datagrams."""
        self._write(
            "peers.conf",
            "".join(f"peer {number} 127.0.0.1:{port} zone {zone(number)}\n" for number, port in sorted(ports.items())),
        )

    def write_main(self, number: int, port: int) -> Path:
        """The settings file of a real gatekeeper."""
        file = self.folder / f"real-{number}.conf"
        file.write_text(MAIN.format(number=number, zone=zone(number), port=port, **self._common))
        return file

    def change(self) -> str:
        """One route more in the file of one service, none of the changes before; its path."""
        self.changes += 1
        path = f"/s0000/changed-{self.changes}"
        self._write("routes/s0000.conf", f"{self._first}route GET {path} class view pool main\n")
        return path

    def settings_bytes(self, number: int = 0) -> int:
        """Bytes of all that a real gatekeeper's settings are read from."""
        shared = [self.folder / name for name in ("head.conf", "peers.conf", f"real-{number}.conf")]
        many = [*self.folder.glob("routes/*"), *self.folder.glob("keys/*")]
        return sum(file.stat().st_size for file in shared + many)
