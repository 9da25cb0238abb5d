"""End-to-end cases of clients outside the limits: crowds of connections that send unfinished or slow
requests, or nothing. They check that the nodes live, that their memory and open descriptors stay
under a bound, and that an ordinary request is answered while the crowd is connected. They check no
times and no share of served requests."""

import contextlib
import http.client
import json
import os
import resource
import socket
import ssl
import subprocess
import threading
import time

from deployment import ServingDeployment, key_record
from on_platform import ADDRESSES, PlatformDeployment, wait_for
from on_platform_nodes import METRICS_PORT

MACHINE_BYTES = 160 << 20  # memory of the smallest machine (docs/design/hard-load.md)
# A quarter of the machine is left for its system and the target.
RSS_MAX_BYTES = MACHINE_BYTES * 3 // 4
# What a node may hold once the crowd has left: the target and the next crowd need the rest.
RSS_AFTER_MAX_BYTES = MACHINE_BYTES // 4
DESCRIPTORS = 256  # resource limit of the nodes
# Left for connections to the store, to targets and to peers.
DESCRIPTORS_RESERVED = 16
HEADS = 180  # unfinished heads of short fields; 160 MB in the product before the limits
HEAD_FIELDS = b"a:\r\n" * 8000
# Fields of a head of 16,384 bytes, the most that ordinary clients send.
COMPLETE_HEAD_FIELDS = 4000
CROWD = 300  # more than the node has descriptors
TRICKLE_PERIOD_SEC = 0.5
# More than a connection's buffers hold if the client does not read, and less than would keep
# the target from ending its response.
UNREAD_BODY_BYTES = 100000
UNREAD_BUFFER_BYTES = 2048
UNREAD_TIMEOUT_SEC = 2
LINK_SEGMENT_BYTES = 1400
SLOW_READ_SETTLE_SEC = 6  # until the node's socket takes nothing more for a while
SLOW_READ_BYTES = 250  # each TRICKLE_PERIOD_SEC
# Far more than --head-timeout (10 s) and the time of the operators' listeners (30 s).
HEAD_CLOSED_SEC = 50
ANSWER_TIMEOUT_SEC = 10  # of the ordinary request
LEFT_TIMEOUT_SEC = 30  # until memory has been returned after a crowd
# Of the crowd, not of the ordinary request: longer than a busy machine may take.
HANDSHAKE_TIMEOUT_SEC = 30
CLIENT_HELLO_START = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"  # of 517 bytes
ADDRESS_SHARE_PERCENT = 10  # 16 of the 160 places for callers
# Connections at the same time, by source address. Up to 96 of them are kept after a response. All
# together exceed the places, although none of them has the default share of 50 percent.
ORDINARY = {f"127.1.1.{i}": 10 for i in range(1, 10)}
CROWDS = {"127.1.2.1": 60, "127.1.2.2": 60}


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def open_descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


class LimitedDeployment(ServingDeployment):
    """A deployment in the product's own mode whose nodes have DESCRIPTORS descriptors."""

    def spawn(self, name, command, **options):
        if os.path.basename(command[0]) == "egretscaled":
            options["preexec_fn"] = lambda: resource.setrlimit(
                resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        return super().spawn(name, command, **options)


class Site:
    """A node under test. `addresses`: its listeners by name; `checks`: ordinary requests by the
    listener at which they are sent, as (method, path, headers, body, source address)."""

    def __init__(self, process, addresses, checks, slow_body):
        self.process, self.addresses, self.checks = process, addresses, checks
        self.slow_body = slow_body  # request up to the first byte of a body of 100000 bytes
        self.tls = None  # of the callers' listener

    def answer(self, listener):
        """Sends one ordinary request on a new connection; returns the status, or what failed."""
        method, path, headers, body, source = self.checks[listener]
        host, port = self.addresses[listener].split(":")
        options = {"timeout": ANSWER_TIMEOUT_SEC, "source_address": (source, 0) if source else None}
        connection = http.client.HTTPConnection(host, int(port), **options)
        if self.tls and listener == "caller":
            connection = http.client.HTTPSConnection(host, int(port), context=self.tls, **options)
        try:
            connection.request(method, path, body, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            return repr(error)
        finally:
            connection.close()


def make_certificate(deployment):
    """Returns the flags of a node that serves TLS to callers, and the client's context."""
    key, certificate = deployment.path("tls.key"), deployment.path("tls.crt")
    subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2", "-subj",
                    "/CN=egret", "-keyout", key, "-out", certificate],
                   check=True, capture_output=True)
    context = ssl._create_unverified_context()  # pylint: disable=protected-access
    return [f"--caller-cert={certificate}", f"--caller-key={key}"], context


