"""End-to-end cases of targets and callers that send bytes without end, until the node closes the
connection: memory stays bounded, the connection is closed, and other requests are served."""

import collections
import http.client
import os
import socket
import socketserver
import threading
import time
import unittest.mock

from on_platform import ADDRESSES, PlatformDeployment, wait_for

TIMEOUT_MS = 1200  # Deadline-Ms of the requests
# A response ends, or its connection is closed, within this time after the deadline.
END_SLACK_SEC = 0.5
MEMORY_GROWTH_MAX_BYTES = 16 << 20
BLOCK = b"x" * 16384

START = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nResponse-Seal: seal\r\n"
# first: bytes in front of those that are repeated without end; precedes_complete: whether they hold
# a complete response; pause_sec: between the two.
Response = collections.namedtuple("Response", "name first repeated precedes_complete pause_sec",
                                  defaults=(0,))
RESPONSES = [Response(*row) for row in [
    ("bytes without a status line", "", BLOCK, False),
    ("lines without a status line", "", b"junk\r\n" * 2000, False),
    ("a header line", START + "X-Junk: ", BLOCK, False),
    ("header lines", START, b"X-Junk: " + b"y" * 200 + b"\r\n", False),
    ("interim responses", "", b"HTTP/1.1 100 Continue\r\nX-Junk: y\r\n\r\n" * 200, False),
    ("a body without a length", START + "\r\n", BLOCK, False),
    ("a body of one chunk", START + "Transfer-Encoding: chunked\r\n\r\nfffffff0\r\n", BLOCK, False),
    ("a chunk size", START + "Transfer-Encoding: chunked\r\n\r\n1;", BLOCK, False),
    ("trailers", START + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
     b"X-Junk: y\r\n" * 1000, False),
    ("bytes after a complete response", START + "Content-Length: 2\r\n\r\nok", BLOCK, True),
    ("bytes between two responses", START + "Content-Length: 2\r\n\r\nok", BLOCK, True, 0.2),
    ("interim responses after a complete response", START + "Content-Length: 2\r\n\r\nok",
     b"HTTP/1.1 100 Continue\r\n\r\n" * 400, True, 0.2),
    ("a body that the status excludes", START.replace("200 OK", "204 X") + "\r\n", BLOCK, True),
    ("a head of another protocol", "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
     BLOCK, False),
    ("two lengths", START + "Content-Length: 2\r\nContent-Length: 4000000000\r\n\r\n", BLOCK,
     False),
]]


class EndlessTarget:
    """Answers each request with the bytes of `response`, and counts the connections that still
    receive bytes."""

    def __init__(self, address):
        target = self
        self.response, self.sending, self.sent_bytes = None, 0, 0
        self.lock = threading.Lock()

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                head = b""
                while b"\r\n\r\n" not in head:
                    data = self.request.recv(65536)
                    if not data:
                        return
                    head += data
                request_id = head.partition(b"Request-Attempt-Id: ")[2].split(b"\r\n")[0].decode()
                response = target.response
                with target.lock:
                    target.sending += 1
                try:
                    self.request.sendall(response.first.replace("{id}", request_id).encode())
                    time.sleep(response.pause_sec)
                    while True:
                        self.request.sendall(response.repeated)
                        with target.lock:
                            target.sent_bytes += len(response.repeated)
                except OSError:
                    pass  # the node closed the connection
                with target.lock:
                    target.sending -= 1

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def resident_bytes(process):
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


def send_until_end(deployment, method, source=None):
    """Sends a request for the endless target, as the target of node 0 if `source` is its address;
    returns the status (0 if the connection ended before one), whether the body was complete, and
    the duration."""
    host, port = deployment.listen_address(0, "outbound").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10,
                                            source_address=(source, 0) if source else None)
    start = time.monotonic()
    status, complete = 0, False
    try:
        connection.request(method, "/f/x" if method == "GET" else "/f/deep/x", headers={
            "Host": "h.example", "Request-Attempt-Id": "endless", "Deadline-Ms": str(TIMEOUT_MS),
            **({} if source else {"Authorization": "Bearer key-a"})})
        response = connection.getresponse()
        status = response.status
        while response.read(65536):
            pass
        complete = True
    except (http.client.HTTPException, socket.timeout, OSError):
        pass
    connection.close()
    return status, complete, time.monotonic() - start


