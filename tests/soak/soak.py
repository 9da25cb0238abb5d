#!/usr/bin/env python3
"""Randomized soak: real nodes under load, with faults injected from outside them.

    tests/soak/soak.py [--seeds FIRST-LAST] [--seconds N] [--nodes N] [--clients N]

Each seed gives the times and kinds of the faults, which come in series and overlap. Afterwards
everything is healed, and what clients and targets saw is checked: responses belong to their
requests and are whole, nothing that may run once runs twice, refusals are true, targets that left
or crash get nothing, withdrawn keys are refused, also after the store lost the withdrawal, versions
get the requests that their orders allow, nodes do not end by themselves, keep their memory, end in
time when they are stopped, and serve again. The logs of a seed that failed are kept.

The nodes are in two zones. No fault separates the nodes of the zones: nodes announce the address on
which they listen, so that no relay can stand between them. Instead all nodes of a zone are paused.
"""

import argparse
import json
import os
import random
import shutil
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
# pylint: disable=wrong-import-position
from clients import Client, check_runs, served_share  # noqa: E402
from fleet import (BAD_VERSION, ERRORS, Fleet, GOOD_VERSION, READY_SEC,  # noqa: E402
                   TIMING_SLACK_SEC, ZONES)
from on_platform_restored import copy  # noqa: E402
from orders import Order  # noqa: E402
from outside_limits import (Crowd, HEAD_FIELDS, HEADS, Peaks, RSS_MAX_BYTES,  # noqa: E402
                            UnreadResponses)

APPLY_SEC = 2.0  # setting config_apply
DRAIN_SEC = 2.0  # setting drain
CRASHES_MAX = 6  # of one request: three, and three retries
SERVED_MIN = 0.2
MEMORY_MAX_BYTES = 260 << 20
UNREAD = 40  # connections that do not read
WARM_SEC = 1.0  # before the first fault
# Faults end this long before the end, so that they do not hide what the last ones cause.
CALM_SEC = 3.0


