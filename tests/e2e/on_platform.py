"""End-to-end cases of nodes on the platform: started with its settings file, with the
stand-in of its store, and with targets that use its HTTP protocol. The cases check what
clients and targets receive."""

import base64
import errno
import http.client
import http.server
import json
import os
import resource
import select
import signal
import subprocess
import threading
import time

from deployment import Deployment, binary, free_base_port, http as request

# Addresses of the nodes, of this process alone: the port of a node's metrics is fixed.
ADDRESSES = tuple(f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}.{i}" for i in (2, 3, 4))
SERVICES = ("front", "back", "back")
INITIAL_NODES = 2  # nodes at the start of a case; also the index of the third node
CONFIG_APPLY_SEC = 2  # setting config_apply: a new configuration takes effect within this time
LEAVE_TIMEOUT_SEC = 2  # setting drain: a target's leave takes effect within this time
QUOTA_WINDOW_SEC, QUOTA_OVERAGE, QUOTA_SLACK = 5, 0.1, 20
# Delay of the late requests after SIGTERM. The node has no request in flight then. Of the
# constants, PLATFORM_DRAIN_NOTICE (2.3 s, egretscaled/main.c) has passed and LEAVE_NOTICE (0.3 s,
# admission/stop.c) is almost over; the node exits after it.
LATE_REQUEST_SEC = 2.57
MAX_FDS = 256  # setting max_fds, also set as the resource limit of the nodes
PORTS = ("peer", "outbound", "readiness", "control", "app")
ROUTE_COLUMNS = ["name", "authority", "prefix", "kind", "timeout", "target_latency", "priority",
                 "backends", "attempts", "public", "service"]


