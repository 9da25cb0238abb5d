"""Starts the platform, nodes and targets of a deployment as local processes on loopback."""

import hashlib
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("EGRET_BUILD", os.path.join(ROOT, "build"))
HOST = "127.0.0.1"
PORTS_PER_NODE = 6
START_TIMEOUT_SEC = 20


def binary(name):
    directory = {"egretscaled": "egretscaled", "egretctl": "egretctl"}.get(name, "tests/standins")
    return os.path.join(BUILD, directory, name)


def free_base_port(count):
    """Returns the first of `count` consecutive free ports below the ephemeral range."""
    for base in range(20000 + os.getpid() % 400 * 20, 32000, 200):
        try:
            for port in range(base, base + count):
                with socket.socket() as probe:
                    probe.bind((HOST, port))
        except OSError:
            continue
        return base
    raise RuntimeError("no free ports")


def http(method, address, path, body=None, headers=None, timeout=5):
    """Sends an HTTP request; returns status, headers and body, also for error statuses."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


class Node:
    """A vm with its node and, if it has a service, the target beside it."""

    def __init__(self, deployment, zone, service, port):
        self.deployment = deployment
        self.zone = zone
        self.service = service
        # "outbound" is the node's listener for the reports and outbound calls of its target.
        names = ("peer", "caller", "outbound", "admin", "target", "spare")
        self.address = {name: f"{HOST}:{port + i}" for i, name in enumerate(names)}
        self.name = f"{zone}-{service['name'] if service else 'entry'}-{port}"
        self.process = None
        self.target = None

    def start(self, extra=()):
        d = self.deployment
        seeds = [f"--seed={n.address['peer']}" for n in d.nodes[:2] if n is not self]
        self.process = d.spawn(self.name, [
            binary("egretscaled"), f"--zone={self.zone}",
            f"--peer-listen={self.address['peer']}",
            f"--caller-listen={self.address['caller']}",
            f"--target-listen={self.address['outbound']}",
            f"--admin-listen={self.address['admin']}",
            f"--platform=http://{d.platform_for_nodes}",
            f"--peer-secret-file={d.secret_file}", f"--workers={d.workers}",
            f"--log-level={d.log_level}", "--log-format=json", *seeds, *d.flags, *extra])

    def start_target(self):
        if not self.service:
            return
        s = self.service
        command = [
            binary("target"), f"--listen={self.address['target']}",
            f"--node={self.address['outbound']}", f"--service={s['name']}",
            f"--slots={s['slots']}", f"--cold-slots={s.get('cold_slots', s['slots'])}",
            f"--service-ms={s['service_ms']}", f"--calls={','.join(s.get('calls', []))}",
            f"--seed={self.deployment.seed}"]
        if "version" in s:
            command += [f"--version={s['version']}", f"--fail={s.get('fail', 0)}"]
        if self.deployment.history:
            command.append(f"--history={self.deployment.path(self.name + '.history')}")
        self.target = self.deployment.spawn(self.name + "-target", command)

    def control(self, command):
        """Sends a control command to the target; returns the target's statistics."""
        return json.loads(http("PUT", self.address["target"], f"/control/{command}")[2])

    def status(self):
        return json.loads(http("GET", self.address["admin"], "/status")[2])

    def metrics(self):
        text = http("GET", self.address["admin"], "/metrics")[2].decode()
        lines = (line.split() for line in text.splitlines() if not line.startswith("#"))
        return {name: float(value) for name, value in lines}

    def ready(self):
        try:
            return http("GET", self.address["admin"], "/healthz", timeout=1)[0] == 200
        except OSError:
            return False


