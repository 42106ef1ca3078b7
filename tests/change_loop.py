"""`make changes`: gatekeepers under load whose settings change all the time, and an auditor that knows what was written
when. One of them is stopped and woken, one killed and started in the midst of a reading, one given a bad change.

    PYTHONPATH=. python tests/change_loop.py [SECONDS] [SEED]"""

import json
import os
import pathlib
import random
import signal
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter

import grpc
from processes import Relay
from test_path import Running, check_headers

from anisefront.config.incremental_loader import IncrementalLoader
from anisefront.gateway.steps import run_to_end
from benchmarks.changes import Layout

HEAD = """language 2
env NUMBER
env PORT
gatekeeper ${{NUMBER}} of {count}
listen grpc 127.0.0.1:0
listen jsonrpc 127.0.0.1:0
listen peers 127.0.0.1:${{PORT}}
secret "sixteen bytes at least"
members period 200ms
pool main embedded 2
quota wide rate 1000000/s burst 1000000
plan wide quota wide
customers header x-api-key
drain 1s
{peers}
include "current/*.conf"
"""
BALLAST = """class look aim 1s deadline 5s repeat safe
class order aim 2s deadline 5s worth 6 repeat keyed scope all window 5s
quota small rate 60/s burst 120
plan small quota small
"""
STEP_MS, CYCLE, PATH_MS = 500, 8, 25.0  # by which the deadline tells the version; what a check leaves for its path


def deadline_ms(version):
    """Of the class that each version has."""
    return 2000 + STEP_MS * (version % CYCLE)


class Installation:
    """One gatekeeper's folder. A version is a folder of its own, and a link that is renamed says which one is current:
    so that routes, keys and classes, which are in files of their own, change in one moment."""

    def __init__(self, folder, count, peers, ballast):
        self.folder, self.path = folder, folder / "gatekeeper.conf"
        folder.mkdir()
        head = HEAD.format(count=count, peers=peers)
        if ballast:
            layout = Layout(folder / "ballast")
            layout.folder.mkdir()
            layout.write()
            head += BALLAST + 'include "ballast/services/*.conf"\ninclude "ballast/keys/*.conf"\n'
        self.path.write_text(head)
        self.serial = 0

    def put(self, version, bad=False):
        """Write a version beside the others, and rename the link. The moment before it could be seen."""
        self.serial += 1
        new = self.folder / f"release-{self.serial}"
        new.mkdir()
        name = "nobody" if bad else "timed"
        (new / "classes.conf").write_text(f"class timed aim 1s deadline {deadline_ms(version)}ms repeat safe\n")
        (new / "keys.conf").write_text(
            f"key base customer base plan wide\nkey k{version} customer c{version} plan wide\n"
        )
        (new / "routes.conf").write_text(
            f"route GET /base class timed pool main\nroute GET /r{version} class {name} pool main\n"
        )
        link = self.folder / "link"
        link.symlink_to(new.name)
        began = time.monotonic()
        link.replace(self.folder / "current")
        return began


class Member:
    """One gatekeeper, its settings as they were written, and what was seen in force."""

    def __init__(self, loop, number, installation, environment):
        self.loop, self.number, self.installation, self.environment = loop, number, installation, environment
        self.written = {}  # when a version's link was renamed
        self.forced = []  # (when it was seen, version)
        self.took_s, self.faults, self.life, self.up = {}, [], 0, None
        self.stopped = False

    def start(self):
        os.environ.update(self.environment)
        latest = max(self.written, default=0)
        began = time.monotonic()
        self.up = Running(self.installation.path)
        self.forced.append((began, latest))  # what was there before is in force in no case
        self.life += 1

    def kill(self):
        gone, self.up = self.up, None
        gone.process.kill()
        gone.process.wait()
        gone.channel.close()
        gone.process.stdout.close()

    def hang_up(self):
        self.up.process.send_signal(signal.SIGHUP)

    def candidates(self, began, ended):
        """The versions that may have judged a request that was there from `began` to `ended`."""
        least = max((version for at, version in self.forced if at <= began), default=0)
        return [version for version, at in self.written.items() if at <= ended and version >= least]

    def look(self):
        """Ask for the state, and note the version in force by its digest."""
        up = self.up
        try:
            settings = up.state()["settings"]
        except (OSError, AttributeError, IndexError, ValueError):
            return None
        now, version = time.monotonic(), self.loop.digests.get(settings["digest"])
        if version is not None and up is self.up and self.forced[-1][1] != version:
            self.forced.append((now, version))
            self.took_s[version] = now - self.written[version]
        return settings