@contextlib.contextmanager
def own_site(flags=(), tls=False):
    layout = {"zones": ["za"], "services": [
        {"name": "back", "instances": 1, "slots": 20, "service_ms": 5}]}
    fields = {"schema_version": 1, "service": "back", "importance": 5, "timeout_ms": 20000}
    records = [{"kind": "client_account", "name": "a", "schema_version": 1, "rate": 1000,
                "burst": 500}, key_record("a-1", "a", "key-a"),
               {"kind": "route", "name": "write", "prefix": "/write", **fields}]
    key = {"Authorization": "Bearer key-a"}
    deployment = LimitedDeployment(layout, records, flags=flags)
    tls_flags, context = make_certificate(deployment) if tls else ([], None)
    deployment.flags += tls_flags
    with deployment as d:
        node = d.nodes[0]
        report = json.dumps({"service": "back", "address": node.address["target"], "slots": 20,
                             "cold_slots": 20}).encode()
        site = Site(node.process, node.address, {
            "caller": ("POST", "/write/x", key, b"", None),
            "outbound": ("PUT", "/v1/target", {}, report, None),
            "admin": ("GET", "/metrics", {}, None, None)},
            b"POST /write/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-a\r\n"
            b"Content-Length: 100000\r\n\r\n")
        site.tls = context
        wait_for("a request to be served", lambda: site.answer("caller") == 200, 20)
        answers = {listener: site.answer(listener) for listener in site.checks}
        assert set(answers.values()) == {200}, f"without a crowd: {answers}"
        yield site


@contextlib.contextmanager
def platform_site():
    with PlatformDeployment() as d:
        headers = {"Host": "h.example", "Request-Attempt-Id": "id-1", "Deadline-Ms": "2000",
                   "Authorization": "Bearer key-a"}
        target = d.targets[0]
        target.sequence = 1000
        report = json.dumps({
            "service": target.service, "address": target.address, "zone": "za", "version": "v1",
            "slots": 20, "state": "ready", "cold_remaining": "0ms", "born": target.started_ms,
            "sequence": target.sequence}).encode()
        addresses = {name: d.listen_address(0, name)
                     for name in ("peer", "outbound", "readiness", "control")}
        addresses["metrics"] = f"{d.node_ip(0)}:{METRICS_PORT}"
        site = Site(d.daemons[0], {**addresses, "caller": addresses["outbound"]}, {
            "caller": ("POST", "/f/deep/x", headers, b"", None),
            "readiness": ("GET", "/ready", {}, None, None),
            "metrics": ("GET", "/metrics", {}, None, None),
            "control": ("PUT", "/instances/i-1", {}, report, ADDRESSES[0])},
            b"POST /f/deep/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: slow\r\n"
            b"Deadline-Ms: 3000\r\nAuthorization: Bearer key-a\r\nContent-Length: 100000\r\n\r\n")
        site.target = target
        # Keeps the targets ready while the crowd is there.
        ends = threading.Event()

        def report_on():
            while not ends.wait(1):
                with contextlib.suppress(OSError):
                    d.report_all()
        thread = threading.Thread(target=report_on)
        thread.start()
        try:
            yield site
        finally:
            ends.set()
            thread.join()


