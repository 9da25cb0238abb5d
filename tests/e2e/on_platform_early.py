"""End-to-end cases of targets that answer a long upload before they have read it."""

import http.client
import socketserver
import threading
import time

from on_platform import PlatformDeployment, wait_for

READ_BYTES = 50000  # of a body, before the answer
LENGTH = "Content-Length: 2\r\n\r\nok"
CHUNKS = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
# (name, frame of the answer, length of the upload, whether the target reads the rest)
ROWS = [
    ("the target reads on", LENGTH, 200000, True),
    ("the target reads on, an answer in chunks", CHUNKS, 200000, True),
    ("the target does not read on", LENGTH, 8000000, False),
]


class EarlyTarget:
    """Answers a request after READ_BYTES of its body; `rest` collects what follows an answer."""

    def __init__(self, address):
        target = self
        self.frame, self.reads_on, self.rest, self.done = LENGTH, True, [], threading.Event()

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                while self.serve_one():
                    pass

            def serve_one(self):
                """Returns whether the connection stays open."""
                lines = []
                while (line := self.rfile.readline().strip()):
                    lines.append(line.decode())
                headers = dict(line.lower().split(": ", 1) for line in lines[1:])
                if not headers:
                    return False
                length = int(headers.get("content-length", 0))
                read = len(self.rfile.read(min(READ_BYTES, length)))
                self.wfile.write((f"HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\nRequest-Attempt-Id: "
                                  f"{headers['request-attempt-id']}\r\n{target.frame}").encode())
                if length and not target.reads_on:
                    target.done.wait(10)
                    return False
                rest = self.rfile.read(length - read)
                if length:
                    target.rest.append(rest)
                return len(rest) == length - read

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = daemon_threads = True

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.done.set()
        self.server.shutdown()
        self.server.server_close()


def check_upload(deployment, target, row):
    """Uploads, and sends another request behind the answer; returns what is wrong."""
    name, target.frame, length, target.reads_on = row
    target.rest.clear()
    host, port = deployment.listen_address(0, "outbound").split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=2)
    headers = {"Host": "h.example", "Authorization": "Bearer key-a", "Deadline-Ms": "3000"}
    connection.putrequest("POST", "/f/deep/upload", skip_host=True)
    for field in (headers | {"Request-Attempt-Id": "upload", "Content-Length": length}).items():
        connection.putheader(*field)
    connection.endheaders()
    try:
        connection.send(b"u" * (length // 2))
        time.sleep(0.3)
        connection.send(b"u" * (length - length // 2))
    except OSError:
        pass  # the node has answered and closed the connection
    failures = []
    response = connection.getresponse()
    if (response.status, response.read()) != (200, b"ok"):
        failures.append(f"{name}: the upload got {response.status}")
    if response.headers.get("Connection", "").lower() != "close":
        connection.request("GET", "/f/x", headers=headers | {"Request-Attempt-Id": "behind"})
        status = connection.getresponse().status
        if status != 200:
            failures.append(f"{name}: the request behind the upload got {status}")
    connection.close()
    for n in range(3):
        status = deployment.send(f"/f/deep/next{n}", "POST")[0]
        if status != 200:
            failures.append(f"{name}: a later request got {status}")
    if target.reads_on:
        wait_for("the connection of the upload to end", lambda: target.rest, 2)
        other = [rest.strip(b"u") for rest in target.rest if rest.strip(b"u")]
        if other:
            failures.append(f"{name}: the target got {other[0][:60]} in place of the rest")
    return failures


def case_on_platform_early_answer():
    """A target that answers before it has read a long body gets nothing else where the rest is
    due, and requests behind the answer and later ones are served."""
    failures = []
    for row in ROWS:
        with PlatformDeployment() as d:
            back = d.targets[1]
            # Closes the connection that the node keeps to the target.
            back.response = (200, {"Connection": "close"})
            assert d.send("/f/deep/x", "POST")[0] == 200
            back.close()
            target = EarlyTarget(back.address)
            try:
                d.report_all()
                failures += check_upload(d, target, row)
            except (OSError, http.client.HTTPException) as error:
                failures.append(f"{row[0]}: {error!r}")
            finally:
                target.close()
    assert not failures, "\n".join(failures)