class PeakMemory:
    """Measures how much the resident memory of a deployment's nodes grows at most."""

    PERIOD_SEC = 0.02

    def __init__(self, deployment):
        self.daemons = deployment.daemons
        self.before = [resident_bytes(process) for process in self.daemons]
        self.growth, self.ends = 0, False
        self.thread = threading.Thread(target=self.measure)

    def measure(self):
        while not self.ends:
            now = [resident_bytes(process) for process in self.daemons]
            self.growth = max([self.growth] + [n - b for n, b in zip(now, self.before)])
            time.sleep(self.PERIOD_SEC)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *unused):
        self.ends = True
        self.thread.join()


def check_response(deployment, target, response, method, source=None):
    """Sends one request to the endless target and returns what it finds wrong."""
    target.response, target.sent_bytes = response, 0
    limit = TIMEOUT_MS / 1000 + END_SLACK_SEC
    with PeakMemory(deployment) as memory:
        status, complete, duration = send_until_end(deployment, method, source)
        time.sleep(max(0.0, limit + response.pause_sec - duration))
    success = 204 if " 204 " in response.first else 200
    valid = (status, complete) == (success, True) if response.precedes_complete else \
        status in (502, 503, 504) or not complete
    found = {
        f"status {status}, complete {complete}": not valid,
        f"ended after {duration:.2f} s": duration > limit,
        "the node keeps reading": target.sending > 0,
        f"memory grew by {memory.growth} bytes, {target.sent_bytes} were sent":
            memory.growth > MEMORY_GROWTH_MAX_BYTES,
        "a node ended": any(process.poll() is not None for process in deployment.daemons),
    }
    sender = "a target" if source else "a client"
    return [f"{response.name}, {method} of {sender}: {what}"
            for what, wrong in found.items() if wrong]


def bounded_deployment():
    """Returns a PlatformDeployment whose nodes do not count freed memory as growth in a run with
    the address sanitizer."""
    options = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"
    with unittest.mock.patch.dict(os.environ, ASAN_OPTIONS=options):
        return PlatformDeployment()


def use_endless_target(deployment, i):
    """Lets node i use an EndlessTarget instead of its target."""
    target = deployment.targets[i]
    # Closes the connection that the node keeps to the target.
    target.response = (200, {"Connection": "close"})
    assert deployment.send(*(("/f/x", "GET"), ("/f/deep/x", "POST"))[i])[0] == 200
    target.close()
    return EndlessTarget(target.address)


def case_on_platform_endless():
    """A target that sends bytes without end, in a head or a body, between responses or behind
    them, costs a node bounded memory and only the time of the request, and never looks like a
    complete response. It is the same where another target has made the request."""
    failures = []
    with bounded_deployment() as d:
        for i, method in enumerate(("GET", "POST")):
            endless = use_endless_target(d, i)
            try:
                for response in RESPONSES:
                    d.report_all()
                    failures += check_response(d, endless, response, method)
                    if method == "POST":
                        d.report_all()
                        failures += check_response(d, endless, response, method, ADDRESSES[0])
            finally:
                endless.close()
    assert not failures, "\n".join(failures)


SLOW_READERS = 40
BODY_RESPONSES = [row for row in RESPONSES if row.name in ("a body without a length",
                                                           "a body of one chunk")]


