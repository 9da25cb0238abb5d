"""Clients of a soak, and the checks of what they and the targets have seen."""

import http.client
import random
import threading
import time

from fleet import response_body

PROMISES_NOT_RUN = (408, 421, 429, 503)
KEY, ACCOUNT = "key-a", "t1"
TIMEOUT_SEC = 5


class Sent:
    """A request of a client, and what it got."""

    def __init__(self, method, path, body):
        self.method, self.path, self.body = method, path, body
        self.status = None  # None: no complete response


class Client(threading.Thread):
    """Sends one request after the other on kept connections, until the connection ends."""

    def __init__(self, fleet, number, seed):
        super().__init__(daemon=True)
        self.fleet, self.number, self.rand = fleet, number, random.Random(f"{seed}-{number}")
        self.sent, self.violations, self.ends = {}, [], False
        self.connection = None

    def run(self):
        count = 0
        while not self.ends:
            count += 1
            request_id = f"c{self.number}-{count}"
            self.sent[request_id] = sent = self.choose(count)
            try:
                self.send(request_id, sent)
            except (OSError, http.client.HTTPException):
                self.disconnect()
            time.sleep(self.rand.random() * 0.06)
        self.disconnect()

    def choose(self, count):
        draw = self.rand.random()
        if draw < 0.5:
            return Sent("GET", f"/f/{self.number}-{count}", b"")
        if draw < 0.65:
            return Sent("GET", "/f/common", b"")
        size = 1 if draw < 0.9 else self.rand.randrange(100000)
        return Sent("POST", f"/f/deep/{self.number}-{count}", b"b" * size)

    def disconnect(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def connect(self):
        host, port = self.fleet.listen_address(
            self.fleet.pick_node(self.rand), "outbound").split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_SEC)

    def send(self, request_id, sent):
        if not self.connection:
            self.connect()
        self.connection.request(sent.method, sent.path, sent.body, {
            "Host": "h.example", "Request-Attempt-Id": request_id, "Deadline-Ms": "3000",
            "Authorization": f"Bearer {KEY}", "Tenant-Name": "forged"})
        if self.rand.random() < 0.02:
            self.disconnect()  # gives up
            return
        response = self.connection.getresponse()
        if self.rand.random() < 0.02:
            time.sleep(self.rand.random())  # reads slowly
        body = response.read()
        sent.status = response.status
        if 200 <= response.status < 300 and (
                body != response_body(request_id) or not response.headers["Response-Seal"]):
            self.violations.append(f"{request_id}: {response.status} with {len(body)} bytes that "
                                   "are not its target's response")
        if response.headers.get("Connection", "").lower() == "close":
            self.disconnect()


def check_runs(fleet, clients):
    """Checks the runs of targets against what clients sent and got; returns violations."""
    sent = {request_id: s for client in clients for request_id, s in client.sent.items()}
    found = [violation for client in clients for violation in client.violations]
    for request_id, runs in fleet.runs.items():
        request = sent.get(request_id)
        if request is None:
            if not request_id.startswith(("id-1", "crash-", "key-", "unread")):
                found.append(f"UNASKED: {request_id!r} was run, and no client sent it")
            continue
        for run in runs:
            if (run.path, run.body) != (request.path, request.body) or \
                    run.headers.get("tenant-name") != ACCOUNT or "authorization" in run.headers:
                found.append(f"UNASKED: {request_id} was changed: {run.path}, {run.headers}")
        if request.method == "POST" and len(runs) > 1:
            found.append(f"TWICE: {request_id} was run {len(runs)} times")
        if request.method == "POST" and request.status in PROMISES_NOT_RUN:
            found.append(f"REFUSED: {request_id} got {request.status} and was run")
        if request.status == 200 and not runs:
            found.append(f"MIXED: {request_id} got 200 and was never run")
    return found


def served_share(clients):
    requests = [s for client in clients for s in client.sent.values()]
    return sum(s.status == 200 for s in requests) / max(len(requests), 1)
