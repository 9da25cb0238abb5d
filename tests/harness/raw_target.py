"""Target that writes prepared bytes, for responses that an HTTP server does not produce."""

import socket
import socketserver
import threading


def incomplete_heads(fields, refusal):
    """Returns responses that end inside the head, as (name, bytes). fields: header lines of each
    response; refusal: header line that states that the request did not run."""
    rows = [("an interim head", "HTTP/1.1 103 X\r\nX-A: b\r\n\r\n")]
    for status in (200, 204, 503):
        line = f"HTTP/1.1 {status} X\r\n"
        lines = fields + (refusal if status == 503 else "")
        rows += [(f"{status}, the status line", line),
                 (f"{status}, part of a header line", f"{line}{lines}X-Cut: a"),
                 (f"{status}, header lines", f"{line}{lines}"),
                 (f"{status}, header lines with the length", f"{line}{lines}Content-Length: 0\r\n"),
                 (f"{status}, header lines after an interim head",
                  f"HTTP/1.1 103 X\r\nX-A: b\r\n\r\n{line}{lines}")]
    return [(name, text.encode()) for name, text in rows]


class RawTarget:
    """Calls `respond` with each request that it receives, a dict of connection (number), method,
    path, headers (names in lower case) and body. It returns the bytes to write, in pieces that
    are written 50 ms apart if it returns a list, and whether to keep the connection open."""

    PIECE_DELAY_SEC = 0.05

    def __init__(self, address, respond):
        target = self
        self.respond, self.received, self.connections = respond, [], 0
        self.lock = threading.Lock()

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                with target.lock:
                    target.connections += 1
                    connection = target.connections
                try:
                    while target.serve(self, connection):
                        pass
                except OSError:
                    pass  # the node closed the connection

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, handler, connection):
        """Serves one request; returns whether the connection stays open."""
        request = read_request(handler.rfile)
        if not request:
            return False
        request["connection"] = connection
        with self.lock:
            self.received.append(request)
        response, keep_open = self.respond(request)
        pieces = response if isinstance(response, list) else [response]
        for i, piece in enumerate(pieces):
            if i > 0:
                threading.Event().wait(self.PIECE_DELAY_SEC)
            handler.wfile.write(piece)
        if not keep_open:
            handler.connection.shutdown(socket.SHUT_WR)
        return keep_open

    def runs(self, path):
        """Returns how many requests with the path were received."""
        with self.lock:
            return sum(request["path"] == path for request in self.received)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def read_body(file, headers):
    """Returns the body, or None if it is incomplete."""
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", 0))
        body = file.read(length)
        return body if len(body) == length else None
    body = b""
    while True:
        line = file.readline()
        if not line.endswith(b"\n"):
            return None
        size = int(line, 16)
        chunk, end = file.read(size), file.readline()
        if len(chunk) < size or not end.endswith(b"\n"):
            return None
        if size == 0:
            return body
        body += chunk


def read_request(file):
    """Returns the next request, or None if it is incomplete or there is none."""
    lines = []
    while (line := file.readline()) != b"\r\n":
        if not line.endswith(b"\n"):
            return None
        lines.append(line.decode().strip())
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = read_body(file, headers)
    return None if body is None else {"method": method, "path": path, "headers": headers,
                                      "body": body}
