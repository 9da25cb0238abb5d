"""Nodes run by the platform's settings file against the stand-in of its store, and a
target that speaks the platform's HTTP: what goes over the edge, seen from both sides."""

import base64
import http.client
import http.server
import json
import os
import signal
import subprocess
import threading
import time

from deployment import Deployment, binary, free_base_port, http as request

ADDRESSES = ("127.0.0.2", "127.0.0.3", "127.0.0.4")
SERVICES = ("front", "back", "back")
STARTED = 2  # nodes that a case begins with
IN_FORCE_SEC = 2  # the deployment's bound on a configuration, in the settings below
LEAVE_SEC = 2
QUOTA_WINDOW_SEC, QUOTA_OVERAGE, QUOTA_SLACK = 5, 0.1, 20
# After SIGTERM: the node has seen no request for a while and is about to go.
LAST_USE_SEC = 2.57
PORTS = ("peer", "outbound", "readiness", "control", "app")
ROUTE_COLUMNS = ["name", "authority", "prefix", "kind", "timeout", "target_latency", "priority",
                 "backends", "attempts", "public", "service"]


def wait_for(what, condition, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"{what}: not within {seconds} s")


class Target:
    """One target: remembers what it was asked and answers with a signature."""

    def __init__(self, address, port, service, control):
        self.service, self.address, self.control = service, f"{address}:{port}", control
        self.instance, self.born, self.sequence = "i-1", int(time.time() * 1000), 0
        self.seen, self.answer, self.slow_sec = [], (200, {}), 0
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                target.seen.append((self.command, self.path, dict(self.headers), body))
                time.sleep(target.slow_sec)
                other = self.headers.get("Expect-Instance") != target.instance
                status, more = (421, {}) if other else target.answer
                self.send_response(status)
                for name, value in {"Response-Seal": "seal", "Content-Length": "2",
                                    "Request-Attempt-Id": self.headers["Request-Attempt-Id"],
                                    **more}.items():
                    self.send_header(name, value)
                try:
                    self.end_headers()
                    self.wfile.write(b"ok")
                except OSError:
                    self.close_connection = True  # the node gave the request up

            do_GET = do_POST = do_PUT = do

            def log_message(self, *_):
                pass

        self.server = http.server.ThreadingHTTPServer((address, port), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def report(self, method="PUT", **more):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": "za", "version": "v1",
                "slots": 20, "state": "ready", "cold_remaining": "0ms", "born": self.born,
                "sequence": self.sequence, **more}
        return request(method, self.control, f"/instances/{self.instance}",
                       json.dumps(body).encode() if method == "PUT" else None)[0]


