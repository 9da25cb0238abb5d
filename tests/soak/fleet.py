"""The processes of a soak: the platform, nodes behind relays to the store, and targets."""

import hashlib
import http.client
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(os.path.dirname(HERE), name) for name in ("harness", "e2e")]
# pylint: disable=wrong-import-position
from deployment import Deployment, free_base_port  # noqa: E402
from on_platform import PORTS, PlatformDeployment, wait_for  # noqa: E402
from on_platform_restored import restore  # noqa: E402
from restarting_target import RestartingTarget  # noqa: E402

CONTACT_SEC = 3.0  # undisturbed for this long, nodes are bound by the times of the settings
GRACE_SEC = 6.0  # from SIGTERM to SIGKILL
PORTS_OF_NODE = len(PORTS) + 1  # and its relay to the store
RATE = 20000  # of the account; above what the clients send
READY_SEC = 20
BYTES_MAX = 3000  # longest part of a body
LARGE_BYTES = 100000  # of a response to a path with the end /large
TIMING_SLACK_SEC = 0.5  # of this program, which shares the machine with the nodes
ZONES = ("za", "zb")  # each has nodes of both services
ZONE_BIAS = 0.8  # share of new connections that go to the zone with more load
CANARY_SHARE, CANARY_SLACK = 0.1, 50
OLD_VERSION, GOOD_VERSION, BAD_VERSION = "v1", "v2", "v3"
BAD_SHARE = 0.5  # of the responses of the bad version
PAUSE_SEC = 1.0  # a node that was paused learns of a verdict this long afterwards
WRITE_SEC = 10  # the operator repeats a write that fails
ERRORS = (OSError, AssertionError, ValueError, KeyError, http.client.HTTPException)