class Soak:
    """One seed: clients, faults, and the checks that need the order of events."""

    def __init__(self, fleet, seed, seconds, clients):
        self.fleet, self.rand, self.seconds = fleet, random.Random(seed), seconds
        self.clients = [Client(fleet, n, seed) for n in range(clients)]
        self.threads, self.events, self.leaves = [], [], []
        services = self.rand.sample(("front", "back"), 2)
        self.orders = [Order(fleet, self.rand, service, version)
                       for service, version in zip(services, (GOOD_VERSION, BAD_VERSION))]
        self.drill_lock, self.crowd_lock = threading.Lock(), threading.Lock()
        self.start = time.monotonic()

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.start:7.2f} {text}")

    # --- Faults: each is a method of (node index, duration) that returns when it is over.

    def fault_kill(self, i, duration):
        self.fleet.kill_node(i)
        time.sleep(duration)
        self.fleet.start_again(i)

    def fault_stop(self, i, duration):
        if not self.fleet.is_up(i):
            return
        self.fleet.stop_node(i)
        time.sleep(duration / 2)
        self.fleet.start_again(i)

    def fault_pause(self, i, duration):
        self.fleet.pause([i], duration)

    def fault_zone_silent(self, i, duration):
        """Most of the load is in one zone. Its nodes become silent, and the load moves."""
        zone, other = self.fleet.node_zone(i), ZONES[(i + 1) % len(ZONES)]
        self.fleet.loaded_zone = zone
        time.sleep(duration / 2)
        self.fleet.loaded_zone = other
        self.fleet.pause([j for j in range(self.fleet.count)
                          if self.fleet.node_zone(j) == zone], duration)
        time.sleep(duration / 2)
        self.fleet.loaded_zone = None

    def fault_reload(self, i, duration):
        for _ in range(3):
            self.fleet.daemons[i].send_signal(signal.SIGHUP)
            time.sleep(duration / 3)

    def fault_target_crash(self, i, _):
        self.fleet.targets[i].crash()

    def fault_target_faulty(self, i, duration):
        target = self.fleet.targets[i]
        target.fault_share = 0.2
        time.sleep(duration)
        target.fault_share = 0

    def fault_target_leaves(self, i, duration):
        """A target leaves without reporting that it drains, and reports of before arrive late."""
        target = self.fleet.targets[i]
        if target.state != "ready":
            return
        late = [target.report_body(), target.report_body()]
        instance_id, target.state = target.instance_id, "leaving"
        if target.report("DELETE", instance_id=instance_id) == 200:
            self.leaves.append((instance_id, time.monotonic()))
        time.sleep(DRAIN_SEC + 2 * duration)  # also longer than a target counts as present
        for body in late:
            target.report(body=body, instance_id=instance_id)
        time.sleep(DRAIN_SEC)
        if target.end() and not target.closed:
            target.start()

    def fault_crashing_request(self, i, duration):
        request_id = f"crash-{len(self.events)}"
        path = f"/f/deep/{self.rand.random()}/crash"
        end = time.monotonic() + duration
        while time.monotonic() < end:
            try:
                self.fleet.send(path, "POST", node=i, headers={"Request-Attempt-Id": request_id})
            except (OSError, ValueError):
                pass
            time.sleep(0.3)

    def fault_store_cut(self, i, duration):
        self.fleet.cut_store(i, True)
        time.sleep(duration)
        self.fleet.cut_store(i, False)

    def fault_store(self, _, duration):
        fault = self.rand.choice([{"down": True}, {"busy": True}, {"read_only": True},
                                  {"silent": True}, {"slow_ms": 300}, {"lost_share": 0.5}])
        self.fleet.disturb(duration)
        self.fleet.platform_fault(**fault)
        time.sleep(duration)
        self.fleet.platform_fault()
        self.fleet.disturb()

    def fault_key_withdrawn(self, i, _):
        """Keys come and go; a withdrawn one is refused in time, where nothing disturbs."""
        key = f"key-{len(self.events)}-{i}"
        self.fleet.configure(keys=("key-a", key))
        time.sleep(APPLY_SEC / 2)
        self.fleet.configure()
        acknowledged = time.monotonic()
        time.sleep(APPLY_SEC + TIMING_SLACK_SEC)
        if self.accepts(i, key) and self.fleet.calm_since(acknowledged):
            self.fleet.failures.append(f"CONFIG: node {i} accepts a key withdrawn "
                                       f"{time.monotonic() - acknowledged:.1f} s ago")

    def accepts(self, i, key):
        """Whether a node serves a request with a key; None if it does not respond."""
        try:
            return self.fleet.send("/f/key", node=i, headers={
                "Authorization": f"Bearer {key}", "Request-Attempt-Id": f"key-{key}"})[0] == 200
        except ERRORS:
            return None

    def fault_store_restored(self, _, duration):
        """The store comes back without the withdrawal of a key, which each node that has refused
        the key still refuses, until the operator has written its rows again and afterwards."""
        key = f"key-restored-{len(self.events)}"
        with self.drill_lock:
            self.fleet.configure(keys=("key-a", key))
            time.sleep(APPLY_SEC / 2)
            accepting = self.nodes_that(lambda i: self.accepts(i, key))
            with self.fleet.operator_lock:
                copy(self.fleet)
                copied = time.monotonic()
            self.fleet.configure()
            time.sleep(APPLY_SEC / 2 + duration / 2)
            # A node that has refused the key because it did not know it may read it in the copy.
            refusing = accepting & self.nodes_that(lambda i: self.accepts(i, key) is False)
            rows = self.fleet.restore_store(copied)
            self.check_refused(refusing, key)
            self.fleet.write_again(rows)
            self.check_refused(refusing, key)

    def nodes_that(self, condition):
        """Returns the nodes that meet a condition, as (index, pid)."""
        return {(i, node.pid) for i, node in enumerate(self.fleet.daemons) if condition(i)}

    def check_refused(self, refusing, key):
        end = time.monotonic() + APPLY_SEC
        while time.monotonic() < end:
            again = refusing & self.nodes_that(lambda i: self.accepts(i, key))
            self.fleet.failures += [f"RESTORED: node {i} accepts {key} again" for i, _ in again]
            refusing = refusing - again
            time.sleep(0.1)

    def fault_crowd(self, i, _):
        """Clients outside the limits: unfinished heads, empty lines, unread responses."""
        address = self.fleet.listen_address(i, "outbound")
        unread = (b"GET /f/unread/large HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 3000\r\n"
                  b"Request-Attempt-Id: unread\r\nAuthorization: Bearer key-a\r\n\r\n")
        with self.crowd_lock, Peaks(self.fleet.daemons[i]) as peaks:
            with Crowd(address, HEADS, b"GET /x HTTP/1.1\r\n" + HEAD_FIELDS, b""):
                time.sleep(0.5)
            with Crowd(address, HEADS, b"", b"\r\n"), UnreadResponses(address, UNREAD, unread):
                time.sleep(0.5)
        self.note(f"crowd node={i}: {peaks.rss >> 20} MB")
        self.check_size(i, peaks.rss, RSS_MAX_BYTES)

    def run_fault(self, fault, i, duration):
        name = fault.__name__.removeprefix("fault_")
        self.note(f"{name} node={i} seconds={duration:.2f}")
        try:
            fault(i, duration)
        except ERRORS as error:
            self.note(f"{name} node={i} failed: {error!r}")
        self.note(f"{name} node={i} over")

    def inject(self):
        """Starts faults, alone and in series, one thread each."""
        faults = [getattr(self, name) for name in sorted(dir(self)) if name.startswith("fault_")]
        # Once in each seed, and one at a time.
        long = [self.fault_crowd, self.fault_store_restored, self.fault_zone_silent]
        plan = long + self.rand.choices(faults, k=3)
        self.rand.shuffle(plan)
        end = self.start + self.seconds - CALM_SEC
        time.sleep(WARM_SEC)
        while time.monotonic() < end:
            fault = plan.pop() if plan else self.rand.choice(faults)
            series = 1 if fault in long else self.rand.choice((1, 1, 2, 3))
            for _ in range(series):
                thread = threading.Thread(target=self.run_fault, daemon=True, args=(
                    fault, self.rand.randrange(self.fleet.count), 0.2 + self.rand.random() * 2.5))
                thread.start()
                self.threads.append(thread)
                time.sleep(self.rand.random() * 0.4)
            self.fleet.check_own_ends()
            time.sleep(self.rand.random() * 1.2)

    # --- The end

    def heal(self):
        for thread in self.threads:
            thread.join(30)
        self.fleet.platform_fault()
        for i in range(self.fleet.count):
            self.fleet.cut_store(i, False)
            self.fleet.start_again(i)
            self.fleet.daemons[i].send_signal(signal.SIGCONT)
            if self.fleet.targets[i].state == "down":
                self.fleet.targets[i].restart()
        self.note("healed")

    def check_return(self):
        end = time.monotonic() + READY_SEC
        while time.monotonic() < end:
            try:
                if self.fleet.serves():
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.2)
        self.fleet.failures.append(f"RECOVER: not all nodes serve {READY_SEC} s after the end")

    def check_leaves(self):
        for instance_id, acknowledged in self.leaves:
            late = [run for runs in self.fleet.runs.values() for run in runs
                    if run.instance == instance_id and
                    run.at > acknowledged + DRAIN_SEC + TIMING_SLACK_SEC]
            if late:
                self.fleet.failures.append(
                    f"DRAIN: {instance_id} got {len(late)} requests up to "
                    f"{late[-1].at - acknowledged:.1f} s after the ack of its leave")

    def check_crashes(self):
        crashes = {}
        for request_id, runs in self.fleet.runs.items():
            for run in runs:
                if request_id.startswith("crash-"):
                    crashes[run.path] = crashes.get(run.path, 0) + 1
        self.fleet.failures += [f"BUDGET: {path} crashed {count} targets"
                                for path, count in crashes.items() if count > CRASHES_MAX]

    def check_memory(self):
        for i, node in enumerate(self.fleet.daemons):
            with open(f"/proc/{node.pid}/statm", encoding="ascii") as file:
                size = int(file.read().split()[1]) * 4096
            self.check_size(i, size, MEMORY_MAX_BYTES)

    def check_size(self, i, size, size_max):
        if size > size_max:
            self.fleet.failures.append(f"MEMORY: node {i} takes {size} bytes")

    def run(self):
        """Returns the violations and the share of requests that were served."""
        for client in self.clients:
            client.start()
        for order in self.orders:
            self.threads.append(threading.Thread(target=order.run, daemon=True, args=(
                WARM_SEC + self.rand.random(), self.note)))
            self.threads[-1].start()
        self.inject()
        self.heal()
        self.check_return()
        for client in self.clients:
            client.ends = True
        for client in self.clients:
            client.join(10)
        self.fleet.check_own_ends()
        self.check_memory()
        self.check_leaves()
        self.check_crashes()
        for order in self.orders:
            self.fleet.failures += order.check()
        share = served_share(self.clients)
        if share < SERVED_MIN:
            self.fleet.failures.append(f"only {share:.2f} of the requests were served")
        return self.fleet.failures + check_runs(self.fleet, self.clients), share


def run_seed(seed, options):
    """Returns whether the seed passed; keeps the logs if not."""
    with Fleet(seed, options.nodes) as fleet:
        soak = Soak(fleet, seed, options.seconds, options.clients)
        found, share = soak.run()
    requests = sum(len(client.sent) for client in soak.clients)
    print(f"seed {seed}: {'failed' if found else 'passed'}; {requests} requests, {share:.2f} served, "
          f"{len(soak.events)} events; {'; '.join(map(str, soak.orders))}", flush=True)
    for violation in found[:20]:
        print(f"  {violation}")
    if not found:
        shutil.rmtree(fleet.directory)
        return True
    with open(fleet.path("events"), "w", encoding="utf-8") as file:
        file.write("\n".join(soak.events + found) + "\n")
    with open(fleet.path("runs.json"), "w", encoding="utf-8") as file:
        json.dump({name: [(run.at - soak.start, run.instance, run.path) for run in runs]
                   for name, runs in fleet.runs.items()}, file)
    print(f"  logs and events: {fleet.directory}")
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST or one seed")
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--clients", type=int, default=12)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    results = [run_seed(seed, options) for seed in range(int(first), int(last or first) + 1)]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
