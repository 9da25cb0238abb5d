"""Callers that send requests to a node until its process has ended, for the cases of planned
stops."""

import collections
import http.client
import json
import threading
import time

REPEATING = 6  # callers that send one request after another, on a kept connection if they may
IDLE_INTERVAL_SEC = 0.1  # between the first requests on connections that were idle until then

Result = collections.namedtuple("Result", "name sent status headers")


class LateCallers:
    """`seconds`: how long after start() the last idle connection is used."""

    def __init__(self, address, path, headers, id_header, seconds):
        self.address, self.path, self.headers = address, path, headers
        self.id_header, self.seconds = id_header, seconds
        self.results = []  # status is None without a complete response
        self.connections = []
        for _ in range(REPEATING + int(seconds / IDLE_INTERVAL_SEC)):
            connection = http.client.HTTPConnection(address, timeout=15)
            connection.connect()
            self.connections.append(connection)

    def send(self, connection, name):
        sent = time.monotonic() - self.started
        try:
            connection.request("POST", self.path, headers={**self.headers, self.id_header: name})
            response = connection.getresponse()
            response.read()
            self.results.append(Result(name, sent, response.status, response.headers))
        except (OSError, http.client.HTTPException):
            connection.close()
            self.results.append(Result(name, sent, None, {}))

    def send_repeatedly(self, connection, i):
        n = 0
        while self.process.poll() is None:
            if not connection.sock:
                try:
                    connection.connect()
                except OSError:
                    time.sleep(0.02)
                    continue
            self.send(connection, f"kept-{i}-{n}")
            n += 1

    def send_once(self, connection, delay, i):
        time.sleep(max(0, self.started + delay - time.monotonic()))
        if self.process.poll() is None:
            self.send(connection, f"idle-{i}")

    def run(self, process, stop):
        """Starts to send, calls stop(), and returns when `process` and all requests have
        ended."""
        self.process, self.started = process, time.monotonic()
        threads = [threading.Thread(target=self.send_repeatedly, args=(connection, i))
                   for i, connection in enumerate(self.connections[:REPEATING])]
        threads += [threading.Thread(target=self.send_once,
                                     args=(connection, i * IDLE_INTERVAL_SEC, i))
                    for i, connection in enumerate(self.connections[REPEATING:])]
        for thread in threads:
            thread.start()
        stop()
        for thread in threads:
            thread.join()


def events(log, event):
    """Returns the lines of a node's log with this event."""
    found = []
    with open(log, encoding="utf-8") as file:
        for line in file:
            try:
                fields = json.loads(line)
            except ValueError:
                continue
            if fields.get("event") == event:
                found.append(fields)
    return found


def check_responses(callers, ran, log):
    """No request that ran went without a response or was answered as not run, and the node
    cut no request that it had read."""
    unanswered = [r for r in callers.results if r.status is None and r.name in ran]
    assert not unanswered, f"ran without a response: {unanswered}"
    misstated = [r for r in callers.results if r.status in (429, 503) and r.name in ran]
    assert not misstated, f"ran, but were answered as not run: {misstated}"
    cut = [line for line in events(log, "cut") if line.get("state", "reading") != "reading"]
    assert not cut, f"cut by the node: {cut}"
