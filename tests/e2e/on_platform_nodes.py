"""Nodes on the platform that join, freeze, leave or lose the store, and what limits say."""

import signal
import threading
import time

from deployment import http as request
from on_platform import (ADDRESSES, IN_FORCE_SEC, LEAVE_SEC, QUOTA_OVERAGE, QUOTA_SLACK,
                         QUOTA_WINDOW_SEC, STARTED, OnPlatform, wait_for)

RETURN_SEC = 5
METRICS_PORT = 9464
LATENCY_SEC = 1  # the latency objective of the routes
WEIGHT_OFF = 0.1  # how far the share of a backend may be off


def in_threads(count, work):
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def case_on_platform_join():
    """A node that joins late serves what it takes from its first moment of readiness."""
    with OnPlatform() as d:
        time.sleep(3)  # no node tells of the others' targets as news any more
        d.daemons.append(d.start_node(STARTED))
        wait_for("the third node", lambda: d.ready(STARTED), 10)
        seen = [d.ask("/f/x", node=STARTED)[0], d.ask("/f/deep/x", "POST", node=STARTED)[0]]
        assert seen == [200, 200], seen


def case_on_platform_frozen():
    """Idempotent calls under way to a node that freezes are made elsewhere in time, and
    the node is used again once it wakes."""
    with OnPlatform() as d:
        d.start_third()
        d.daemons[STARTED].send_signal(signal.SIGSTOP)
        answers = []

        def ask():
            began = time.monotonic()
            status = d.ask("/o/x")[0]
            answers.append((status, time.monotonic() - began))

        in_threads(16, ask)
        time.sleep(2)  # until the link to it was given up as well
        d.daemons[STARTED].send_signal(signal.SIGCONT)
        late = [answer for answer in answers if answer[0] != 200 or answer[1] > LATENCY_SEC]
        assert not late, late
        seen = len(d.targets[STARTED].seen)
        d.targets[STARTED].report()
        wait_for("calls to the node that woke", lambda: d.ask("/o/x")[0] == 200 and
                 len(d.targets[STARTED].seen) > seen, RETURN_SEC)


def case_on_platform_weights():
    """The backends of a route get their shares."""
    with OnPlatform() as d:
        backends = [{"service": "front", "weight": 3}, {"service": "back", "weight": 1}]
        d.configure(open=["open", "h.example", "/o/", "idempotent", "3s", "1s", 2, backends, 2,
                          True, "back"])
        front, back = d.targets
        wait_for("the weights", lambda: d.ask("/o/x")[0] == 200 and
                 front.seen[-1][1] == "/o/x", IN_FORCE_SEC + 1)
        before = len(front.seen), len(back.seen)
        statuses = []
        in_threads(8, lambda: statuses.extend(d.ask("/o/x")[0] for _ in range(50)))
        assert set(statuses) == {200}, statuses
        share = (len(front.seen) - before[0]) / len(statuses)
        assert abs(share - 0.75) <= WEIGHT_OFF and \
            len(back.seen) - before[1] + len(front.seen) - before[0] == 400, share


def case_on_platform_limit():
    """Over an account's rate: 429 that tells when to come back, and nothing was run."""
    rate, clients = 20, 16
    with OnPlatform() as d:
        d.configure(rate=rate)
        time.sleep(IN_FORCE_SEC)
        d.report_all()
        answers, before, until = [], len(d.targets[0].seen), time.monotonic() + QUOTA_WINDOW_SEC

        def ask():
            while time.monotonic() < until:
                answers.append(d.ask("/f/x", node=len(answers) % 2))
                time.sleep(0.05)

        in_threads(clients, ask)
        statuses = [status for status, _, _ in answers]
        served = statuses.count(200)
        assert set(statuses) == {200, 429}, set(statuses)
        assert served == len(d.targets[0].seen) - before
        allowed = rate * QUOTA_WINDOW_SEC + rate  # the burst is a second of the rate
        assert 0.9 * rate * QUOTA_WINDOW_SEC <= served, served
        assert served <= allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK, served
        refused = [headers for status, headers, _ in answers if status == 429]
        assert all(headers["Retry-After"] and "Response-Seal" not in headers
                   for headers in refused)


