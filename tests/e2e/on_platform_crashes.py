"""End-to-end cases of a request that crashes each target that begins to run it."""

import collections
import concurrent.futures
import http.client
import os
import subprocess
import sys
import threading
import time

from on_platform import INITIAL_NODES, LEAVE_TIMEOUT_SEC, PlatformDeployment, wait_for
from raw_target import RawTarget
from restarting_target import RestartingTarget

CONTACT_SEC = 3.0  # bound `contact` of the users' rule
LATE_RETRIES_MAX = 3  # later than CONTACT_SEC after the third crash
PERIOD_SEC = 1.0  # between two sends of the request that crashes targets
SENDS = 10


WORK_SEC = 0.15


def serve_or_crash(_, message):
    """Crashes the target when it begins to run a request whose path ends in "crash"."""
    if message["path"].endswith("crash"):
        return None
    time.sleep(WORK_SEC)
    return (f"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {message['headers']['request-attempt-id']}\r\n"
            "Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok").encode(), True


CHECKED_MAX = 20  # paths of bystanders that are sent again


class Bystanders:
    """Clients of other requests, which run on the same targets. Each sends requests with paths of
    its own, and notes those that got no response of a target."""

    def __init__(self, deployment, count):
        self.deployment, self.failed, self.served = deployment, set(), 0
        self.ends, self.lock = False, threading.Lock()
        self.threads = [threading.Thread(target=self.send, args=(n,)) for n in range(count)]
        for thread in self.threads:
            thread.start()

    def send(self, number):
        count = 0
        while not self.ends:
            count += 1
            path = f"/o/{number}-{count // 3}"  # each request is sent three times
            status = self.deployment.send(
                path, headers={"Request-Attempt-Id": f"b-{number}-{count}"}, node=number % 2)[0]
            with self.lock:
                self.served += status == 200
                if status != 200:
                    self.failed.add(path)

    def refused(self):
        """Returns those of the failed requests that are refused when they are sent again."""
        paths = sorted(self.failed)[-CHECKED_MAX:]
        return [path for path in paths if self.deployment.send(path)[0] != 200]

    def join(self):
        self.ends = True
        for thread in self.threads:
            thread.join()


def use_fragile_targets(deployment, handle=serve_or_crash):
    """Lets the two nodes of the service back use a target each that may crash."""
    deployment.start_third_node()
    targets = []
    for i in (1, INITIAL_NODES):
        deployment.targets[i].close()
        targets.append(RestartingTarget(deployment.listen_address(i, "app"),
                                        deployment.listen_address(i, "control"), "back", handle))
    del deployment.targets[1:]
    wait_for("requests to be served", lambda: all(
        deployment.send(f"/o/warm{n}", node=n % 3)[0] == 200 for n in range(12)), 10)
    return targets


Row = collections.namedtuple("Row", "name method path body keeps bystanders")
ROWS = [
    Row("on kept connections, with a body", "POST", "/f/deep/crash", b"body", True, 0),
    Row("on kept connections, without a body", "POST", "/f/deep/crash", None, True, 0),
    Row("on new connections", "POST", "/f/deep/crash", b"body", False, 0),
    Row("beside others", "POST", "/f/deep/crash", b"body", False, 6),
    Row("beside others, repeated by the node", "GET", "/o/crash", None, False, 6),
]


def open_connections(deployment):
    """Lets the nodes keep connections to all targets."""
    wait_for("the targets to be used", lambda: all(
        deployment.send(f"/f/deep/warm{n}", "POST", node=n % 3)[0] == 200 for n in range(9)), 5)


def check_crashes(deployment, row):
    """Sends a request that crashes targets again and again; returns what is wrong."""
    targets = use_fragile_targets(deployment)
    others = Bystanders(deployment, row.bystanders)
    statuses = []
    try:
        for n in range(SENDS):
            if row.keeps:
                open_connections(deployment)
            start = time.monotonic()
            statuses.append(deployment.send(row.path, row.method, node=n % 3, body=row.body)[0])
            time.sleep(max(0.0, start + PERIOD_SEC - time.monotonic()))
        others.join()
        wait_for("the targets to be back", lambda: deployment.send("/o/after")[0] == 200, 3)
        refused = others.refused()
    finally:
        others.join()
        for target in targets:
            target.close()
    crashes = sorted(at for target in targets for at in target.crashed_at)
    late = [at for at in crashes if at > crashes[min(2, len(crashes) - 1)] + CONTACT_SEC]
    found = {f"{len(crashes)} crashes, {len(late)} of them late":
                 len(crashes) < 2 or len(late) > LATE_RETRIES_MAX,
             f"the last statuses are {statuses}": statuses[-1] != 503,
             f"of the other requests, {refused} are refused": refused != [],
             f"{others.served} other requests were served":
                 row.bystanders > 0 and others.served < SENDS}
    return [f"{row.name}: {what}" for what, wrong in found.items() if wrong]