def response_body(request_id):
    """The body that a target sends in response to a request, whatever target runs it."""
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    return (digest * (1 + int(digest[:4], 16) % BYTES_MAX // 64)).encode()


class Run:
    """A request that a target began to run."""

    def __init__(self, message, target):
        self.at, self.path, self.body = time.monotonic(), message["path"], message["body"]
        self.instance, self.headers = target.instance_id, message["headers"]
        self.service, self.version = target.service, target.version


class Fleet(PlatformDeployment):
    """N nodes, each with a target of the service front or back; `runs` has the requests that
    targets ran, by id. The store is reached through one relay for each node."""

    def __init__(self, seed, count):
        super().__init__(use_secret_file=True)
        self.count, self.rand = count, random.Random(seed)
        self.base_port = free_base_port(PORTS_OF_NODE)
        self.network = 16 + os.getpid() % 200  # addresses 127.NETWORK.0.x
        self.lock, self.runs, self.relays = threading.Lock(), {}, []
        self.disturbed_until = 0.0  # time.monotonic(); nodes or store, also in the future
        # pids of nodes that were ended, and of those that were killed; violations
        self.expected_ends, self.killed, self.failures = set(), set(), []
        self.pauses = []  # of nodes, as [begin, end]
        self.bad_share = BAD_SHARE
        self.loaded_zone = None  # zone that gets more load than the other
        # The operator's rows: value and time of the last write by key, and the times at which a
        # row was written again after the store had lost it.
        self.operator_lock, self.revision = threading.RLock(), 0
        self.written, self.written_again = {}, {}

    def node_ip(self, i):
        return f"127.{self.network}.0.{i + 2}"

    def node_service(self, i):
        return "front" if i % 3 == 0 else "back"

    def node_zone(self, i):
        return ZONES[i % len(ZONES)]

    def settings(self, i):
        settings = super().settings(i)
        settings.update(zone=self.node_zone(i), zones={zone: "r" for zone in ZONES})
        settings["bounds"].update(canary_share=CANARY_SHARE, canary_slack=CANARY_SLACK,
                                  rollback="5s")
        return settings

    def pick_node(self, rand):
        """Returns the index of a node for a client's connection."""
        if self.loaded_zone and rand.random() < ZONE_BIAS:
            return rand.choice([i for i in range(self.count)
                                if self.node_zone(i) == self.loaded_zone])
        return rand.randrange(self.count)

    def configure(self, **options):
        with self.operator_lock:
            self.revision += 1
            super().configure(rate=RATE, version=f"r{self.revision}", **options)

    def write_row(self, key, value):
        with self.operator_lock:
            wait_for(f"the row {key}", lambda: self.try_row(key, value), WRITE_SEC)
            self.written[key] = (value, time.monotonic())

    def try_row(self, key, value):
        try:
            super().write_row(key, value)
            return True
        except ERRORS:
            return False

    def restore_store(self, copied):
        """The store comes back from the copy. Returns the rows that the operator has to write
        again, with their values."""
        with self.operator_lock:
            self.disturb()
            restore(self)
            self.disturb()
            return {key: value for key, (value, at) in self.written.items() if at > copied}

    def write_again(self, rows):
        for key, value in rows.items():
            with self.operator_lock:
                if self.written[key][0] == value:
                    self.write_row(key, value)
                    self.written_again.setdefault(key, []).append(time.monotonic())

    def __enter__(self):
        Deployment.__enter__(self)
        try:
            self.platform_drill("begin")
            self.configure()
            for i in range(self.count):
                self.relays.append(self.add_store_relay(i))
                self.daemons.append(self.start_node(i))
            for i in range(self.count):
                wait_for(f"node {i} to be ready", lambda i=i: self.ready(i), READY_SEC)
                self.targets.append(RestartingTarget(
                    self.listen_address(i, "app"), self.listen_address(i, "control"),
                    self.node_service(i), self.handle, self.node_zone(i)))
            wait_for("requests to be served", self.serves, READY_SEC)
        except BaseException:
            self.__exit__()
            raise
        return self

    def serves(self):
        """Whether each node serves requests of each service."""
        return all(self.send(path, method, node=i)[0] == 200 for i in range(self.count)
                   for path, method in (("/f/warm", "GET"), ("/f/deep/warm", "POST")))

    def handle(self, target, message):
        """Runs a request on a target."""
        headers = message["headers"]
        request_id = headers.get("request-attempt-id", "")
        if headers.get("expect-instance") != target.instance_id:
            return (f"HTTP/1.1 421 X\r\nRequest-Attempt-Id: {request_id}\r\n"
                    "Content-Length: 0\r\n\r\n").encode(), True
        with self.lock:
            self.runs.setdefault(request_id, []).append(Run(message, target))
            work, fault, chunked = self.rand.random(), self.rand.random(), self.rand.random() < 0.3
            failed = target.version == BAD_VERSION and self.rand.random() < self.bad_share
        if message["path"].endswith("/crash"):
            return None
        time.sleep(0.3 if work > 0.97 else work * 0.03)
        body = response_body(request_id)
        if message["path"].endswith("/large"):
            body = body[:1] * LARGE_BYTES
        head = (f"HTTP/1.1 {500 if failed else 200} X\r\nRequest-Attempt-Id: {request_id}\r\n"
                f"Response-Seal: {hashlib.sha256(body).hexdigest()}\r\n")
        response = self.frame(head, body, chunked)
        if fault < getattr(target, "fault_share", 0):
            return self.spoil(response, fault / target.fault_share)
        return response, True

    @staticmethod
    def frame(head, body, chunked):
        if not chunked:
            return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
        half = len(body) // 2
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + b"".join(
            b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:], b""))

    @staticmethod
    def spoil(response, kind):
        """A faulty response: none, cut off, no HTTP, or followed by a second one."""
        if kind < 0.25:
            return b"", False
        if kind < 0.5:
            return response[:int(len(response) * kind)], False
        if kind < 0.75:
            return b"\x16\x03junk " * 400, True
        return response + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", True

    def disturb(self, seconds=0.0):
        """Notes a disturbance that lasts from now on for some seconds."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def calm_since(self, start):
        """Whether nothing disturbed the nodes from CONTACT_SEC before `start` on."""
        return self.disturbed_until < start - CONTACT_SEC

    def pause(self, nodes, seconds):
        """Stops the processes of nodes for some seconds."""
        processes = [self.daemons[i] for i in nodes]
        self.disturb(seconds)
        pause = [time.monotonic(), float("inf")]
        self.pauses.append(pause)
        for process in processes:
            process.was_paused = True
            process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        for process in processes:
            process.send_signal(signal.SIGCONT)
        pause[1] = time.monotonic()
        self.disturb()

    def was_paused(self, at):
        """Whether a node was paused then or shortly before."""
        return any(begin < at < end + PAUSE_SEC for begin, end in self.pauses)

    def is_up(self, i):
        return self.daemons[i].poll() is None

    def kill_node(self, i):
        self.disturb()
        self.expected_ends.add(self.daemons[i].pid)
        self.killed.add(self.daemons[i].pid)
        self.daemons[i].send_signal(signal.SIGCONT)
        self.daemons[i].kill()
        self.daemons[i].wait()

    def stop_node(self, i):
        """SIGTERM, and SIGKILL at the end of the grace time, which must not be needed."""
        self.disturb()
        node = self.daemons[i]
        self.expected_ends.add(node.pid)
        node.send_signal(signal.SIGTERM)
        try:
            status = node.wait(GRACE_SEC)
        except Exception:  # pylint: disable=broad-except
            node.kill()
            status = "SIGKILL after the grace time"
            node.wait()
        # It may have been killed, or paused, while it stopped.
        if status != 0 and node.pid not in self.killed and \
                not getattr(node, "was_paused", False):
            self.failures.append(f"node {i}, stopped by SIGTERM, ended with {status}")

    def start_again(self, i):
        self.disturb()
        if not self.is_up(i):
            self.daemons[i] = self.start_node(i)

    def check_own_ends(self):
        """Notes nodes that ended although nobody ended them."""
        for i, node in enumerate(self.daemons):
            if node.poll() is not None and node.pid not in self.expected_ends:
                self.expected_ends.add(node.pid)
                self.failures.append(f"node {i} ended by itself with {node.returncode}")

    def cut_store(self, i, cut):
        self.disturb()
        self.relays[i].stdin.write(b"cut\n" if cut else b"heal\n")
        self.relays[i].stdin.flush()