class Crowd:
    """Connections to one listener. Each sends `first`, then a byte of `repeated` each
    TRICKLE_PERIOD_SEC. Those that the node closes stay closed."""

    def __init__(self, address, count, first, repeated, tls=None, source=None):
        """tls: the context of clients that complete the handshake. source: their address."""
        host, port = address.split(":")
        self.first, self.repeated = first, repeated
        self.connections, self.ends = [], threading.Event()
        for _ in range(count):
            connection = socket.socket()
            if source:
                connection.bind((source, 0))
            if tls:
                connection.settimeout(HANDSHAKE_TIMEOUT_SEC)
                connection = tls.wrap_socket(connection)
                connection.connect((host, int(port)))
            connection.setblocking(False)
            if not tls:
                connection.connect_ex((host, int(port)))
            self.connections.append(connection)
        self.round = threading.Event()  # each connection has sent `first` and some of `repeated`
        self.thread = threading.Thread(target=self.send)

    def send(self):
        unsent = {connection: self.first for connection in self.connections}
        for n in range(1 << 30):
            for connection in self.connections:
                data = unsent[connection] or self.repeated[n % max(len(self.repeated), 1):][:1]
                try:
                    unsent[connection] = data[connection.send(data):] if data else b""
                except OSError:
                    pass  # no room, or closed by the node
            if n > 4:
                self.round.set()
            if self.ends.wait(TRICKLE_PERIOD_SEC if n > 4 else 0.1):
                return

    def __enter__(self):
        self.thread.start()
        assert self.round.wait(30)
        return self

    def __exit__(self, *unused):
        self.ends.set()
        self.thread.join()
        for connection in self.connections:
            connection.close()


def connect_unread(address):
    """Connects with buffers as on a real link: on loopback, the node's socket would take 2.6 MB."""
    host, port = address.split(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, LINK_SEGMENT_BYTES)
    connection.settimeout(ANSWER_TIMEOUT_SEC)
    connection.connect((host, int(port)))
    return connection


class SlowReader:
    """A client that reads its response slowly until `read_fast` is set."""

    def __init__(self, address, request):
        self.connection, self.received, self.read_fast = connect_unread(address), b"", threading.Event()
        self.connection.sendall(request)
        self.thread = threading.Thread(target=self.read)
        self.thread.start()

    def read(self):
        with contextlib.suppress(OSError):
            while self.body_bytes() < UNREAD_BODY_BYTES:
                data = self.connection.recv(65536 if self.read_fast.is_set() else SLOW_READ_BYTES)
                if not data:
                    return
                self.received += data
                self.read_fast.wait(TRICKLE_PERIOD_SEC)

    def body_bytes(self):
        return len(self.received.partition(b"\r\n\r\n")[2])

    def end(self):
        """Returns the length of the body."""
        self.read_fast.set()
        self.thread.join()
        self.connection.close()
        return self.body_bytes()


class UnreadResponses:
    """Connections that have each sent a request and do not read its response. Each then sends a
    byte of `next_head` each TRICKLE_PERIOD_SEC."""

    def __init__(self, address, count, request, next_head=b""):
        self.connections, self.next_head, self.ends = [], next_head, threading.Event()
        self.thread = threading.Thread(target=self.send)
        for _ in range(count):
            try:
                connection = connect_unread(address)
                self.connections.append(connection)
                connection.settimeout(UNREAD_TIMEOUT_SEC)
                connection.sendall(request)
                connection.recv(1, socket.MSG_PEEK)
            except OSError:
                break  # all places are taken

    def send(self):
        for n in range(len(self.next_head)):
            if self.ends.wait(TRICKLE_PERIOD_SEC):
                return
            for connection in self.connections:
                with contextlib.suppress(OSError):  # closed by the node
                    connection.send(self.next_head[n:n + 1], socket.MSG_DONTWAIT)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.ends.set()
        self.thread.join()
        for connection in self.connections:
            connection.close()


