"""Planned stops of nodes with the product's own interface."""

import glob
import http.client
import json
import signal
import threading
import time

from deployment import ServingDeployment, http as request, key_record
from late_callers import LateCallers, check_responses

KEY_HEADERS = {"Authorization": "Bearer key-a"}
DRAIN_TIMEOUT_SEC = 3
NOTICE_SEC = 1  # DRAIN_NOTICE in egretscaled/main.c


def slow_deployment(service_ms, drain_timeout_sec, slots=200):
    """Two nodes with a target each that works for `service_ms` and more."""
    records = [
        {"kind": "client_account", "name": "a", "schema_version": 1, "rate": 1000, "burst": 500},
        key_record("a-1", "a", "key-a"),
        {"kind": "route", "name": "write", "schema_version": 1, "prefix": "/write",
         "service": "back", "importance": 5, "timeout_ms": 20000}]
    layout = {"zones": ["za"], "services": [
        {"name": "back", "instances": 2, "slots": slots, "service_ms": service_ms}]}
    return ServingDeployment(layout, records, history=True,
                             flags=[f"--drain-timeout={drain_timeout_sec}"])


def started(d):
    """Returns the ids of the requests that a target began to run."""
    ids = set()
    for path in glob.glob(d.path("*.history")):
        with open(path, encoding="utf-8") as file:
            ids |= {line["id"] for line in map(json.loads, file) if line["event"] == "start"}
    return ids


def case_stop_late_requests():
    """Callers on kept connections send to a stopping node until it is gone: each request that it
    read gets a complete response, and none that ran is answered as not run."""
    with slow_deployment(1000, DRAIN_TIMEOUT_SEC) as d:
        node = d.nodes[0]
        end = NOTICE_SEC + DRAIN_TIMEOUT_SEC
        callers = LateCallers(node.address["caller"], "/write/x", KEY_HEADERS, "X-Test-Id", end + 1)

        def stop():
            time.sleep(0.3)
            callers.started = time.monotonic()
            node.process.send_signal(signal.SIGTERM)
        callers.run(node.process, stop)
        assert node.process.wait(timeout=5) == 0
        check_responses(callers, started(d), d.logs[node.name])
        refused = [r for r in callers.results if r.status == 503]
        assert refused, "no request was refused while the node stopped"
        for result in refused:
            assert result.headers["Egret-Reason"] == "draining", dict(result.headers)
            assert result.headers["Retry-After"] and result.headers["Connection"] == "close"


def case_stop_waiting_call():
    """A call that waits at a stopping node's own gate at the end of the drain timeout is answered
    as not run; it does not start at another instance just before the process ends."""
    with slow_deployment(60000, 0, slots=1) as d:
        node = d.nodes[0]
        answers = []

        def send():
            status, headers, _ = request("POST", node.address["caller"], "/write/x", b"",
                                         KEY_HEADERS, 20)
            answers.append((status, headers["Egret-Outcome"], headers["Egret-Reason"]))
        threads = [threading.Thread(target=send) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        node.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        assert node.process.wait(timeout=5) == 0
        with open(d.logs[node.name], encoding="utf-8") as file:
            waited = sum('"verdict":"closed"' in line for line in file)
        assert waited > 0, "no call waited at the node's own gate"
        assert answers.count((503, "not-run", "draining")) == waited, (waited, answers)


def case_stop_unfinished_calls():
    """A node that gives up on requests at the end of its drain timeout answers them: callers, and
    the nodes whose calls its target runs, do not wait for a lost connection to be noticed."""
    with slow_deployment(60000, 0) as d:
        stopping = d.nodes[0]
        results = {}

        def send(name, node):
            try:
                status, headers, _ = request("POST", node.address["caller"], "/write/x", b"",
                                             {**KEY_HEADERS, "X-Test-Id": name}, 30)
                results[name] = (status, headers["Egret-Outcome"])
            except OSError as error:
                results[name] = error
        threads = [threading.Thread(target=send, args=(f"{node.name}-{i}", node))
                   for node in d.nodes for i in range(10)]
        for thread in threads:
            thread.start()
        d.wait(lambda: len(started(d)) == 20, "all requests to run")
        stopping.process.send_signal(signal.SIGTERM)
        assert stopping.process.wait(timeout=10) == 0
        time.sleep(0.3)  # for the responses to arrive
        for node in d.nodes:
            node.target.kill()
        answered = dict(results)
        for thread in threads:
            thread.join()
        mine = [name for name in answered if name.startswith(stopping.name)]
        assert len(mine) == 10, answered
        assert len(answered) > 10, "no call of the other node ended"
        assert set(answered.values()) == {(502, "unknown")}, answered


def case_stop_adopted_call():
    """A request with an idempotency key whose caller hung up goes on so that its response is
    stored; a stop of the node waits for it. Otherwise the key would stay in use for ever."""
    with slow_deployment(2000, 15) as d:
        stopping, other = d.nodes
        headers = {**KEY_HEADERS, "Idempotency-Key": "k", "X-Test-Id": "k"}
        caller = http.client.HTTPConnection(stopping.address["caller"], timeout=15)
        caller.request("POST", "/write/x", headers=headers)
        d.wait(lambda: started(d) == {"k"}, "the request to run")
        caller.close()
        time.sleep(0.2)
        stopping.process.send_signal(signal.SIGTERM)
        assert stopping.process.wait(timeout=20) == 0
        status, got, _ = request("POST", other.address["caller"], "/write/x", b"", headers, 20)
        assert (status, got["Egret-Outcome"]) == (200, "answered"), (status, dict(got))
