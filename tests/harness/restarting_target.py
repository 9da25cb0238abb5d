"""Target on the platform that crashes, leaves and starts again as another process."""

import json
import socket
import struct
import threading
import time

from deployment import http as request
from raw_target import RawTarget

NO_LINGER = struct.pack("ii", 1, 0)  # close() resets the connection


class RestartingTarget:
    """Serves requests with `handle(target, message)`, which returns the bytes of the response and
    whether to keep the connection, or None to crash the process. It reports its state each
    REPORT_PERIOD_SEC, and is back BACK_SEC after a crash as another process."""

    REPORT_PERIOD_SEC, BACK_SEC = 0.5, 0.4

    def __init__(self, address, report_address, service, handle, zone="za"):
        self.address, self.report_address, self.handle = address, report_address, handle
        self.service, self.zone, self.slots = service, zone, 20
        self.version = self.next_version = "v1"  # of this process, and of the next one
        self.lock, self.lives, self.sockets = threading.Lock(), 0, set()
        self.crashed_at = []  # time.monotonic()
        self.resets = True  # whether the end of the process resets its connections
        self.state, self.closed, self.sequence, self.started_ms = "down", False, 0, 0
        self.start()
        threading.Thread(target=self.report_regularly, daemon=True).start()

    @property
    def instance_id(self):
        return f"i-{self.address.replace(':', '-')}-{self.lives}"

    def start(self):
        target = self

        class Server(RawTarget):
            def serve(self, handler, connection):
                with target.lock:
                    target.sockets.add(handler.connection)
                try:
                    return super().serve(handler, connection)
                except (ValueError, IndexError):
                    return False  # the request was cut off

        self.lives, self.sequence = self.lives + 1, 0
        # Behind the new instance_id, with which requests to the former process are refused.
        self.version = self.next_version
        self.started_ms = int(time.time() * 1000)
        self.raw = Server(self.address, self.respond)
        self.state = "ready"
        self.report()

    def report_body(self, **fields):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_remaining": "0ms", "born": self.started_ms, "sequence": self.sequence,
                **fields}

    def report(self, method="PUT", body=None, instance_id=None):
        """Returns the status of the response, or None without one."""
        data = json.dumps(body or self.report_body()).encode() if method == "PUT" else None
        try:
            return request(method, self.report_address,
                           f"/instances/{instance_id or self.instance_id}", data, timeout=1)[0]
        except OSError:
            return None

    def report_regularly(self):
        while not self.closed:
            time.sleep(self.REPORT_PERIOD_SEC)
            if self.state in ("ready", "draining"):
                self.report()

    def respond(self, message):
        result = self.handle(self, message)
        if result is None:
            self.crash()
            return b"", False
        return result

    def end(self):
        """The process ends: its port refuses, its connections are reset. Returns whether it was
        running."""
        with self.lock:
            if self.state == "down":
                return False
            self.state = "down"
            sockets, self.sockets = self.sockets, set()
        self.raw.server.socket.shutdown(socket.SHUT_RDWR)
        for connection in sockets:
            try:
                if self.resets:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
                connection.shutdown(socket.SHUT_RD)
                connection.close()
            except OSError:
                pass
        self.raw.close()
        return True

    def crash(self):
        if self.end():
            self.crashed_at.append(time.monotonic())
            threading.Thread(target=self.restart, daemon=True).start()

    def restart(self):
        time.sleep(self.BACK_SEC)
        if not self.closed and self.state == "down":
            self.start()

    def close(self):
        self.closed = True
        self.end()