def wait_for(what, condition, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out after {seconds} s waiting for {what}")


class TargetServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128  # listen backlog; with 5, a burst of new connections is dropped


class Target:
    """Stand-in for a target: records the requests it receives, and adds a Response-Seal
    header to each response."""

    def __init__(self, ip, port, service, report_address):
        self.service, self.address, self.report_address = service, f"{ip}:{port}", report_address
        self.instance_id, self.started_ms, self.sequence = "i-1", int(time.time() * 1000), 0
        # Requests as (method, path, headers, body); status and extra headers of a response.
        self.received, self.response, self.delay_sec = [], (200, {}), 0
        self.body = b"ok"  # of each response
        self.running = 0  # requests whose client has not closed the connection
        # Makes the outbound call of each request and returns its status, if set.
        self.outbound_call = None
        self.lock = threading.Lock()
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def respond(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                target.received.append((self.command, self.path, dict(self.headers), body))
                self.run()
                other_instance = self.headers.get("Expect-Instance") != target.instance_id
                status, headers = (421, {}) if other_instance else target.response
                if target.outbound_call and target.outbound_call() != 200:
                    status = 500
                self.send_response(status)
                for name, value in {"Response-Seal": "seal",
                                    "Content-Length": str(len(target.body)),
                                    "Request-Attempt-Id": self.headers["Request-Attempt-Id"],
                                    **headers}.items():
                    self.send_header(name, value)
                try:
                    self.end_headers()
                    self.wfile.write(target.body)
                except OSError:
                    self.close_connection = True  # the node cancelled the request

            def run(self):
                """Takes delay_sec, or less if the client closes the connection."""
                with target.lock:
                    target.running += 1
                select.select([self.connection], [], [], target.delay_sec)
                with target.lock:
                    target.running -= 1

            do_GET = do_POST = do_PUT = respond

            def log_message(self, *_):
                pass

        self.server = TargetServer((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def report(self, method="PUT", **fields):
        """Reports the status (PUT) or the end of the process (DELETE); returns the HTTP status."""
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": "za", "version": "v1",
                "slots": 20, "state": "ready", "cold_remaining": "0ms", "born": self.started_ms,
                "sequence": self.sequence, **fields}
        return request(method, self.report_address, f"/instances/{self.instance_id}",
                       json.dumps(body).encode() if method == "PUT" else None)[0]


class PlatformDeployment(Deployment):
    """The platform stand-in and INITIAL_NODES nodes, each with a target."""

    def __init__(self, use_secret_file=False):
        """use_secret_file: gives the nodes a file with the peer secret. Without it they derive
        the secret from the zones and the store's address, which a relay changes for a node."""
        super().__init__({"zones": ["za"], "services": []})
        self.flags = [f"--peer-secret-file={self.secret_file}"] if use_secret_file else []
        self.base_port = free_base_port(20)
        self.targets, self.daemons, self.relay_addresses = [], [], {}

    def node_ip(self, i):
        return ADDRESSES[i]

    def node_service(self, i):
        return SERVICES[i]

    def settings(self, i):
        listen = {name: self.listen_address(i, name) for name in PORTS}
        return {"zone": "za", "zones": {"za": "r"}, "service": self.node_service(i),
                "ip": self.node_ip(i),
                "port_range": [self.base_port, self.base_port + 1], "app_addr": listen["app"],
                "seeds": [],
                "provider": {"address": self.relay_addresses.get(i, self.platform_address)},
                "listen": listen, "limits": {"max_fds": MAX_FDS},
                "bounds": {"drain": f"{LEAVE_TIMEOUT_SEC}s", "grace": "6s",
                           "config_apply": f"{CONFIG_APPLY_SEC}s",
                           "quota_window": f"{QUOTA_WINDOW_SEC}s", "quota_overage": QUOTA_OVERAGE,
                           "quota_slack": QUOTA_SLACK}}

    def listen_address(self, i, name):
        return f"{self.node_ip(i)}:{self.base_port + PORTS.index(name)}"

    def write_row(self, key, value):
        """Writes a row of the table op; None removes the row."""
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

    def configure(self, keys=("key-a",), rate=500, accounts=(), version="r1", **routes):
        """Writes the configuration. routes: rows that replace those of the same name; a row of
        False removes the route."""
        rows = [["front", "h.example", "/f/", "idempotent", "3s", "1s", 1, None, 2, False, "front"],
                ["deep", "h.example", "/f/deep/", "non_idempotent", "3s", "1s", 0, None, 1, False,
                 "back"],
                ["open", "h.example", "/o/", "idempotent", "3s", "1s", 2, None, 2, True, "back"]]
        rows = [routes.get(row[0], row) for row in rows]
        self.write_row("config", {
            "version": version, "routes": {"columns": ROUTE_COLUMNS, "rows": [r for r in rows if r]},
            "services": {"columns": ["name", "cold_start", "cold_per_s"],
                         "rows": [["front", "3s", 45.0], ["back", "3s", 45.0]]},
            "tenants": {"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
                        "rows": [["t1", list(keys), 1, rate, rate]] +
                                [[name, [f"key-{name}"], 1, 500, 500] for name in accounts]}})

    def add_store_relay(self, i):
        """Starts a relay between node i, which must not have been started, and the store."""
        self.relay_addresses[i] = f"{self.node_ip(i)}:{self.base_port + len(PORTS)}"
        return self.spawn(f"relay-{i}", [binary("relay"), self.relay_addresses[i],
                                         self.platform_address], stdin=subprocess.PIPE)

    def report_all(self):
        assert [target.report() for target in self.targets] == [200] * len(self.targets)

    def start_third_node(self):
        """Starts a third node with a second target of the second service."""
        self.daemons.append(self.start_node(INITIAL_NODES))
        self.targets.append(Target(ADDRESSES[INITIAL_NODES], self.base_port + PORTS.index("app"),
                                   SERVICES[INITIAL_NODES],
                                   self.listen_address(INITIAL_NODES, "control")))
        wait_for("the third node to be ready", lambda: self.ready(INITIAL_NODES), 10)
        assert self.targets[INITIAL_NODES].report() == 200
        wait_for("requests to reach its target", lambda: self.send("/o/x")[0] == 200 and
                 len(self.targets[INITIAL_NODES].received) > 0, 5)

    def start_node(self, i):
        path = self.path(f"settings-{i}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(i), file)
        node = self.spawn(f"node-{i}", [binary("egretscaled"), "--log-format=json", *self.flags],
                          env={**os.environ, "EGRETSCALE_SETTINGS": path})
        resource.prlimit(node.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        return node

    def ready(self, i):
        try:
            return request("GET", self.listen_address(i, "readiness"), "/ready",
                           timeout=1)[0] == 200
        except OSError:
            return False

    def __enter__(self):
        try:
            super().__enter__()
            self.configure()
            for i, service in enumerate(SERVICES[:INITIAL_NODES]):
                self.daemons.append(self.start_node(i))
                self.targets.append(Target(ADDRESSES[i], self.base_port + PORTS.index("app"),
                                           service, self.listen_address(i, "control")))
            for i, target in enumerate(self.targets):
                wait_for("a node to be ready", lambda i=i: self.ready(i), 10)
                assert target.report() == 200
            wait_for("requests to reach both targets", lambda: self.send("/f/x")[0] == 200 and
                     self.send("/f/deep/x", "POST")[0] == 200, 5)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *unused):
        super().__exit__(*unused)
        for target in self.targets:
            target.close()

    def send(self, path, method="GET", headers=None, node=0, source=None, body=None):
        """Sends a request as a client, or as the node's target if `source` is the target's
        address; returns status, headers and body."""
        host, port = self.listen_address(node, "outbound").split(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=5, source_address=(source, 0) if source else None)
        sent_headers = {"Host": "h.example", "Request-Attempt-Id": "id-1", "Deadline-Ms": "2000"}
        if not source:
            sent_headers["Authorization"] = "Bearer key-a"
        sent_headers.update(headers or {})
        connection.request(method, path, body,
                           headers={k: v for k, v in sent_headers.items() if v})
        response = connection.getresponse()
        body = response.read()
        connection.close()
        return response.status, response.headers, body


def case_on_platform_edge():
    """A target must not get forged identity headers or a client's key, and a client must not
    get a response to another request or a refusal that misstates whether its request ran."""
    with PlatformDeployment() as d:
        front, back = d.targets
        forged = {"Caller-Service": "x", "Tenant-Name": "x", "Expect-Instance": "x"}
        status, headers, body = d.send("/f/x?a=1", headers=forged)
        assert (status, body, headers["Response-Seal"]) == (200, b"ok", "seal")
        _, path, received_headers, _ = front.received[-1]
        assert path == "/f/x?a=1" and "Authorization" not in received_headers, received_headers
        assert (received_headers["Caller-Service"], received_headers["Tenant-Name"],
                received_headers["Expect-Instance"]) == ("front", "t1", "i-1"), received_headers
        assert received_headers["Request-Attempt-Id"] == "id-1" and \
            received_headers["Host"] == "h.example", received_headers
        assert 1000 < int(received_headers["Deadline-Ms"]) <= 2000, received_headers
        before = len(back.received)
        assert d.send("/f/deep/x", "POST")[0] == 200 and len(back.received) == before + 1
        # An outbound call of the node's target has no key; its source address identifies it.
        assert d.send("/f/deep/y", "POST", source=ADDRESSES[0])[0] == 200
        assert "Tenant-Name" not in back.received[-1][2], back.received[-1]
        assert d.send("/f/x", headers={"Authorization": "Bearer other"})[0] == 401
        assert d.send("/f/x", headers={"Authorization": None})[0] == 401
        assert d.send("/o/x", headers={"Authorization": None})[0] == 200
        assert d.send("/none/x")[0] == 404 and d.send("/f/x", headers={"Host": "other"})[0] == 404
        # Responses of targets are forwarded unchanged. A request that the target did not run
        # gets 503 with Retry-After.
        front.response = (500, {})
        status, headers, _ = d.send("/f/x")
        assert (status, headers["Response-Seal"]) == (500, "seal")
        back.response = (503, {"Not-Executed": "1"})
        status, headers, _ = d.send("/f/deep/x", "POST")
        assert status == 503 and "Response-Seal" not in headers and headers["Retry-After"], status
        # Another process of the target responds: the request did not run there.
        front.response, front.instance_id = (200, {}), "i-other"
        status, headers, _ = d.send("/f/x")
        assert status == 503 and headers["Retry-After"], status
        front.instance_id = "i-1"
        back.response = (200, {"Request-Attempt-Id": "another"})
        count = len(back.received)
        assert d.send("/f/deep/x", "POST")[0] == 502 and len(back.received) == count + 1
        back.response, back.delay_sec = (200, {}), 1.0
        start = time.monotonic()
        assert d.send("/f/deep/x", "POST", headers={"Deadline-Ms": "400"})[0] == 504
        assert time.monotonic() - start < 0.4


def case_on_platform_changes():
    """Changes of routes, keys, zones and target reports, and a stop, take effect within their
    bounds; a withdrawn key also on a connection that was open before."""
    with PlatformDeployment() as d:
        front, back = d.targets
        host, port = d.listen_address(0, "outbound").split(":")
        open_connection = http.client.HTTPConnection(host, int(port), timeout=5)

        def send_on_open_connection():
            open_connection.request("GET", "/f/x", headers={
                "Host": "h.example", "Request-Attempt-Id": "kept", "Deadline-Ms": "2000",
                "Authorization": "Bearer key-a"})
            response = open_connection.getresponse()
            response.read()
            return response.status
        assert send_on_open_connection() == 200
        d.configure(deep=False, keys=("key-b",))
        wait_for("the withdrawn key to be refused on an open connection",
                 lambda: send_on_open_connection() == 401, CONFIG_APPLY_SEC)
        wait_for("the withdrawn key to be refused", lambda: d.send("/f/x")[0] == 401,
                 CONFIG_APPLY_SEC)
        key = {"Authorization": "Bearer key-b"}
        wait_for("the new key to be accepted", lambda: d.send("/f/x", headers=key)[0] == 200,
                 CONFIG_APPLY_SEC)
        assert d.send("/f/deep/x", headers=key)[0] == 200 and front.received[-1][1] == "/f/deep/x"
        d.configure()
        wait_for("the removed route to return", lambda: d.send("/f/deep/x", "POST")[0] == 200 and
                 back.received[-1][1] == "/f/deep/x", CONFIG_APPLY_SEC)
        d.write_row("evacuate/za", {})
        wait_for("the zone to go out of service", lambda: d.send("/f/x")[0] == 503, 5)
        d.write_row("evacuate/za", None)
        wait_for("the zone to return to service", lambda: d.send("/f/x")[0] == 200, 5)
        # Invalid and outdated reports change nothing; a leave is final for its process.
        assert front.report(service="other") == 400 and front.report(state="asleep") == 400
        assert front.report(sequence=0, state=7) == 400 and d.send("/f/x")[0] == 200
        assert front.report(state="draining") == 200
        wait_for("the leave to take effect", lambda: d.send("/f/x")[0] == 503, LEAVE_TIMEOUT_SEC)
        count = len(front.received)
        time.sleep(0.5)
        assert front.report() == 200 and d.send("/f/x")[0] == 503 and len(front.received) == count
        front.instance_id, front.started_ms, front.sequence = "i-2", front.started_ms + 5000, 0
        assert front.report() == 200
        wait_for("the next process to get requests", lambda: d.send("/f/x")[0] == 200, 2)
        assert front.received[-1][2]["Expect-Instance"] == "i-2"
        assert back.report("DELETE") == 200
        wait_for("the reported end to take effect",
                 lambda: d.send("/f/deep/x", "POST")[0] == 503, LEAVE_TIMEOUT_SEC)
        # A stopping node reports not ready at once and completes the requests in flight.
        front.delay_sec = 1.0
        statuses = []
        request_thread = threading.Thread(target=lambda: statuses.append(d.send("/f/x")[0]))
        request_thread.start()
        time.sleep(0.2)
        d.daemons[0].send_signal(signal.SIGTERM)
        wait_for("the node to report not ready", lambda: not d.ready(0), 1)
        request_thread.join()
        assert statuses == [200] and d.daemons[0].wait(6) == 0, statuses


def case_on_platform_stop():
    """A request that reached a target gets its response although the node stops. A request on
    an idle connection just before the exit would otherwise run without a response."""
    with PlatformDeployment() as d:
        other = d.targets[1]  # the stopping node's target gets no more requests
        host, port = d.listen_address(0, "outbound").split(":")
        unanswered = []

        def send_on(connection, name):
            connection.request("POST", "/f/deep/x", headers={
                "Host": "h.example", "Request-Attempt-Id": name, "Deadline-Ms": "2000",
                "Authorization": "Bearer key-a"})
            connection.getresponse().read()

        def send_late(connection, n, start):
            time.sleep(max(0, start + LATE_REQUEST_SEC - time.monotonic()))
            try:
                send_on(connection, f"late-{n}")
            except (OSError, http.client.HTTPException):
                unanswered.append(f"late-{n}")

        connections = [http.client.HTTPConnection(host, int(port), timeout=5)
                       for _ in range(2)]
        for n, connection in enumerate(connections):
            send_on(connection, f"early-{n}")
        other.delay_sec = 0.25
        assert other.report() == 200
        d.daemons[0].send_signal(signal.SIGTERM)
        start = time.monotonic()
        threads = [threading.Thread(target=send_late, args=(c, n, start))
                   for n, c in enumerate(connections)]
        for thread in threads:
            thread.start()
        assert d.daemons[0].wait(7) == 0
        for thread in threads:
            thread.join()
        received_ids = {headers["Request-Attempt-Id"] for _, _, headers, _ in other.received}
        assert any(name.startswith("late") for name in received_ids), "no late request ran"
        assert not received_ids & set(unanswered), received_ids & set(unanswered)


def case_on_platform_hurried_stop():
    """A second SIGTERM makes a node exit with status 0 at once, also with a request in flight,
    which gets a final response."""
    with PlatformDeployment() as d:
        d.targets[1].delay_sec = 1.5
        results = []

        def send_request():
            try:
                results.append(d.send("/f/deep/x", "POST")[0])
            except (OSError, http.client.HTTPException):
                results.append("closed")

        client = threading.Thread(target=send_request)
        client.start()
        time.sleep(0.2)
        d.daemons[0].send_signal(signal.SIGTERM)
        time.sleep(0.1)
        d.daemons[0].send_signal(signal.SIGTERM)
        status = d.daemons[0].wait(5)
        client.join()
        assert status == 0 and results == [502], f"exit status {status}, the client got {results}"


def case_on_platform_hangup():
    """A request that its client gave up before the node read it does not reach a target."""
    with PlatformDeployment() as d:
        host, port = d.listen_address(0, "outbound").split(":")
        before = [len(target.received) for target in d.targets]
        connections = [http.client.HTTPConnection(host, int(port), timeout=5) for _ in range(20)]
        for connection in connections:
            connection.connect()
        d.daemons[0].send_signal(signal.SIGSTOP)
        for n, connection in enumerate(connections):
            method, path = (("GET", "/f/x"), ("POST", "/f/deep/x"))[n % 2]
            connection.request(method, path, headers={
                "Host": "h.example", "Request-Attempt-Id": f"left-{n}", "Deadline-Ms": "2000",
                "Authorization": "Bearer key-a"})
            connection.close()
        time.sleep(0.5)
        d.daemons[0].send_signal(signal.SIGCONT)
        time.sleep(0.5)
        reached = [headers["Request-Attempt-Id"] for target, count in zip(d.targets, before)
                   for _, _, headers, _ in target.received[count:]]
        assert not reached, reached
        assert d.send("/f/x")[0] == 200 and d.send("/f/deep/x", "POST")[0] == 200


def case_on_platform_descriptors():
    """Clients that keep more connections open than a node has descriptors are all served, and
    the node still connects to peers and to its target."""
    with PlatformDeployment() as d:
        host, port = d.listen_address(0, "outbound").split(":")
        connections, results = [], []
        try:
            for n in range(2 * MAX_FDS):
                connection = http.client.HTTPConnection(host, int(port), timeout=5)
                connections.append(connection)
                method, path = (("GET", "/f/x"), ("POST", "/f/deep/x"))[n % 2]
                connection.request(method, path, headers={
                    "Host": "h.example", "Request-Attempt-Id": f"kept-{n}",
                    "Deadline-Ms": "2000", "Authorization": "Bearer key-a"})
                response = connection.getresponse()
                response.read()
                results.append((response.status, response.headers["Connection"]))
                d.report_all()
        finally:
            for connection in connections:
                connection.close()
        assert {status for status, _ in results} == {200}, results
        kept = sum(header != "close" for _, header in results)
        assert MAX_FDS / 8 < kept < MAX_FDS / 2, kept


def case_on_platform_exhausted():
    """A node that has no descriptor for a connection to its target does not take it for gone."""
    with PlatformDeployment() as d:
        front, pid, statuses = d.targets[0], d.daemons[0].pid, []
        host, port = d.listen_address(0, "outbound").split(":")
        front.delay_sec = 1.0
        slow = threading.Thread(target=lambda: statuses.append(d.send("/f/slow")[0]))
        slow.start()  # occupies the kept connection to the target
        wait_for("the slow request to run", lambda: front.received[-1][1] == "/f/slow", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.connect()
        time.sleep(0.2)
        used = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
        unused = min(set(range(len(used) + 1)) - used)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (unused, MAX_FDS))
        connection.request("GET", "/f/y", headers={
            "Host": "h.example", "Request-Attempt-Id": "y", "Deadline-Ms": "2000",
            "Authorization": "Bearer key-a"})
        status = connection.getresponse().status
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        slow.join()
        front.delay_sec = 0
        statuses += [status, d.send("/f/x")[0]]
        assert statuses == [200, 503, 200], statuses


def case_on_platform_heads():
    """A request that runs gets a complete response, however large the heads of both are."""
    with PlatformDeployment() as d:
        failures = []
        for response_bytes in (0, 2000, 4000, 6000, 8000, 10000, 11800):
            d.report_all()
            for target in d.targets:
                target.response = (200, {"X-Filler": "r" * response_bytes})
            for request_bytes in (0, 2000, 4000, 6000, 8000, 10000, 12000, 14000, 15400, 40000):
                for count in (1, 60):
                    filler = {f"X-{n}": "h" * (request_bytes // count) for n in range(count)}
                    before = len(d.targets[1].received)
                    try:
                        status = d.send("/f/deep/x", "POST", filler)[0]
                    except (OSError, http.client.HTTPException):
                        status = "closed"
                    ran = len(d.targets[1].received) != before
                    fits = request_bytes + response_bytes + 80 * count <= 18000
                    if (ran and status not in (200, 502)) or (fits and status != 200):
                        failures.append((response_bytes, request_bytes, count, status, ran))
        assert not failures, failures


def case_on_platform_ports():
    """A deployment starts on the ports of one that has ended. A start that fails, here on ports
    in use, leaves no process behind."""
    with PlatformDeployment() as first:
        pass
    second = PlatformDeployment()
    second.base_port, second.platform_address = first.base_port, first.platform_address
    with second:
        assert second.send("/f/x")[0] == 200
        third = PlatformDeployment()
        third.base_port = second.base_port
        try:
            with third:
                raise AssertionError("the deployment started on ports in use")
        except OSError as error:
            assert error.errno == errno.EADDRINUSE, error
        assert third.processes and all(p.poll() is not None for p in third.processes)