class OnPlatform(Deployment):
    """The store's stand-in and two nodes with a target each."""

    def __init__(self, secret=False):
        """secret: a file instead of a key from the settings, which name the store."""
        super().__init__({"zones": ["za"], "services": []})
        self.flags = [f"--peer-secret-file={self.secret_file}"] if secret else []
        self.base = free_base_port(20)
        self.targets, self.daemons, self.relay_for = [], [], {}

    def settings_of(self, i):
        at = {name: f"{ADDRESSES[i]}:{self.base + n}" for n, name in enumerate(PORTS)}
        return {"zone": "za", "zones": {"za": "r"}, "service": SERVICES[i], "ip": ADDRESSES[i],
                "port_range": [self.base, self.base + 1], "app_addr": at["app"], "seeds": [],
                "provider": {"address": self.relay_for.get(i, self.platform_address)}, "listen": at,
                "bounds": {"drain": f"{LEAVE_SEC}s", "grace": "6s",
                           "config_apply": f"{IN_FORCE_SEC}s",
                           "quota_window": f"{QUOTA_WINDOW_SEC}s", "quota_overage": QUOTA_OVERAGE,
                           "quota_slack": QUOTA_SLACK}}

    def at(self, i, name):
        return f"{ADDRESSES[i]}:{self.base + PORTS.index(name)}"

    def write(self, key, value):
        rows = json.loads(request("GET", self.platform_address,
                                  f"/rows-get?table=op&part=&from={key}&limit=1")[2])["rows"]
        row = {"table": "op", "part": "", "key": key}
        ver = rows[0]["ver"] if rows and rows[0]["key"] == key else 0
        text = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"expected_rev": [{**row, "ver": ver}],
                "writes": [] if value is None else [{**row, "value": text}],
                "remove": [row] if value is None else []}
        status = request("POST", self.platform_address, "/rows-tx", json.dumps(body).encode())[0]
        assert status == 200, status

    def configure(self, keys=("key-a",), rate=500, accounts=(), **routes):
        rows = [["front", "h.example", "/f/", "idempotent", "3s", "1s", 1, None, 2, False, "front"],
                ["deep", "h.example", "/f/deep/", "non_idempotent", "3s", "1s", 0, None, 1, False,
                 "back"],
                ["open", "h.example", "/o/", "idempotent", "3s", "1s", 2, None, 2, True, "back"]]
        rows = [routes.get(row[0], row) for row in rows]
        self.write("config", {
            "version": "r1", "routes": {"columns": ROUTE_COLUMNS, "rows": [r for r in rows if r]},
            "services": {"columns": ["name", "cold_start", "cold_per_s"],
                         "rows": [["front", "3s", 45.0], ["back", "3s", 45.0]]},
            "tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                        "rows": [["t1", list(keys), 1, rate, rate]] +
                                [[name, [f"key-{name}"], 1, 500, 500] for name in accounts]}})

    def cut_store(self, i):
        """Puts a relay between node i and the store; to be called before it starts."""
        self.relay_for[i] = f"{ADDRESSES[i]}:{self.base + len(PORTS)}"
        return self.spawn(f"relay-{i}", [binary("relay"), self.relay_for[i],
                                         self.platform_address], stdin=subprocess.PIPE)

    def report_all(self):
        assert [target.report() for target in self.targets] == [200] * len(self.targets)

    def start_third(self):
        """A second target of the second service, with its node."""
        self.daemons.append(self.start_node(STARTED))
        self.targets.append(Target(ADDRESSES[STARTED], self.base + PORTS.index("app"),
                                   SERVICES[STARTED], self.at(STARTED, "control")))
        wait_for("the third node", lambda: self.ready(STARTED), 10)
        assert self.targets[STARTED].report() == 200
        wait_for("calls to it", lambda: self.ask("/o/x")[0] == 200 and
                 len(self.targets[STARTED].seen) > 0, 5)

    def start_node(self, i):
        path = self.path(f"settings-{i}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings_of(i), file)
        return self.spawn(f"node-{i}", [binary("egretscaled"), "--log-format=json", *self.flags],
                          env={**os.environ, "EGRETSCALE_SETTINGS": path})

    def ready(self, i):
        try:
            return request("GET", self.at(i, "readiness"), "/ready", timeout=1)[0] == 200
        except OSError:
            return False

    def __enter__(self):
        super().__enter__()
        self.configure()
        for i, service in enumerate(SERVICES[:STARTED]):
            self.daemons.append(self.start_node(i))
            self.targets.append(Target(ADDRESSES[i], self.base + PORTS.index("app"), service,
                                       self.at(i, "control")))
        for i, target in enumerate(self.targets):
            wait_for("a node", lambda i=i: self.ready(i), 10)
            assert target.report() == 200
        wait_for("the way to both targets", lambda: self.ask("/f/x")[0] == 200 and
                 self.ask("/f/deep/x", "POST")[0] == 200, 5)
        return self

    def ask(self, path, method="GET", headers=None, node=0, source=None):
        """Status, headers and body of one request of a client, or of the target beside."""
        host, port = self.at(node, "outbound").split(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=5, source_address=(source, 0) if source else None)
        sent = {"Host": "h.example", "Request-Attempt-Id": "id-1", "Deadline-Ms": "2000"}
        if not source:
            sent["Authorization"] = "Bearer key-a"
        sent.update(headers or {})
        connection.request(method, path, headers={k: v for k, v in sent.items() if v})
        answer = connection.getresponse()
        body = answer.read()
        connection.close()
        return answer.status, answer.headers, body


def case_on_platform_edge():
    """What a target sees of a request and a client of an answer; refusals and their truth."""
    with OnPlatform() as d:
        front, back = d.targets
        forged = {"Caller-Service": "x", "Tenant-Name": "x", "Expect-Instance": "x"}
        status, headers, body = d.ask("/f/x?a=1", headers=forged)
        assert (status, body, headers["Response-Seal"]) == (200, b"ok", "seal")
        _, path, seen, _ = front.seen[-1]
        assert path == "/f/x?a=1" and "Authorization" not in seen, seen
        assert (seen["Caller-Service"], seen["Tenant-Name"], seen["Expect-Instance"]) == (
            "front", "t1", "i-1"), seen
        assert seen["Request-Attempt-Id"] == "id-1" and seen["Host"] == "h.example", seen
        assert 1000 < int(seen["Deadline-Ms"]) <= 2000, seen
        before = len(back.seen)
        assert d.ask("/f/deep/x", "POST")[0] == 200 and len(back.seen) == before + 1
        # A call of the target beside: no key, from the target's own address.
        assert d.ask("/f/deep/y", "POST", source=ADDRESSES[0])[0] == 200
        assert "Tenant-Name" not in back.seen[-1][2], back.seen[-1]
        assert d.ask("/f/x", headers={"Authorization": "Bearer other"})[0] == 401
        assert d.ask("/f/x", headers={"Authorization": None})[0] == 401
        assert d.ask("/o/x", headers={"Authorization": None})[0] == 200
        assert d.ask("/none/x")[0] == 404 and d.ask("/f/x", headers={"Host": "other"})[0] == 404
        # Answers of targets go back as they are; what a target has not run is said so.
        front.answer = (500, {})
        status, headers, _ = d.ask("/f/x")
        assert (status, headers["Response-Seal"]) == (500, "seal")
        back.answer = (503, {"Not-Executed": "1"})
        status, headers, _ = d.ask("/f/deep/x", "POST")
        assert status == 503 and "Response-Seal" not in headers and headers["Retry-After"], status
        # Another start of the target answers: the request did not run there.
        front.answer, front.instance = (200, {}), "i-other"
        status, headers, _ = d.ask("/f/x")
        assert status == 503 and headers["Retry-After"], status
        front.instance = "i-1"
        back.answer = (200, {"Request-Attempt-Id": "another"})
        count = len(back.seen)
        assert d.ask("/f/deep/x", "POST")[0] == 502 and len(back.seen) == count + 1
        back.answer, back.slow_sec = (200, {}), 1.0
        began = time.monotonic()
        assert d.ask("/f/deep/x", "POST", headers={"Deadline-Ms": "400"})[0] == 504
        assert time.monotonic() - began < 0.4


def case_on_platform_changes():
    """Configuration, keys, zones, reports and stops come into force in their bounds."""
    with OnPlatform() as d:
        front, back = d.targets
        host, port = d.at(0, "outbound").split(":")
        kept = http.client.HTTPConnection(host, int(port), timeout=5)

        def ask_kept():
            kept.request("GET", "/f/x", headers={
                "Host": "h.example", "Request-Attempt-Id": "kept", "Deadline-Ms": "2000",
                "Authorization": "Bearer key-a"})
            answer = kept.getresponse()
            answer.read()
            return answer.status
        assert ask_kept() == 200
        d.configure(deep=False, keys=("key-b",))
        wait_for("a withdrawn key on an open connection", lambda: ask_kept() == 401,
                 IN_FORCE_SEC)
        wait_for("a withdrawn key", lambda: d.ask("/f/x")[0] == 401, IN_FORCE_SEC)
        key = {"Authorization": "Bearer key-b"}
        wait_for("a new key", lambda: d.ask("/f/x", headers=key)[0] == 200, IN_FORCE_SEC)
        assert d.ask("/f/deep/x", headers=key)[0] == 200 and front.seen[-1][1] == "/f/deep/x"
        d.configure()
        wait_for("the route again", lambda: d.ask("/f/deep/x", "POST")[0] == 200 and
                 back.seen[-1][1] == "/f/deep/x", IN_FORCE_SEC)
        d.write("evacuate/za", {})
        wait_for("a zone that is out", lambda: d.ask("/f/x")[0] == 503, 5)
        d.write("evacuate/za", None)
        wait_for("the zone's return", lambda: d.ask("/f/x")[0] == 200, 5)
        # Forged and late reports change nothing; a leave is final for its start.
        assert front.report(service="other") == 400 and front.report(state="asleep") == 400
        assert front.report(sequence=0, state=7) == 400 and d.ask("/f/x")[0] == 200
        assert front.report(state="draining") == 200
        wait_for("the leave", lambda: d.ask("/f/x")[0] == 503, LEAVE_SEC)
        count = len(front.seen)
        time.sleep(0.5)
        assert front.report() == 200 and d.ask("/f/x")[0] == 503 and len(front.seen) == count
        front.instance, front.born, front.sequence = "i-2", front.born + 5000, 0
        assert front.report() == 200
        wait_for("the next start", lambda: d.ask("/f/x")[0] == 200, 2)
        assert front.seen[-1][2]["Expect-Instance"] == "i-2"
        assert back.report("DELETE") == 200
        wait_for("the end", lambda: d.ask("/f/deep/x", "POST")[0] == 503, LEAVE_SEC)
        # A stop: not ready at once, answers until the end, nothing cut.
        front.slow_sec = 1.0
        statuses = []
        running = threading.Thread(target=lambda: statuses.append(d.ask("/f/x")[0]))
        running.start()
        time.sleep(0.2)
        d.daemons[0].send_signal(signal.SIGTERM)
        wait_for("not ready", lambda: not d.ready(0), 1)
        running.join()
        assert statuses == [200] and d.daemons[0].wait(6) == 0, statuses


def case_on_platform_stop():
    """No request that a target saw goes without an answer at a stop, while clients use
    the connections that they kept open, some after a long silence."""
    with OnPlatform() as d:
        other = d.targets[1]  # the stopping node's own target gets nothing more
        host, port = d.at(0, "outbound").split(":")
        lost = []

        def ask_on(connection, name):
            connection.request("POST", "/f/deep/x", headers={
                "Host": "h.example", "Request-Attempt-Id": name, "Deadline-Ms": "2000",
                "Authorization": "Bearer key-a"})
            connection.getresponse().read()

        def use_connection(connection, n, began):
            time.sleep(max(0, began + LAST_USE_SEC - time.monotonic()))
            try:
                ask_on(connection, f"late-{n}")
            except (OSError, http.client.HTTPException):
                lost.append(f"late-{n}")

        connections = [http.client.HTTPConnection(host, int(port), timeout=5)
                       for _ in range(2)]
        for n, connection in enumerate(connections):
            ask_on(connection, f"early-{n}")
        other.slow_sec = 0.25
        assert other.report() == 200
        d.daemons[0].send_signal(signal.SIGTERM)
        began = time.monotonic()
        threads = [threading.Thread(target=use_connection, args=(c, n, began))
                   for n, c in enumerate(connections)]
        for thread in threads:
            thread.start()
        assert d.daemons[0].wait(7) == 0
        for thread in threads:
            thread.join()
        seen = {headers["Request-Attempt-Id"] for _, _, headers, _ in other.seen}
        assert any(name.startswith("late") for name in seen), "no late request ran"
        assert not seen & set(lost), seen & set(lost)


def case_on_platform_hurried_stop():
    """A second SIGTERM ends a node at once, also with a request under way, in good order."""
    with OnPlatform() as d:
        d.targets[1].slow_sec = 1.5
        ended = []

        def ask():
            try:
                ended.append(d.ask("/f/deep/x", "POST")[0])
            except (OSError, http.client.HTTPException):
                ended.append("closed")

        client = threading.Thread(target=ask)
        client.start()
        time.sleep(0.2)
        d.daemons[0].send_signal(signal.SIGTERM)
        time.sleep(0.1)
        d.daemons[0].send_signal(signal.SIGTERM)
        status = d.daemons[0].wait(5)
        client.join()
        assert status == 0, f"exit status {status}, the client got {ended}"