class Client(threading.Thread):
    """Checks at one gatekeeper, one after another: of the path and key of a version near the newest, or of no one's."""

    def __init__(self, loop, member, seed):
        super().__init__(daemon=True)
        self.loop, self.member, self.rng, self.counts, self.faults = loop, member, random.Random(seed), Counter(), []

    def run(self):
        serial = 0
        while not self.loop.over:
            serial += 1
            time.sleep(self.rng.uniform(0.0, 2 * self.loop.rest_s))
            up, life = self.member.up, self.member.life
            asked = None if self.rng.random() < 0.3 else max(1, self.loop.newest + self.rng.choice([-1, 0, 0, 1]))
            path, key = ("/base", "base") if asked is None else (f"/r{asked}", f"k{asked}")
            began = time.monotonic()
            try:
                answer = up.check(path=path, timeout=15.0, x_api_key=key, x_request_id=f"{self.member.number}-{serial}")
                ended = time.monotonic()
            except (grpc.RpcError, AttributeError, ValueError):
                if up is not None and self.member.up is up and self.member.life == life and not self.loop.over:
                    self.faults.append(f"{self.member.number}: {path} was not answered, in a life that went on")
                self.counts["broken off"] += 1
                time.sleep(0.05)
                continue
            self.judge(asked, answer, began, ended)
            try:
                if answer.ok_response.headers:
                    up.log(check_headers(answer)["x-anisefront-attempt"])
            except (grpc.RpcError, ValueError):  # stopped, or killed meanwhile
                self.counts["logs broken off"] += 1

    def judge(self, asked, answer, began, ended):
        status = answer.denied_response.status.code
        found = [
            version
            for version in self.member.candidates(began, ended)
            if right(version, asked, answer, (ended - began) * 1000)
        ]
        self.counts["served" if not status else str(status)] += 1
        if status in (429, 502, 503):  # no matter of settings; counted
            return
        if not found:
            left = check_headers(answer).get("x-envoy-upstream-rq-timeout-ms", "")
            self.faults.append(
                f"{self.member.number}: asked {asked} from {began:.3f} to {ended:.3f}, told {status} "
                f"{left}, right for none of {self.member.candidates(began, ended)}"
            )


def right(version, asked, answer, took_ms):
    """Whether an answer is the one by this version, whole: route, key and the deadline of the class."""
    status = answer.denied_response.status.code
    if asked is not None and asked != version:
        return status == 404
    if status:
        return False
    left = int(check_headers(answer)["x-envoy-upstream-rq-timeout-ms"])
    return left <= deadline_ms(version) - PATH_MS and left + took_ms + 2 >= deadline_ms(version) - PATH_MS