class Peaks:
    """Measures the highest memory and number of descriptors of a process."""

    def __init__(self, process):
        self.process, self.rss, self.descriptors = process, 0, 0
        self.ends = threading.Event()
        self.thread = threading.Thread(target=self.measure)

    def measure(self):
        while not self.ends.wait(0.02) and self.process.poll() is None:
            self.rss = max(self.rss, resident_bytes(self.process.pid))
            self.descriptors = max(self.descriptors, open_descriptors(self.process.pid))

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.ends.set()
        self.thread.join()


def check_crowd(site, name, listener, count, first, repeated, asked, tls=None):
    """Returns what is wrong while the crowd is connected. asked: the listeners that are to answer
    an ordinary request."""
    crowd = Crowd(site.addresses[listener], count, first, repeated, tls)
    return check_crowds(site, name, listener, [crowd], asked)


def check_crowds(site, name, listener, crowds, asked, ask=dict):
    """ask: sends further requests while the crowds are connected; returns answers by name."""
    with Peaks(site.process) as peaks, contextlib.ExitStack() as stack:
        for crowd in crowds:
            stack.enter_context(crowd)
        answers = {other: site.answer(other) for other in asked}
        answers.update(ask())
    descriptors_max = DESCRIPTORS - DESCRIPTORS_RESERVED
    print(f"  {name} at {listener}: {peaks.rss >> 20} MB, {peaks.descriptors} descriptors, "
          f"{answers}", flush=True)
    found = {
        "the node ended": site.process.poll() is not None,
        f"{peaks.rss >> 20} MB resident": peaks.rss > RSS_MAX_BYTES,
        f"{peaks.descriptors} descriptors": peaks.descriptors > descriptors_max,
        f"answers {answers}": set(answers.values()) != {200},
    }
    return [f"{name} at {listener}: {what}" for what, wrong in found.items() if wrong]


def kinds(site):
    """The crowds that send slowly, as (name, first, repeated)."""
    return [("nothing", b"", b""), ("a head", b"", b"GET /x HTTP/1.1\r\nX-A: " + b"y" * 999),
            ("empty lines", b"", b"\r\n"), ("a body", site.slow_body, b"z")]


def check_listeners(open_site, listeners):
    """Sends each kind of crowd to each listener of a site."""
    failures = []
    with open_site() as site:
        for listener in listeners:
            for name, first, repeated in kinds(site):
                if listener == "peer" and name == "a body":
                    continue  # peers send no requests
                asked = [n for n in (listener, "caller") if n in site.checks]
                failures += check_crowd(site, name, listener, CROWD, first, repeated,
                                        list(dict.fromkeys(asked)))
                if site.process.poll() is not None:
                    break
    assert not failures, "\n".join(failures)


def check_heads(open_site, listener):
    """Sends unfinished heads of many short fields to a listener of a site."""
    with open_site() as site:
        first = b"GET /x HTTP/1.1\r\n" + HEAD_FIELDS
        failures = check_crowd(site, "short fields", listener, HEADS, first, b"", ["caller"])
        with Peaks(site.process) as peaks:
            answers = {site.answer("caller") for _ in range(20)}
        if answers != {200} or peaks.rss > RSS_MAX_BYTES:
            failures.append(f"afterwards: answers {answers}, {peaks.rss >> 20} MB")
        try:
            wait_for("memory to be returned", lambda: resident_bytes(site.process.pid) <=
                     RSS_AFTER_MAX_BYTES, LEFT_TIMEOUT_SEC)
        except AssertionError:
            failures.append(f"{resident_bytes(site.process.pid) >> 20} MB after the crowd")
    assert not failures, "\n".join(failures)


