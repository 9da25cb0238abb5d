"""Planned stops of nodes on the platform."""

import signal
import threading
import time

from late_callers import LateCallers, check_responses
from on_platform import ADDRESSES, CONFIG_APPLY_SEC, PlatformDeployment, wait_for

STOP_SEC = 6  # setting grace: from SIGTERM to SIGKILL
# No new callers are accepted from 2.3 s on (PLATFORM_DRAIN_NOTICE in egretscaled/main.c).
AFTER_NOTICE_SEC = 2.6
# PLATFORM_DRAIN_NOTICE less PLATFORM_PEER_NOTICE: other nodes send its target no more calls.
WITHDRAW_SEC = 1.8


def case_on_platform_stop_late():
    """Callers on kept connections send to a stopping node until it is gone: each request that it
    read gets a complete response, and none that ran is answered as not run."""
    with PlatformDeployment() as d:
        back = d.targets[1]  # the stopping node's target gets no more requests
        back.delay_sec = 1.2
        assert back.report(slots=200) == 200
        headers = {"Host": "h.example", "Deadline-Ms": "2500", "Authorization": "Bearer key-a"}
        callers = LateCallers(d.listen_address(0, "outbound"), "/f/deep/x", headers,
                              "Request-Attempt-Id", STOP_SEC)

        def stop():
            time.sleep(0.3)
            callers.started = time.monotonic()
            d.daemons[0].send_signal(signal.SIGTERM)
        callers.run(d.daemons[0], stop)
        assert d.daemons[0].wait(STOP_SEC) == 0
        ran = {headers["Request-Attempt-Id"] for _, _, headers, _ in back.received}
        check_responses(callers, ran, d.logs["node-0"])
        refused = [r for r in callers.results if r.status == 503]
        assert refused, "no request was refused while the node stopped"
        for result in refused:
            assert result.headers["Retry-After"] and result.headers["Connection"] == "close"


def case_on_platform_stop_outbound():
    """While the target of a stopping node runs a request, its outbound calls are served, also on
    a new connection and after callers are no longer accepted: refusing them fails the request."""
    with PlatformDeployment() as d:
        d.configure(front=["front", "h.example", "/f/", "idempotent", "6s", "1s", 1, None, 2, False,
                           "front"])
        time.sleep(CONFIG_APPLY_SEC)
        front = d.targets[0]
        front.delay_sec = 3.8
        results = {}
        caller = threading.Thread(target=lambda: results.update(
            request=d.send("/f/x", node=1, headers={"Deadline-Ms": "6000"})[0]))
        before = len(front.received)
        caller.start()
        wait_for("the request to run", lambda: len(front.received) > before, 2)
        d.daemons[0].send_signal(signal.SIGTERM)
        time.sleep(AFTER_NOTICE_SEC)
        try:
            results["call"] = d.send("/f/deep/y", "POST", source=ADDRESSES[0])[0]
        except OSError as error:
            results["call"] = error
        caller.join()
        assert results == {"call": 200, "request": 200}, results
        assert d.daemons[0].wait(STOP_SEC) == 0


def case_on_platform_stop_capacity():
    """While callers of a stopping node are still leaving, its target gets calls of other nodes:
    without them the service has no capacity here, although nothing is gone yet."""
    with PlatformDeployment() as d:
        assert d.send("/f/x", node=1)[0] == 200
        d.daemons[0].send_signal(signal.SIGTERM)
        start = time.monotonic()
        statuses = []
        while time.monotonic() - start < WITHDRAW_SEC - 0.3:
            statuses.append(d.send("/f/x", node=1)[0])
            time.sleep(0.05)
        assert set(statuses) == {200}, statuses
        time.sleep(max(0, start + WITHDRAW_SEC + 0.3 - time.monotonic()))
        assert d.send("/f/x", node=1)[0] == 503
        assert d.daemons[0].wait(STOP_SEC) == 0
