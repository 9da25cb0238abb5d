"""End-to-end cases of nodes on the platform that join, pause, leave or lose the store, and of
route weights and account rates."""

import signal
import threading
import time

from deployment import http as request
from on_platform import (ADDRESSES, CONFIG_APPLY_SEC, LEAVE_TIMEOUT_SEC, QUOTA_OVERAGE,
                         QUOTA_SLACK, QUOTA_WINDOW_SEC, INITIAL_NODES, PlatformDeployment,
                         wait_for)

STORE_RETURN_SEC = 2.5  # a node is ready within this time after an outage of the store
RETURN_TIMEOUT_SEC = 5  # a resumed node gets requests again within this time
METRICS_PORT = 9464
LATENCY_OBJECTIVE_SEC = 1  # target_latency of the routes
SPEED_REQUESTS = 200
WEIGHT_TOLERANCE = 0.1  # largest deviation of a backend's share of the requests


def run_in_threads(count, work):
    threads = [threading.Thread(target=work) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def report_until(deployment, deadline):
    while time.monotonic() < deadline:
        deployment.report_all()
        time.sleep(1)


def case_on_platform_join():
    """A node that joins late serves requests as soon as it is ready. Gossip carries only recent
    updates: a node that is ready before it has pulled the directory finds no instances."""
    with PlatformDeployment() as d:
        time.sleep(3)  # until gossip no longer carries the targets as updates
        d.daemons.append(d.start_node(INITIAL_NODES))
        wait_for("the third node to be ready", lambda: d.ready(INITIAL_NODES), 10)
        statuses = [d.send("/f/x", node=INITIAL_NODES)[0],
                    d.send("/f/deep/x", "POST", node=INITIAL_NODES)[0]]
        assert statuses == [200, 200], statuses


def case_on_platform_frozen():
    """Idempotent calls in flight to a node that is paused are retried elsewhere within the
    latency objective, not after the link's time-out; the node is used again once it resumes."""
    with PlatformDeployment() as d:
        d.start_third_node()
        d.daemons[INITIAL_NODES].send_signal(signal.SIGSTOP)
        results = []

        def send_request():
            start = time.monotonic()
            status = d.send("/o/x")[0]
            results.append((status, time.monotonic() - start))

        run_in_threads(16, send_request)
        time.sleep(2)  # until the link to the node is closed, too
        d.daemons[INITIAL_NODES].send_signal(signal.SIGCONT)
        failed = [result for result in results
                  if result[0] != 200 or result[1] > LATENCY_OBJECTIVE_SEC]
        assert not failed, failed
        before = len(d.targets[INITIAL_NODES].received)
        d.targets[INITIAL_NODES].report()
        wait_for("requests to reach the resumed node", lambda: d.send("/o/x")[0] == 200 and
                 len(d.targets[INITIAL_NODES].received) > before, RETURN_TIMEOUT_SEC)


def case_on_platform_speed():
    """Requests one after another: of two instances with free slots, the faster one gets more.
    With two random choices the slow one gets a quarter of the requests, and half if the response
    times do not reach the entry node or are not used."""
    with PlatformDeployment() as d:
        d.start_third_node()
        slow, fast = d.targets[1:]
        slow.delay_sec, fast.delay_sec = 0.06, 0.005
        before = len(slow.received)
        statuses = []
        for i in range(SPEED_REQUESTS):
            if i % 20 == 0:
                d.report_all()
            statuses.append(d.send("/o/x")[0])
        answered = statuses.count(200)
        share = (len(slow.received) - before) / max(answered, 1)
        assert answered >= SPEED_REQUESTS / 2 and share < 0.375, (statuses, share)


def case_on_platform_weights():
    """The backends of a route get requests in the ratio of their weights."""
    with PlatformDeployment() as d:
        backends = [{"service": "front", "weight": 3}, {"service": "back", "weight": 1}]
        d.configure(open=["open", "h.example", "/o/", "idempotent", "3s", "1s", 2, backends, 2,
                          True, "back"])
        front, back = d.targets
        wait_for("the weights to take effect", lambda: d.send("/o/x")[0] == 200 and
                 front.received[-1][1] == "/o/x", CONFIG_APPLY_SEC + 1)
        before = len(front.received), len(back.received)
        statuses = []
        run_in_threads(8, lambda: statuses.extend(d.send("/o/x")[0] for _ in range(50)))
        assert set(statuses) == {200}, statuses
        share = (len(front.received) - before[0]) / len(statuses)
        assert abs(share - 0.75) <= WEIGHT_TOLERANCE and \
            len(back.received) - before[1] + len(front.received) - before[0] == 400, share


def case_on_platform_limit():
    """Requests above an account's rate get 429 with Retry-After and do not run. Those served
    stay within the quota of the settings and are at least 90% of the rate."""
    rate, clients = 20, 16
    with PlatformDeployment() as d:
        d.configure(rate=rate)
        time.sleep(CONFIG_APPLY_SEC)
        d.report_all()
        responses, before, deadline = \
            [], len(d.targets[0].received), time.monotonic() + QUOTA_WINDOW_SEC

        def send_requests():
            while time.monotonic() < deadline:
                responses.append(d.send("/f/x", node=len(responses) % 2))
                time.sleep(0.05)

        # A target that is silent during the whole window expires at its end.
        reporter = threading.Thread(target=report_until, args=(d, deadline))
        reporter.start()
        run_in_threads(clients, send_requests)
        reporter.join()
        statuses = [status for status, _, _ in responses]
        served = statuses.count(200)
        assert set(statuses) == {200, 429}, set(statuses)
        assert served == len(d.targets[0].received) - before
        allowed = rate * QUOTA_WINDOW_SEC + rate  # the burst equals the rate of one second
        assert 0.9 * rate * QUOTA_WINDOW_SEC <= served, served
        assert served <= allowed * (1 + QUOTA_OVERAGE) + QUOTA_SLACK, served
        refused = [headers for status, headers, _ in responses if status == 429]
        assert all(headers["Retry-After"] and "Response-Seal" not in headers
                   for headers in refused)


def case_on_platform_borrow():
    """An account's burst at a node without earlier demand is served with tokens of the others."""
    burst = 20
    with PlatformDeployment() as d:
        d.configure(rate=burst)
        time.sleep(CONFIG_APPLY_SEC + 2)  # until the tokens of both nodes are complete
        d.report_all()
        statuses = []
        run_in_threads(burst, lambda: statuses.append(d.send("/f/x", node=1)[0]))
        assert statuses == [200] * burst, statuses


def case_on_platform_accounts():
    """An account with requests at one node gets its full rate there, while 150 accounts send
    requests to another node. The demands of so many accounts do not fit one datagram, and a
    node whose demand reports are dropped is treated as silent."""
    rate = 20
    others = [f"account-with-a-rather-long-name-{n:03}" for n in range(150)]
    with PlatformDeployment() as d:
        d.configure(rate=rate, accounts=others)
        time.sleep(CONFIG_APPLY_SEC)
        d.report_all()
        deadline = time.monotonic() + QUOTA_WINDOW_SEC + 3
        numbers, served = iter(range(10 ** 6)), []

        def send_for_others():
            while time.monotonic() < deadline:
                name = others[next(numbers) % len(others)]
                d.send("/f/x", headers={"Authorization": f"Bearer key-{name}"}, node=1)

        def send_requests():
            while time.monotonic() < deadline:
                if d.send("/f/x")[0] == 200:
                    served.append(time.monotonic())
                time.sleep(0.05)

        threads = [threading.Thread(target=work) for work in
                   [send_for_others] * 4 + [send_requests] * 8 +
                   [lambda: report_until(d, deadline)]]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        count = sum(deadline - QUOTA_WINDOW_SEC <= served_at <= deadline for served_at in served)
        assert count >= 0.9 * rate * QUOTA_WINDOW_SEC, count
        # Reports of the demands of 150 accounts are split, so that no datagram is too large.
        for node in (0, 1):
            metrics = request("GET", f"{ADDRESSES[node]}:{METRICS_PORT}", "/metrics")[2].decode()
            samples = [line for line in metrics.splitlines() if "gossip_oversized" in line and
                     not line.startswith("#")]
            assert len(samples) == 1 and samples[0].endswith(" 0"), samples


def case_on_platform_leave():
    """A target that leaves under load gets no request after the response to its report, and no
    request of a client fails."""
    for method, fields in (("PUT", {"state": "draining"}), ("DELETE", {})):
        with PlatformDeployment() as d:
            d.start_third_node()
            leaving, statuses, stop = d.targets[INITIAL_NODES], [], threading.Event()

            def send_requests(d=d, statuses=statuses, stop=stop):
                while not stop.is_set():
                    statuses.append(d.send("/f/deep/x", "POST")[0])

            clients = [threading.Thread(target=send_requests) for _ in range(4)]
            for client in clients:
                client.start()
            time.sleep(0.3)
            start = time.monotonic()
            assert leaving.report(method, **fields) == 200
            elapsed, count = time.monotonic() - start, len(leaving.received)
            time.sleep(0.7)
            stop.set()
            for client in clients:
                client.join()
            assert elapsed <= LEAVE_TIMEOUT_SEC and len(leaving.received) <= count, \
                (elapsed, count)
            assert set(statuses) == {200} and len(statuses) > 40, set(statuses)


def case_on_platform_downstream_loss():
    """While a service that a route's requests call has no instance, most of these requests are
    refused at the entry and do not run; they are served again once an instance is back."""
    with PlatformDeployment() as d:
        front, back = d.targets
        front.outbound_call = lambda: d.send("/f/deep/x", "POST", source=ADDRESSES[0])[0]
        assert [d.send("/f/x")[0] for _ in range(5)] == [200] * 5
        assert front.report() == 200 and back.report("DELETE") == 200
        before, statuses = len(front.received), []
        for _ in range(100):
            statuses.append(d.send("/f/x")[0])
            time.sleep(0.01)
        run = len(front.received) - before
        assert set(statuses) == {500, 503} and run == statuses.count(500) and run < 25, \
            (run, statuses)
        back.instance_id, back.started_ms, back.sequence = "i-2", int(time.time() * 1000), 0
        assert front.report() == 200 and back.report() == 200
        wait_for("all requests to be served",
                 lambda: all(d.send("/f/x")[0] == 200 for _ in range(20)), RETURN_TIMEOUT_SEC)


def case_on_platform_return():
    """Nodes that were killed together during an outage of the store serve soon after it ends."""
    with PlatformDeployment() as d:
        d.platform_fault(down=True)
        for daemon in d.daemons:
            daemon.kill()
            daemon.wait()
        d.daemons = [d.start_node(i) for i in range(INITIAL_NODES)]
        time.sleep(10)  # until the wait between reads of the store no longer grows
        assert not any(d.ready(i) for i in range(INITIAL_NODES))
        d.platform_fault()
        for i in range(INITIAL_NODES):
            wait_for("a node to be ready", lambda i=i: d.ready(i), STORE_RETURN_SEC)
        d.report_all()
        wait_for("requests to be served", lambda: d.send("/f/x")[0] == 200 and
                 d.send("/f/deep/x", "POST")[0] == 200, RETURN_TIMEOUT_SEC)


def case_on_platform_store():
    """Changes take effect on all nodes although the store is unreachable for one node, refuses
    requests above a rate, is slow, or has compacted its change history."""
    with PlatformDeployment(use_secret_file=True) as d:
        relay = d.add_store_relay(INITIAL_NODES)
        d.start_third_node()
        status = lambda key, node: d.send("/f/x", headers={"Authorization": f"Bearer {key}"},
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
                wait_for(f"key {n} to be accepted by node {node} with the fault {fault}",
                         lambda n=n, node=node: status(f"key-{n}", node) == 200, CONFIG_APPLY_SEC)
                assert n == 0 or status(f"key-{n - 1}", node) == 401