def case_on_platform_crashing_request():
    """A request that crashes each target is refused after three of them, whether its connections
    are new or kept and whether other requests are in flight; those are still served."""
    failures = []
    for row in ROWS:
        with PlatformDeployment() as d:
            failures += check_crashes(d, row)
    assert not failures, "\n".join(failures)


def case_on_platform_crashing_request_restart():
    """A node that starts again refuses the requests that its peers refuse."""
    with PlatformDeployment() as d:
        targets = use_fragile_targets(d)
        try:
            for _ in range(2):
                open_connections(d)
                d.send("/f/deep/crash", "POST")
                time.sleep(PERIOD_SEC)
            assert d.send("/f/deep/crash", "POST")[0] == 503
            crashes = sum(len(target.crashed_at) for target in targets)
            d.daemons[1].kill()
            d.daemons[1].wait()
            d.daemons[1] = d.start_node(1)
            wait_for("the node to be ready", lambda: d.ready(1), 10)
            open_connections(d)
            # Leaves the target beside that node as the only one.
            targets[1].state = "draining"
            assert targets[1].report() == 200
            time.sleep(LEAVE_TIMEOUT_SEC)
            statuses = [d.send("/f/deep/crash", "POST", node=1)[0] for _ in range(4)]
            assert sum(len(target.crashed_at) for target in targets) == crashes, statuses
            assert statuses == [503] * 4, statuses
        finally:
            for target in targets:
                target.close()


HEAD = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nResponse-Seal: seal\r\n"
FRAMED = HEAD + "Content-Length: 50\r\n\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
# Time for which bytes on their way reach the node before the connections are reset.
FLUSH_SEC = 0.03
# A client that gives up has closed its connection this long before the crash.
GONE_SEC = 0.15

# What a target writes before it crashes, in pieces, or None if it writes nothing.
# leaves: the client closes its connection before the crash; resets: the connections are reset.
Break = collections.namedtuple("Break", "name written leaves resets", defaults=(False, True))
BREAKS = [
    Break("before a byte", None),
    Break("in the head", HEAD + "Content-Le"),
    Break("after the head", FRAMED),
    Break("in a body with a length", FRAMED + "abc"),
    Break("in a chunk", CHUNKED + "5\r\nab"),
    Break("between chunks", CHUNKED + "2\r\nab\r\n"),
    Break("in a body that ends with the connection", HEAD + "\r\nabc"),
    Break("in a body with a length, the client gone", FRAMED + "abc", True),
    Break("in a body with a length, closed", FRAMED + "abc", resets=False),
    Break("in a chunk, closed", CHUNKED + "5\r\nab", resets=False),
    # Nothing in the response shows that it is not complete.
    Break("in a body that ends with the connection, closed", HEAD + "\r\nabc", resets=False),
]
# More than the time within which losses belong to one crash (1 s).
BROKEN_PERIOD_SEC = 1.2
BROKEN_ROUTES = [("POST", "/f/deep/crash"), ("GET", "/o/crash")]  # the second one is idempotent
# The nodes that get the requests in turn: without a target of the service, or with one. The targets
# that they choose are of the same node or of another one.
ENTRIES = [("through another node", (0,)), ("through the nodes of the targets", (1, 2))]
PARALLEL_BREAKS = 4  # deployments at a time; one after the other, the rows take four minutes


def break_off(broken):
    """Returns the handler of a RestartingTarget that crashes as `broken` states."""
    def handle(target, message):
        if not message["path"].endswith("crash"):
            return serve_or_crash(target, message)
        if not broken.written:
            return None
        text = broken.written.replace("{id}", message["headers"]["request-attempt-id"])
        threading.Timer(GONE_SEC if broken.leaves else FLUSH_SEC, target.crash).start()
        return [text.encode(), b""], True
    return handle


def send_and_leave(deployment, path, method, node):
    """Sends a request and closes the connection once a part of the body has arrived."""
    host, port = deployment.listen_address(node, "outbound").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request(method, path, headers={
        "Host": "h.example", "Request-Attempt-Id": "id-1", "Deadline-Ms": "2000",
        "Authorization": "Bearer key-a"})
    response = connection.getresponse()
    response.read(1)
    connection.close()
    return response.status