class Deployment:
    """The platform, the nodes of the layout's zones and their targets.

    A context manager, which kills all processes at its exit.
    """

    def __init__(self, layout, seed=1, workers=1, log_level="info", history=False,
                 platform_relay=False, flags=()):
        self.layout = layout
        self.flags = list(flags)  # of all nodes
        self.seed = seed
        self.workers = workers
        self.log_level = log_level
        self.history = history
        self.directory = tempfile.mkdtemp(prefix="egret-")
        self.processes = []
        self.logs = {}
        count = sum(s["instances"] for s in layout["services"])
        base = free_base_port(10 + count * PORTS_PER_NODE)
        self.platform_address = f"{HOST}:{base}"
        self.relay_address = f"{HOST}:{base + 1}"
        self.platform_relay = platform_relay
        self.platform_for_nodes = self.relay_address if platform_relay else self.platform_address
        self.nodes = []
        port = base + 10
        for service in layout["services"]:
            for i in range(service["instances"]):
                zone = layout["zones"][i % len(layout["zones"])]
                self.nodes.append(Node(self, zone, service, port))
                port += PORTS_PER_NODE
        self.secret_file = self.path("secret")
        with open(self.secret_file, "w", encoding="ascii") as file:
            file.write(secrets.token_hex(32) + "\n")

    def path(self, name):
        return os.path.join(self.directory, name)

    def spawn(self, name, command, **options):
        log = self.path(name + ".log")
        self.logs[name] = log
        with open(log, "ab") as output:
            process = subprocess.Popen(command, stdout=options.pop("stdout", output),
                                       stderr=output, **options)
        self.processes.append(process)
        return process

    def __enter__(self):
        self.platform = self.spawn("platform", [binary("platform"), self.platform_address])
        self.wait(lambda: self.platform_responds(), "the platform")
        if self.platform_relay:
            self.relay = self.spawn(
                "relay", [binary("relay"), self.relay_address, self.platform_address],
                stdin=subprocess.PIPE)
        return self

    def __exit__(self, *unused):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    def platform_responds(self):
        try:
            return http("GET", self.platform_address, "/stats", timeout=1)[0] == 200
        except OSError:
            return False

    def cut_platform(self, cut):
        """Cuts or restores the network path from the nodes to the platform."""
        self.relay.stdin.write(b"cut\n" if cut else b"heal\n")
        self.relay.stdin.flush()

    def platform_fault(self, **fault):
        """Replaces the platform's injected faults; without arguments clears them."""
        http("PUT", self.platform_address, "/fault", json.dumps(fault).encode())

    def platform_drill(self, step):
        """The store begins to state its era ("begin"), takes a copy ("copy") or comes back from it,
        in the next era ("restore")."""
        assert http("PUT", self.platform_address, "/drill",
                    json.dumps({step: True}).encode())[0] == 200

    def platform_stats(self):
        return json.loads(http("GET", self.platform_address, "/stats")[2])

    def wait(self, condition, what, timeout=START_TIMEOUT_SEC):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"timed out waiting for {what}")
            time.sleep(0.05)

    def ctl(self, *arguments, check=True):
        return subprocess.run(
            [binary("egretctl"), f"--platform=http://{self.platform_address}", *arguments],
            check=check, capture_output=True, text=True)

    def apply(self, records):
        """Applies records (a list of objects, or the path of a file or directory) with egretctl."""
        path = records
        if not isinstance(records, str):
            path = self.path(f"records-{time.monotonic_ns()}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(records, file)
        return self.ctl("apply", "-f", path)

    def start_nodes(self):
        for node in self.nodes:
            node.start()
        self.wait(lambda: all(n.ready() for n in self.nodes), "all nodes to be ready")
        for node in self.nodes:
            node.start_target()
        self.wait(self.converged, "every node to list all targets")

    def converged(self):
        """Whether each node's directory lists all targets."""
        expected = len([n for n in self.nodes if n.service])
        return all(len(n.status()["instances"]) == expected for n in self.nodes)

    def keepers_ready(self):
        """Whether each zone has a keeper that grants loans for each of the 16 partitions."""
        ready = {}
        for node in self.nodes:
            for keeps in node.status()["keeps"]:
                if keeps["lends"] and keeps["portion_milli"] > 0:
                    ready.setdefault(node.zone, set()).add(keeps["partition"])
        return all(len(ready.get(z, ())) == 16 for z in self.layout["zones"])

    def load(self, plan):
        """Runs the load generator with a plan and returns its summary."""
        return self.load_finish(self.load_start(plan))

    def load_start(self, plan):
        plan = {"seed": self.seed, "entries": [n.address["caller"] for n in self.nodes], **plan}
        path = self.path(f"plan-{time.monotonic_ns()}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(plan, file)
        return self.spawn("loadgen", [binary("loadgen"), path], stdout=subprocess.PIPE)

    @staticmethod
    def load_finish(process):
        output, _ = process.communicate()
        return json.loads(output)


class ServingDeployment(Deployment):
    """A deployment that has its records, and keepers of all partitions, on entry."""

    def __init__(self, layout, records, **options):
        super().__init__(layout, **options)
        self.records = records

    def __enter__(self):
        super().__enter__()
        try:
            self.apply(self.records)
            self.start_nodes()
            self.wait(self.keepers_ready, "a keeper of each partition in each zone")
        except BaseException:
            self.__exit__()
            raise
        return self


def key_record(name, account, key):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return {"kind": "key", "name": name, "schema_version": 1, "digest": digest,
            "account": account}