def check_complete_heads(open_site):
    """Sends complete heads of as many fields as an ordinary client may send, with a slow body."""
    with open_site() as site:
        first = site.slow_body[:-2] + b"a:\r\n" * COMPLETE_HEAD_FIELDS + b"\r\n"
        failures = check_crowd(site, "complete heads", "caller", HEADS, first, b"z", ["caller"])
    assert not failures, "\n".join(failures)


def case_outside_complete_heads():
    """Complete heads of many short fields, which are also copied for their requests, keep a node
    within its machine while their bodies are unfinished."""
    check_complete_heads(own_site)


def case_on_platform_outside_complete_heads():
    """The same on the platform."""
    check_complete_heads(platform_site)


def case_outside_heads():
    """Unfinished heads of many short fields, each of which takes far more memory than its bytes,
    keep a node within its machine, also after requests, and their memory is returned."""
    check_heads(own_site, "caller")


def case_outside_heads_target():
    """The same at the listener for the target's outbound calls."""
    check_heads(own_site, "outbound")


def case_on_platform_outside_heads():
    """The same on the platform."""
    check_heads(platform_site, "caller")


def case_on_platform_outside_heads_report():
    """The same at the platform's listener for target reports."""
    check_heads(platform_site, "control")


def send_slowly(address, first, byte, failures):
    """Sends `first`, then a byte each second until the node closes the connection."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(first)
        connection.settimeout(1)
        for _ in range(HEAD_CLOSED_SEC):
            try:
                connection.sendall(byte)
                if not connection.recv(65536):
                    return
            except socket.timeout:
                pass
            except OSError:
                return
    failures.append(f"{address}: {byte} is still read after {HEAD_CLOSED_SEC} s")


def case_outside_slow_heads():
    """A head that arrives a byte each second, or empty lines without end, end with the connection
    although no place is needed: bytes must not extend the time for a head."""
    failures = []
    with own_site() as site:
        threads = [threading.Thread(target=send_slowly, args=(
            site.addresses[listener], first, byte, failures))
            for listener in ("caller", "outbound", "admin", "peer")
            for first, byte in ((b"GET /x HTTP/1.1\r\nX-A: ", b"y"), (b"", b"\n"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert site.answer("caller") == 200
    assert not failures, "\n".join(failures)


def case_outside_callers():
    """Crowds that take all places of the callers' listener."""
    check_listeners(own_site, ["caller"])


def case_outside_ports():
    """Crowds at the listeners for peers, for the target and for operators do not take the
    descriptors that serve callers."""
    check_listeners(own_site, ["peer", "outbound", "admin"])


def case_on_platform_outside_callers():
    """Crowds that take all places of the listener for requests."""
    check_listeners(platform_site, ["caller"])


UNREAD_REQUEST = (
    b"GET /f/x HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: unread\r\n"
    b"Deadline-Ms: 5000\r\nAuthorization: Bearer key-a\r\n\r\n")


def case_on_platform_outside_slow_reader():
    """A client that reads its response slowly gets all of it, although its place is the oldest and
    the other places are taken by clients that do not read."""
    with platform_site() as site:
        site.target.body = b"r" * UNREAD_BODY_BYTES
        reader = SlowReader(site.addresses["caller"], UNREAD_REQUEST)
        time.sleep(SLOW_READ_SETTLE_SEC)
        with UnreadResponses(site.addresses["caller"], CROWD, UNREAD_REQUEST):
            answer = site.answer("caller")
        length = reader.end()
        assert answer == 200 and length == UNREAD_BODY_BYTES, (answer, length)


