"""A node gets SIGTERM while clients of its machine use their open connections for a public route.
What it then accepts must get its answer: requests that were sent over 3 s after the signal, and at
which an instance on another machine is at work, may not be cut at the end of the stop."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from rig import HOST, TROUBLE, CannotRun, Instance, Rig, main, read_answer  # noqa: E402

CLIENTS = 16  # each with one open connection
WORK_SEC = 1.5  # of the instance for a request
TIMEOUT_MS = 3000  # of the route and of the clients
GRACE_SEC = 6  # from SIGTERM to SIGKILL, bound `grace` of the settings
EXCUSED_SEC = 3  # the rule excuses requests sent up to then that run in the last sixth of grace
RUN_SEC = 8  # how long clients send


class Client(threading.Thread):
    """Sends one request after the other on one connection, until it gets no 200 or the node closes
    the connection. Its address is that of its machine."""

    def __init__(self, rig, number, until):
        super().__init__(daemon=True)
        self.rig, self.number, self.until = rig, number, until
        self.requests = []  # (attempt, sent at, ended at, status or None, complete, sealed)

    def run(self):
        with socket.create_connection(self.rig.address(0, "outbound"), 5,
                                      source_address=(self.rig.ips[0], 0)) as sock:
            while time.monotonic() < self.until:
                attempt = f"upload-{self.number}-{len(self.requests)}"
                sent = time.monotonic()
                try:
                    sock.sendall(f"POST /public/plan HTTP/1.1\r\nHost: {HOST}\r\n"
                                 f"Request-Attempt-Id: {attempt}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n"
                                 "Content-Length: 4\r\n\r\nplan".encode())
                except OSError:
                    return
                status, headers, _, complete, _ = read_answer(sock)
                self.requests.append((attempt, sent, time.monotonic(), status, complete,
                                      "response-seal" in headers))
                if status != 200 or headers.get("connection", "").lower() == "close":
                    return


def run(record):
    rig = Rig(["devis", "dossiers"], zones=["sfax-a", "tunis-a"])
    try:
        rig.config([("public", "/public/", "non_idempotent", "dossiers", f"{TIMEOUT_MS}ms", 1,
                     True)], tenants=[["t1", ["key-1"], 1, 500, 500]])
        rig.start_all()
        instances = [Instance(rig, 0, slots=44), Instance(rig, 1, slots=44)]
        for instance in instances:
            instance.beat()
        time.sleep(2)
        instances[1].delay = WORK_SEC
        clients = [Client(rig, n, time.monotonic() + RUN_SEC) for n in range(CLIENTS)]
        for client in clients:
            client.start()
            time.sleep(WORK_SEC / CLIENTS)
        term = time.monotonic()
        if TROUBLE:
            rig.nodes[0].send_signal(signal.SIGTERM)
            record("SIGTERM for the node of the clients' machine")
            try:
                rig.nodes[0].wait(GRACE_SEC)
            except Exception:
                rig.nodes[0].kill()
            record(f"the node ended {time.monotonic() - term:.2f} s after the signal")
        for client in clients:
            client.join()
        runs = {attempt for _, attempt, *_ in instances[1].runs}
        requests = sorted((r for client in clients for r in client.requests), key=lambda r: r[1])
        if not any(r[3] == 200 for r in requests):
            raise CannotRun("no request was served")
        lost = 0
        for attempt, sent, ended, status, complete, sealed in requests:
            late = sent > term + EXCUSED_SEC
            cut = attempt in runs and not (status and complete and sealed)
            in_time = ended - sent < TIMEOUT_MS / 1000 - 0.1
            record(f"{attempt}: sent {sent - term:.2f} s, ended {ended - term:.2f} s after the "
                   f"signal: {status or 'closed'}{'' if sealed else ' of the node'}, "
                   f"{'an instance ran it' if attempt in runs else 'not run'}"
                   f"{', cut' if cut else ''}")
            lost += late and cut and in_time
        record(f"{len(requests)} requests; {lost} that were sent over {EXCUSED_SEC} s after the "
               "signal were cut while the instance was at work on them")
        return lost > 0
    finally:
        rig.close()


main(FOLDER, run)