def case_on_platform_accounts():
    """An account that asks at one node gets its whole rate there, however many others ask
    at another node."""
    rate = 20
    others = [f"account-with-a-rather-long-name-{n:03}" for n in range(150)]
    with OnPlatform() as d:
        d.configure(rate=rate, accounts=others)
        time.sleep(IN_FORCE_SEC)
        d.report_all()
        until = time.monotonic() + QUOTA_WINDOW_SEC + 3
        turns, served = iter(range(10 ** 6)), []

        def ask_others():
            while time.monotonic() < until:
                name = others[next(turns) % len(others)]
                d.ask("/f/x", headers={"Authorization": f"Bearer key-{name}"}, node=1)

        def ask():
            while time.monotonic() < until:
                if d.ask("/f/x")[0] == 200:
                    served.append(time.monotonic())
                time.sleep(0.05)

        def report():
            while time.monotonic() < until:
                d.report_all()
                time.sleep(1)

        threads = [threading.Thread(target=work) for work in [ask_others] * 4 + [ask] * 8 + [report]]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        count = sum(until - QUOTA_WINDOW_SEC <= at <= until for at in served)
        assert count >= 0.9 * rate * QUOTA_WINDOW_SEC, count
        # What the nodes tell each other of 150 accounts does not fit one datagram.
        for node in (0, 1):
            metrics = request("GET", f"{ADDRESSES[node]}:{METRICS_PORT}", "/metrics")[2].decode()
            found = [line for line in metrics.splitlines() if "gossip_oversized" in line and
                     not line.startswith("#")]
            assert len(found) == 1 and found[0].endswith(" 0"), found


def case_on_platform_leave():
    """A target that leaves under load gets nothing after its answer, and nothing is lost."""
    for method, more in (("PUT", {"state": "draining"}), ("DELETE", {})):
        with OnPlatform() as d:
            d.start_third()
            leaver, statuses, stop = d.targets[STARTED], [], threading.Event()

            def ask(d=d, statuses=statuses, stop=stop):
                while not stop.is_set():
                    statuses.append(d.ask("/f/deep/x", "POST")[0])

            clients = [threading.Thread(target=ask) for _ in range(4)]
            for client in clients:
                client.start()
            time.sleep(0.3)
            began = time.monotonic()
            assert leaver.report(method, **more) == 200
            took, count = time.monotonic() - began, len(leaver.seen)
            time.sleep(0.7)
            stop.set()
            for client in clients:
                client.join()
            assert took <= LEAVE_SEC and len(leaver.seen) <= count, (took, count)
            assert set(statuses) == {200} and len(statuses) > 40, set(statuses)


def case_on_platform_store():
    """Changes are in force everywhere while the store is cut off from one node, refuses
    calls beyond a rate, is slow or loses its history."""
    with OnPlatform(secret=True) as d:
        relay = d.cut_store(STARTED)
        d.start_third()
        ask = lambda key, node: d.ask("/f/x", headers={"Authorization": f"Bearer {key}"},
                                      node=node)[0]
        relay.stdin.write(b"cut\n")
        relay.stdin.flush()
        faults = ({}, {"calls_per_s": 3}, {"slow_ms": 300}, {"forget": True})
        for n, fault in enumerate(faults):
            d.report_all()
            d.platform_fault()
            d.configure(keys=(f"key-{n}",))
            d.platform_fault(**fault)
            for node in range(len(ADDRESSES)):
                wait_for(f"key {n} at node {node} with {fault}",
                         lambda n=n, node=node: ask(f"key-{n}", node) == 200, IN_FORCE_SEC)
                assert n == 0 or ask(f"key-{n - 1}", node) == 401
