"""End-to-end case of targets that send bytes without end, in the head or the body of a response,
until the node closes the connection."""

import http.client
import os
import socket
import socketserver
import threading
import time
import unittest.mock

from on_platform import PlatformDeployment

TIMEOUT_MS = 1200  # Deadline-Ms of the requests
# A response ends, or its connection is closed, within this time after the deadline.
END_SLACK_SEC = 0.5
MEMORY_GROWTH_MAX_BYTES = 16 << 20
BLOCK = b"x" * 16384

START = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {id}\r\nResponse-Seal: seal\r\n"
# (name, first bytes, bytes repeated without end, whether a complete response precedes them)
RESPONSES = [
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
]


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
                request_id = head.split(b"Request-Attempt-Id: ")[1].split(b"\r\n")[0].decode()
                _, first, repeated, _ = target.response
                with target.lock:
                    target.sending += 1
                try:
                    self.request.sendall(first.replace("{id}", request_id).encode())
                    while True:
                        self.request.sendall(repeated)
                        with target.lock:
                            target.sent_bytes += len(repeated)
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


def send_until_end(deployment, method):
    """Sends a request for the endless target; returns the status (0 if the connection ended
    before one), whether the body was complete, and the duration."""
    host, port = deployment.listen_address(0, "outbound").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    start = time.monotonic()
    status, complete = 0, False
    try:
        connection.request(method, "/f/x" if method == "GET" else "/f/deep/x", headers={
            "Host": "h.example", "Request-Attempt-Id": "endless", "Authorization": "Bearer key-a",
            "Deadline-Ms": str(TIMEOUT_MS)})
        response = connection.getresponse()
        status = response.status
        while response.read(65536):
            pass
        complete = True
    except (http.client.HTTPException, socket.timeout, OSError):
        pass
    connection.close()
    return status, complete, time.monotonic() - start


def check_response(deployment, target, response, method):
    """Sends one request to the endless target and returns what it finds wrong."""
    name, _, _, precedes_complete = response
    target.response, target.sent_bytes = response, 0
    before = [resident_bytes(process) for process in deployment.daemons]
    status, complete, duration = send_until_end(deployment, method)
    limit = TIMEOUT_MS / 1000 + END_SLACK_SEC
    time.sleep(max(0.0, limit - duration))
    growth = [resident_bytes(p) - b for p, b in zip(deployment.daemons, before)]
    valid = (status, complete) == (200, True) if precedes_complete else \
        status in (502, 503, 504) or not complete
    found = {
        f"status {status}, complete {complete}": not valid,
        f"ended after {duration:.2f} s": duration > limit,
        "the node keeps reading": target.sending > 0,
        f"memory grew by {max(growth)} bytes, {target.sent_bytes} were sent":
            max(growth) > MEMORY_GROWTH_MAX_BYTES,
        "a node ended": any(process.poll() is not None for process in deployment.daemons),
    }
    return [f"{name}, {method}: {what}" for what, wrong in found.items() if wrong]


def case_on_platform_endless():
    """A target that sends bytes without end, in a head or a body, costs a node bounded memory
    and only the time of the request, and never looks like a complete response."""
    failures = []
    # In a run with the address sanitizer, freed memory must not count as growth.
    options = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"
    with unittest.mock.patch.dict(os.environ, ASAN_OPTIONS=options), PlatformDeployment() as d:
        for i, (path, method) in enumerate((("/f/x", "GET"), ("/f/deep/x", "POST"))):
            target = d.targets[i]
            # Closes the connection that the node keeps to the target.
            target.response = (200, {"Connection": "close"})
            assert d.send(path, method)[0] == 200
            target.close()
            endless = EndlessTarget(target.address)
            try:
                for response in RESPONSES:
                    d.report_all()
                    failures += check_response(d, endless, response, method)
            finally:
                endless.close()
    assert not failures, "\n".join(failures)