def send_broken(deployment, broken, path, method, node):
    """Returns the status, or what was wrong with the response."""
    try:
        if broken.leaves:
            return send_and_leave(deployment, path, method, node)
        return deployment.send(path, method, node=node)[0]
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__


def check_broken(deployment, targets, broken, method, path, nodes):
    """Sends a request whose response breaks off with a crash until it is refused twice in a row;
    returns what is wrong, or None."""
    statuses = []
    earlier = [len(target.crashed_at) for target in targets]
    while len(statuses) < SENDS and statuses[-2:] != [503, 503]:
        start = time.monotonic()
        node = nodes[len(statuses) % len(nodes)]
        statuses.append(send_broken(deployment, broken, path, method, node))
        time.sleep(max(0.0, start + BROKEN_PERIOD_SEC - time.monotonic()))
    crashes = sorted(at for target, count in zip(targets, earlier)
                     for at in target.crashed_at[count:])
    late = [at for at in crashes if at > crashes[min(2, len(crashes) - 1)] + CONTACT_SEC]
    if len(crashes) >= 2 and len(late) <= LATE_RETRIES_MAX and statuses[-1] == 503:
        return None
    return f"{len(crashes)} crashes, {len(late)} of them late, statuses {statuses}"


def check_break(broken):
    """Checks all routes and entries in a deployment of its own; prints what is wrong."""
    with PlatformDeployment() as d:
        targets = use_fragile_targets(d, break_off(broken))
        for target in targets:
            target.resets = broken.resets
        try:
            for method, path in BROKEN_ROUTES:
                for name, nodes in ENTRIES:
                    found = check_broken(d, targets, broken, method,
                                         path.replace("crash", f"{nodes[0]}-crash"), nodes)
                    if found:
                        print(f"{broken.name}, {method}, {name}: {found}", flush=True)
        finally:
            for target in targets:
                target.close()


def run_check_break(index):
    """Runs check_break in a process, which has addresses of its own (ADDRESSES); returns what is
    wrong."""
    child = subprocess.run(
        [sys.executable, os.path.abspath(__file__), str(index)], capture_output=True, text=True,
        check=False, env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)})
    if child.returncode == 0 and not child.stdout:
        return []
    return [f"{child.stdout}{BREAKS[index].name}: exit status {child.returncode}\n{child.stderr}"]


def case_on_platform_crashing_request_broken():
    """A request whose target crashes within the response is refused after few crashes, wherever
    the response breaks off: a part of a response must not count as its completion."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_BREAKS) as pool:
        results = pool.map(run_check_break, range(len(BREAKS)))
        failures = [failure for found in results for failure in found]
    assert not failures, "\n".join(failures)


CUT_RESPONSES = [
    b"", b"HTTP/1.1 200 OK\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: id-1\r\nResponse-Seal: seal\r\n"
    b"Content-Length: 20\r\n\r\nok",
    # Ends with the connection.
    b"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: id-1\r\nResponse-Seal: seal\r\n\r\nok"]
RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: id-1\r\nResponse-Seal: seal\r\n" \
    b"Content-Length: 2\r\n\r\nok"


def case_on_platform_closed_connections():
    """A sound target that closes a connection in place of a response, or inside one, has not
    crashed: the request is not refused as the cause of a crash."""
    with PlatformDeployment() as d:
        back = d.targets[1]
        back.response = (200, {"Connection": "close"})
        assert d.send("/f/deep/x", "POST")[0] == 200
        back.close()
        cut = []

        def respond(message):
            if message["path"] != "/f/deep/cut":
                return RESPONSE, True
            cut.append(message["connection"])
            return CUT_RESPONSES[len(cut) % len(CUT_RESPONSES)], False

        target = RawTarget(back.address, respond)
        try:
            for n in range(4 * len(CUT_RESPONSES)):
                d.report_all()
                # Each response is sent once on a kept connection.
                if n // len(CUT_RESPONSES) % 2:
                    assert d.send(f"/f/deep/kept{n}", "POST")[0] == 200
                try:
                    d.send("/f/deep/cut", "POST")
                except (OSError, http.client.HTTPException):
                    pass  # the response was cut off
                assert len(cut) == n + 1, f"request {n} was not sent to the target"
        finally:
            target.close()


if __name__ == "__main__":
    check_break(BREAKS[int(sys.argv[1])])