class Loop:
    """One run. `faults` has what the auditor found, `took_s` the times from file to in force of each change."""

    def __init__(self, folder, count, changes, every_s, ballast=False, seed=1, rest_s=0.02):
        self.over, self.newest, self.rest_s, self.rng = False, 1, rest_s, random.Random(seed)
        self.every_s, self.digests, self.faults, self.bad_told = every_s, {}, [], ""
        spare = [Relay.bound_socket() for _ in range(count)]
        ports = [link.getsockname()[1] for link in spare]
        for link in spare:
            link.close()
        peers = "\n".join(f"peer {number} 127.0.0.1:{port}" for number, port in enumerate(ports))
        environment = [{"NUMBER": str(number), "PORT": str(port)} for number, port in enumerate(ports)]
        self.master = Installation(folder / "master", count, peers, ballast)
        self.reading = IncrementalLoader(str(self.master.path), environment[0])
        self.members = [
            Member(self, number, Installation(folder / str(number), count, peers, ballast), environment[number])
            for number in range(count)
        ]
        try:
            self.put(1)
            for member in self.members:
                member.start()
            clients = [Client(self, member, seed * 100 + member.number) for member in self.members]
            watch = threading.Thread(target=self._watch, daemon=True)
            for thread in (*clients, watch):
                thread.start()
            self._play(changes)
            self.settle(20.0)
            self.over = True
            for thread in (*clients, watch):
                thread.join(30)
            self.states = [member.look() for member in self.members]
            self.counts = sum((client.counts for client in clients), Counter())
            self.faults += [fault for client in clients for fault in client.faults]
        finally:
            self.over = True
            for member in self.members:
                if member.up is not None:
                    member.up.process.send_signal(signal.SIGCONT)
                    member.kill()

    def put(self, version, bad=None):
        """A version for all, but that one member gets a bad one in its place."""
        self.master.put(version)
        outcome = run_to_end(self.reading.steps())
        assert outcome.config is not None, outcome.texts
        self.digests[outcome.digest] = version
        for member in self.members:
            at = member.installation.put(version, bad is member)
            if bad is not member:
                member.written[version] = at
            elif member.up is not None:
                self.bad_told = "due"
        self.newest = version

    def _play(self, changes):
        stopped, killed, bad = self.rng.sample(self.members, 3)
        began = time.monotonic()
        for version in range(2, changes + 2):
            time.sleep(max(0.0, began + (version - 1) * self.every_s - time.monotonic()))
            part = version / changes
            self.put(version, bad if version == changes // 2 + 1 else None)
            for member in self.members:
                member.hang_up()
            if version == changes // 4 + 1:
                stopped.up.process.send_signal(signal.SIGSTOP)
                stopped.stopped = True
            elif stopped.stopped and part > 0.5:
                time.sleep(self.rng.uniform(0, self.every_s / 2))
                stopped.up.process.send_signal(signal.SIGCONT)
                stopped.stopped = False
            if version == changes // 2 + 1:
                self._bad_is_told(bad, version)
            if version == 3 * changes // 4 + 1:
                time.sleep(self.rng.uniform(0.0, 0.02))
                killed.kill()
                killed.start()

    def _bad_is_told(self, member, version):
        end = time.monotonic() + 15
        while "routes.conf:2:" not in (settings := member.look() or {"fault": ""})["fault"]:
            if time.monotonic() > end:
                self.faults.append(f"{member.number}: a bad change is not told: {settings}")
                return
            time.sleep(0.02)
        self.bad_told = settings["fault"]
        if self.digests.get(settings["digest"]) == version:
            self.faults.append(f"{member.number}: a bad change is in force")

    def _watch(self):
        while not self.over:
            for member in self.members:
                if not member.stopped and member.up is not None and member.forced[-1][1] != self.newest:
                    member.look()
            time.sleep(0.01)

    def settle(self, seconds):
        """All on the newest version, in time."""
        end = time.monotonic() + seconds
        while behind := [member.number for member in self.members if member.forced[-1][1] != self.newest]:
            if time.monotonic() > end:
                self.faults.append(f"{behind} are not on the last version")
                return
            time.sleep(0.02)

    def took_s(self):
        """By version: how long each member took, from its file to being seen in force."""
        return {
            version: {member.number: member.took_s[version] for member in self.members if version in member.took_s}
            for version in sorted(self.digests.values())
        }


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    with tempfile.TemporaryDirectory() as folder:
        loop = Loop(pathlib.Path(folder), 6, int(seconds), 1.0, ballast=True, seed=seed)
    took = sorted(each for row in loop.took_s().values() for each in row.values())
    print(
        json.dumps(
            {
                "answers": loop.counts,
                "faults": loop.faults[:20],
                "bad": loop.bad_told.split("\n")[0],
                "digests": sorted({state["digest"] for state in loop.states}),
                "in_force_seen": len(took),
                "in_force_median_ms": round(statistics.median(took) * 1000),
                "in_force_longest_ms": round(took[-1] * 1000),
                "longest_slice_ms": max(state["longest_slice_ms"] for state in loop.states),
                "readings": [state["readings"] for state in loop.states],
            },
            indent=1,
        )
    )
    sys.exit(1 if loop.faults else 0)


if __name__ == "__main__":
    main()
