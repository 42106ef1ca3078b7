"""`make changes`: instances under load whose settings change continuously, audited against what was written when.

One instance is stopped and continued, one is killed and restarted during a reload, and one is given an invalid change.

    PYTHONPATH=. python tests/change_loop.py [SECONDS] [SEED]
"""

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

BASE_SETTINGS = """language 2
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
EXTRA_SETTINGS = """class look aim 1s deadline 5s repeat safe
class order aim 2s deadline 5s worth 6 repeat keyed scope all window 5s
quota small rate 60/s burst 120
plan small quota small
"""
DEADLINE_STEP_MS = 500  # between the deadlines of two versions, from which the version is known
DEADLINE_STEPS = 8
DEADLINE_MARGIN_MS = 25.0  # that a check subtracts for the proxy path


def deadline_ms(version):
    """Return the deadline of the class `timed` in a version."""
    return 2000 + DEADLINE_STEP_MS * (version % DEADLINE_STEPS)


class Installation:
    """The settings folder of one instance.

    Each version is a folder of its own, and a symbolic link that is replaced selects the current one, so that routes,
    keys and classes, which are in separate files, change atomically.
    """

    def __init__(self, folder, count, peers, has_extra_settings):
        self.folder, self.path = folder, folder / "gatekeeper.conf"
        folder.mkdir()
        head = BASE_SETTINGS.format(count=count, peers=peers)
        if has_extra_settings:
            layout = Layout(folder / "ballast")
            layout.folder.mkdir()
            layout.write()
            head += EXTRA_SETTINGS + 'include "ballast/services/*.conf"\ninclude "ballast/keys/*.conf"\n'
        self.path.write_text(head)
        self.serial = 0

    def publish(self, version, invalid=False):
        """Write a version, make it the current one, and return the time before that."""
        self.serial += 1
        release = self.folder / f"release-{self.serial}"
        release.mkdir()
        class_name = "nobody" if invalid else "timed"
        (release / "classes.conf").write_text(f"class timed aim 1s deadline {deadline_ms(version)}ms repeat safe\n")
        (release / "keys.conf").write_text(
            f"key base customer base plan wide\nkey k{version} customer c{version} plan wide\n"
        )
        (release / "routes.conf").write_text(
            f"route GET /base class timed pool main\nroute GET /r{version} class {class_name} pool main\n"
        )
        link = self.folder / "link"
        link.symlink_to(release.name)
        started_s = time.monotonic()
        link.replace(self.folder / "current")
        return started_s


class Instance:
    """One gateway instance, with the times when its settings were written and seen in force."""

    def __init__(self, change_run, number, installation, environment):
        self.change_run, self.number, self.installation, self.environment = (
            change_run,
            number,
            installation,
            environment,
        )
        self.written_at_s = {}  # when a version was made the current one
        self.seen_in_force = []  # (time, version)
        self.activation_s, self.violations, self.incarnation, self.gateway = {}, [], 0, None
        self.is_stopped = False

    def start(self):
        """Start the process."""
        os.environ.update(self.environment)
        latest = max(self.written_at_s, default=0)
        started_s = time.monotonic()
        self.gateway = Running(self.installation.path)
        self.seen_in_force.append((started_s, latest))  # earlier versions can't be in force
        self.incarnation += 1

    def kill(self):
        """Kill the process."""
        gateway, self.gateway = self.gateway, None
        gateway.process.kill()
        gateway.process.wait()
        gateway.channel.close()
        gateway.process.stdout.close()

    def send_sighup(self):
        """Make the process reload its settings."""
        self.gateway.process.send_signal(signal.SIGHUP)

    def candidates(self, started_s, ended_s):
        """Return the versions that may have decided a request which was pending from `started_s` to `ended_s`."""
        oldest = max((version for at_s, version in self.seen_in_force if at_s <= started_s), default=0)
        return [version for version, at_s in self.written_at_s.items() if at_s <= ended_s and version >= oldest]

    def poll_state(self):
        """Request the state, and note the version in force by its digest; None if there is no answer."""
        gateway = self.gateway
        try:
            settings = gateway.state()["settings"]
        except (OSError, AttributeError, IndexError, ValueError):
            return None
        now, version = time.monotonic(), self.change_run.version_by_digest.get(settings["digest"])
        if version is not None and gateway is self.gateway and self.seen_in_force[-1][1] != version:
            self.seen_in_force.append((now, version))
            self.activation_s[version] = now - self.written_at_s[version]
        return settings


class Client(threading.Thread):
    """Makes checks at one instance, with path and key of a version near the newest, or of all versions."""

    def __init__(self, change_run, instance, seed):
        super().__init__(daemon=True)
        self.change_run, self.instance, self.rng, self.counts, self.violations = (
            change_run,
            instance,
            random.Random(seed),
            Counter(),
            [],
        )

    def run(self):
        serial = 0
        while not self.change_run.is_over:
            serial += 1
            time.sleep(self.rng.uniform(0.0, 2 * self.change_run.pause_s))
            gateway, incarnation = self.instance.gateway, self.instance.incarnation
            requested = (
                None
                if self.rng.random() < 0.3
                else max(1, self.change_run.newest_version + self.rng.choice([-1, 0, 0, 1]))
            )
            path, key = ("/base", "base") if requested is None else (f"/r{requested}", f"k{requested}")
            started_s = time.monotonic()
            try:
                answer = gateway.check(
                    path=path, timeout=15.0, x_api_key=key, x_request_id=f"{self.instance.number}-{serial}"
                )
                ended_s = time.monotonic()
            except (grpc.RpcError, AttributeError, ValueError):
                if (
                    gateway is not None
                    and self.instance.gateway is gateway
                    and self.instance.incarnation == incarnation
                    and not self.change_run.is_over
                ):
                    self.violations.append(
                        f"{self.instance.number}: {path} was not answered by a process that kept running"
                    )
                self.counts["broken off"] += 1
                time.sleep(0.05)
                continue
            self.judge(requested, answer, started_s, ended_s)
            try:
                if answer.ok_response.headers:
                    gateway.log(check_headers(answer)["x-anisefront-attempt"])
            except (grpc.RpcError, ValueError):  # the process was stopped or killed meanwhile
                self.counts["logs broken off"] += 1

    def judge(self, requested, answer, started_s, ended_s):
        """Record a violation if the answer matches no version that may have been in force."""
        status = answer.denied_response.status.code
        matching = [
            version
            for version in self.instance.candidates(started_s, ended_s)
            if is_correct_for(version, requested, answer, (ended_s - started_s) * 1000)
        ]
        self.counts["served" if not status else str(status)] += 1
        if status in (429, 502, 503):  # does not depend on settings; counted only
            return
        if not matching:
            remaining_ms = check_headers(answer).get("x-envoy-upstream-rq-timeout-ms", "")
            self.violations.append(
                f"{self.instance.number}: version {requested} requested from {started_s:.3f} to {ended_s:.3f}, "
                f"status {status} {remaining_ms}, correct for none of {self.instance.candidates(started_s, ended_s)}"
            )


def is_correct_for(version, requested, answer, took_ms):
    """Return whether an answer matches this version in route, key and deadline of the class."""
    status = answer.denied_response.status.code
    if requested is not None and requested != version:
        return status == 404
    if status:
        return False
    remaining_ms = int(check_headers(answer)["x-envoy-upstream-rq-timeout-ms"])
    return (
        remaining_ms <= deadline_ms(version) - DEADLINE_MARGIN_MS
        and remaining_ms + took_ms + 2 >= deadline_ms(version) - DEADLINE_MARGIN_MS
    )


class ChangeRun:
    """One run; `violations` holds the audit's findings."""

    def __init__(self, folder, count, changes, interval_s, has_extra_settings=False, seed=1, pause_s=0.02):
        self.is_over, self.newest_version, self.pause_s, self.rng = False, 1, pause_s, random.Random(seed)
        self.interval_s, self.version_by_digest, self.violations, self.reported_fault = interval_s, {}, [], ""
        reserved = [Relay.bound_socket() for _ in range(count)]
        ports = [link.getsockname()[1] for link in reserved]
        for link in reserved:
            link.close()
        peers = "\n".join(f"peer {number} 127.0.0.1:{port}" for number, port in enumerate(ports))
        environment = [{"NUMBER": str(number), "PORT": str(port)} for number, port in enumerate(ports)]
        self.reference = Installation(folder / "master", count, peers, has_extra_settings)
        self.loader = IncrementalLoader(str(self.reference.path), environment[0])
        self.instances = [
            Instance(
                self, number, Installation(folder / str(number), count, peers, has_extra_settings), environment[number]
            )
            for number in range(count)
        ]
        try:
            self.publish(1)
            for instance in self.instances:
                instance.start()
            clients = [Client(self, instance, seed * 100 + instance.number) for instance in self.instances]
            poller = threading.Thread(target=self._poll_states, daemon=True)
            for thread in (*clients, poller):
                thread.start()
            self._apply_changes(changes)
            self.wait_until_converged(20.0)
            self.is_over = True
            for thread in (*clients, poller):
                thread.join(30)
            self.final_states = [instance.poll_state() for instance in self.instances]
            self.counts = sum((client.counts for client in clients), Counter())
            self.violations += [violation for client in clients for violation in client.violations]
        finally:
            self.is_over = True
            for instance in self.instances:
                if instance.gateway is not None:
                    instance.gateway.process.send_signal(signal.SIGCONT)
                    instance.kill()

    def publish(self, version, invalid_instance=None):
        """Publish a version to all instances; one of them may get an invalid one instead."""
        self.reference.publish(version)
        outcome = run_to_end(self.loader.steps())
        assert outcome.config is not None, outcome.texts
        self.version_by_digest[outcome.digest] = version
        for instance in self.instances:
            at_s = instance.installation.publish(version, invalid_instance is instance)
            if invalid_instance is not instance:
                instance.written_at_s[version] = at_s
            elif instance.gateway is not None:
                self.reported_fault = "due"
        self.newest_version = version

    def _apply_changes(self, changes):
        stopped_instance, killed_instance, invalid_instance = self.rng.sample(self.instances, 3)
        started_s = time.monotonic()
        for version in range(2, changes + 2):
            time.sleep(max(0.0, started_s + (version - 1) * self.interval_s - time.monotonic()))
            progress = version / changes
            self.publish(version, invalid_instance if version == changes // 2 + 1 else None)
            for instance in self.instances:
                instance.send_sighup()
            if version == changes // 4 + 1:
                stopped_instance.gateway.process.send_signal(signal.SIGSTOP)
                stopped_instance.is_stopped = True
            elif stopped_instance.is_stopped and progress > 0.5:
                time.sleep(self.rng.uniform(0, self.interval_s / 2))
                stopped_instance.gateway.process.send_signal(signal.SIGCONT)
                stopped_instance.is_stopped = False
            if version == changes // 2 + 1:
                self._wait_for_reported_fault(invalid_instance, version)
            if version == 3 * changes // 4 + 1:
                time.sleep(self.rng.uniform(0.0, 0.02))
                killed_instance.kill()
                killed_instance.start()

    def _wait_for_reported_fault(self, instance, version):
        deadline_s = time.monotonic() + 15
        while "routes.conf:2:" not in (settings := instance.poll_state() or {"fault": ""})["fault"]:
            if time.monotonic() > deadline_s:
                self.violations.append(f"{instance.number}: an invalid change is not reported: {settings}")
                return
            time.sleep(0.02)
        self.reported_fault = settings["fault"]
        if self.version_by_digest.get(settings["digest"]) == version:
            self.violations.append(f"{instance.number}: an invalid change is in force")

    def _poll_states(self):
        while not self.is_over:
            for instance in self.instances:
                if (
                    not instance.is_stopped
                    and instance.gateway is not None
                    and instance.seen_in_force[-1][1] != self.newest_version
                ):
                    instance.poll_state()
            time.sleep(0.01)

    def wait_until_converged(self, seconds):
        """Wait until all instances have the newest version in force, or record a violation."""
        deadline_s = time.monotonic() + seconds
        while lagging := [
            instance.number for instance in self.instances if instance.seen_in_force[-1][1] != self.newest_version
        ]:
            if time.monotonic() > deadline_s:
                self.violations.append(f"{lagging} do not have the last version in force")
                return
            time.sleep(0.02)

    def activation_s(self):
        """Return by version the seconds that each instance took from the write to being seen in force."""
        return {
            version: {
                instance.number: instance.activation_s[version]
                for instance in self.instances
                if version in instance.activation_s
            }
            for version in sorted(self.version_by_digest.values())
        }


def main():
    """Run for the given time and print the results; exit with 1 if there was a violation."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    with tempfile.TemporaryDirectory() as folder:
        change_run = ChangeRun(pathlib.Path(folder), 6, int(seconds), 1.0, has_extra_settings=True, seed=seed)
    activations_s = sorted(each for row in change_run.activation_s().values() for each in row.values())
    print(
        json.dumps(
            {
                "answers": change_run.counts,
                "faults": change_run.violations[:20],
                "bad": change_run.reported_fault.split("\n")[0],
                "digests": sorted({state["digest"] for state in change_run.final_states}),
                "in_force_seen": len(activations_s),
                "in_force_median_ms": round(statistics.median(activations_s) * 1000),
                "in_force_longest_ms": round(activations_s[-1] * 1000),
                "longest_slice_ms": max(state["longest_slice_ms"] for state in change_run.final_states),
                "readings": [state["readings"] for state in change_run.final_states],
            },
            indent=1,
        )
    )
    sys.exit(1 if change_run.violations else 0)


if __name__ == "__main__":
    main()