def case_on_platform_endless_slow_readers():
    """Clients that do not read the endless body of a response cost the nodes bounded memory, the
    connections to the target are closed in time, and other requests are served."""
    with bounded_deployment() as d:
        endless = use_endless_target(d, 1)
        address = d.listen_address(0, "outbound").split(":")
        try:
            for response in BODY_RESPONSES:
                endless.response = response
                d.report_all()
                with PeakMemory(d) as memory:
                    readers = [socket.create_connection((address[0], int(address[1])))
                               for _ in range(SLOW_READERS)]
                    for n, reader in enumerate(readers):
                        reader.sendall(f"GET /o/x HTTP/1.1\r\nHost: h.example\r\n"
                                       f"Request-Attempt-Id: slow-{n}\r\n"
                                       f"Deadline-Ms: {TIMEOUT_MS}\r\n\r\n".encode())
                    wait_for("the target to send", lambda: endless.sending > 0, 1)
                    assert d.send("/f/x")[0] == 200
                    time.sleep(TIMEOUT_MS / 1000 + END_SLACK_SEC)
                    assert endless.sending == 0, endless.sending
                    assert d.send("/f/x")[0] == 200
                for reader in readers:
                    reader.close()
                assert memory.growth <= MEMORY_GROWTH_MAX_BYTES, (response.name, memory.growth)
        finally:
            endless.close()


HEAD = "Host: h.example\r\nRequest-Attempt-Id: caller\r\nDeadline-Ms: 1200\r\n"
# (name, listener, first bytes, bytes repeated without end)
CALLERS = [
    ("a request line", "outbound", "GET /", BLOCK),
    ("a header line", "outbound", f"GET /o/x HTTP/1.1\r\n{HEAD}X-Junk: ", BLOCK),
    ("header lines", "outbound", f"GET /o/x HTTP/1.1\r\n{HEAD}", b"X-Junk: y\r\n" * 1000),
    ("a body of one chunk", "outbound",
     f"POST /o/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\nfffffff0\r\n", BLOCK),
    ("trailers", "outbound",
     f"POST /o/x HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
     b"X-Junk: y\r\n" * 1000),
    ("bytes behind a request", "outbound", f"GET /o/x HTTP/1.1\r\n{HEAD}\r\n", BLOCK),
    ("the head of a report", "control", "PUT /instances/i-1 HTTP/1.1\r\nX-Junk: ", BLOCK),
    ("the body of a report", "control",
     "PUT /instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000000\r\n\r\n", BLOCK),
    ("a report in chunks", "control",
     "PUT /instances/i-1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffff0\r\n",
     BLOCK),
]
CALLER_END_SEC = 4.0


def send_without_end(address, source, first, repeated):
    """Returns how many bytes the node took until it closed the connection, or did not read for
    CALLER_END_SEC, and whether it closed it."""
    host, port = address.split(":")
    taken, deadline = 0, time.monotonic() + CALLER_END_SEC
    with socket.create_connection((host, int(port)), source_address=(source, 0)) as connection:
        connection.settimeout(CALLER_END_SEC)
        try:
            connection.sendall(first.encode())
            while time.monotonic() < deadline:
                connection.sendall(repeated)
                taken += len(repeated)
        except socket.timeout:
            return taken, False
        except OSError:
            return taken, True
    return taken, False


def case_on_platform_endless_callers():
    """A client or a target that sends a request or a report without end costs the node bounded
    memory; other requests are served meanwhile."""
    failures = []
    with bounded_deployment() as d:
        for name, listener, first, repeated in CALLERS:
            for source in ("127.0.0.9", ADDRESSES[0]):
                if listener == "control" and source != ADDRESSES[0]:
                    continue
                d.report_all()
                with PeakMemory(d) as memory:
                    sender = threading.Thread(target=send_without_end, args=(
                        d.listen_address(0, listener), source, first, repeated))
                    sender.start()
                    time.sleep(0.3)
                    status = d.send("/f/x")[0]
                    sender.join()
                if status != 200 or memory.growth > MEMORY_GROWTH_MAX_BYTES:
                    failures.append(f"{name} from {source}: another request got {status}, memory "
                                    f"grew by {memory.growth} bytes")
    assert not failures, "\n".join(failures)