def case_on_platform_outside_unread():
    """Clients that send a request each and never read its response do not keep the places of the
    callers' listener, although the responses have begun, nor if they go on sending."""
    for next_head in (b"", UNREAD_REQUEST):
        with platform_site() as site:
            site.target.body = b"r" * UNREAD_BODY_BYTES
            with Peaks(site.process) as peaks, UnreadResponses(
                    site.addresses["caller"], CROWD, UNREAD_REQUEST, next_head) as crowd:
                answer = site.answer("caller")
            print(f"  {len(crowd.connections)} connections, {peaks.rss >> 20} MB, "
                  f"{peaks.descriptors} descriptors, {answer}", flush=True)
            assert site.process.poll() is None and answer == 200, (next_head[:3], answer)
            assert peaks.rss <= RSS_MAX_BYTES
            assert peaks.descriptors <= DESCRIPTORS - DESCRIPTORS_RESERVED


def case_on_platform_outside_ports():
    """Crowds at the platform's listeners for peers, reports and readiness."""
    check_listeners(platform_site, ["peer", "control", "readiness"])


def check_all_ports(open_site, listeners):
    """Sends each kind of crowd to all listeners of a site at the same time."""
    failures = []
    with open_site() as site:
        for name, first, repeated in kinds(site):
            crowds = [Crowd(site.addresses[listener], CROWD, first, repeated)
                      for listener in listeners if listener != "peer" or name != "a body"]
            failures += check_crowds(site, name, "all ports", crowds, site.checks)
    assert not failures, "\n".join(failures)


def case_outside_all_ports():
    """Crowds at all ports at the same time do not use up the descriptors together, although each
    listener keeps to its part."""
    check_all_ports(own_site, ["caller", "outbound", "peer", "admin"])


def case_on_platform_outside_all_ports():
    """The same on the platform, with the port for metrics."""
    check_all_ports(platform_site, ["caller", "control", "peer", "readiness", "metrics"])


def case_outside_tls():
    """Callers with TLS: neither crowds that do not end a handshake nor those that send unfinished
    requests after it take all places for callers, or more memory for their sessions than the machine
    has."""
    failures = []
    with own_site(tls=True) as site:
        unfinished = [("no handshake", b"", b""),
                      ("a part of a handshake", CLIENT_HELLO_START, b"y" * 400)]
        for name, first, repeated in unfinished:
            failures += check_crowd(site, name, "caller", CROWD, first, repeated, ["caller"])
        for name, first, repeated in kinds(site):
            failures += check_crowd(site, f"{name} with TLS", "caller", CROWD, first, repeated,
                                    ["caller"], site.tls)
        answers = {site.answer("caller") for _ in range(20)}
        if answers != {200}:
            failures.append(f"afterwards: answers {answers}")
    assert not failures, "\n".join(failures)


def case_outside_addresses():
    """Crowds of two addresses that each have more than --address-share do not displace ordinary
    callers of other addresses, whose connections are idle and older."""
    failures = []
    with own_site(flags=[f"--address-share={ADDRESS_SHARE_PERCENT}"]) as site, \
            contextlib.ExitStack() as stack:
        method, path, headers, body, _ = site.checks["caller"]
        host, port = site.addresses["caller"].split(":")
        ordinary = [http.client.HTTPConnection(host, int(port), timeout=ANSWER_TIMEOUT_SEC,
                                               source_address=(source, 0))
                    for source, count in ORDINARY.items() for _ in range(count)]

        def answer(connection):
            try:
                connection.request(method, path, body, headers)
                response = connection.getresponse()
                response.read()
                return response.status
            except (OSError, http.client.HTTPException) as error:
                return repr(error)

        def ask():
            answers = [answer(connection) for connection in ordinary]
            return {f"ordinary {n}": found for n, found in enumerate(answers) if found != 200}
        for connection in ordinary:
            stack.callback(connection.close)
            assert answer(connection) == 200 and connection.sock, "not kept without a crowd"
        crowds = [Crowd(site.addresses["caller"], count, b"", b"GET /x", source=source)
                  for source, count in CROWDS.items()]
        failures += check_crowds(site, "a head", "addresses", crowds, ["caller"], ask)
    assert not failures, "\n".join(failures)
