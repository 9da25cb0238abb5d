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


def odd_statuses(fields, refusal):
    """Returns responses with a status that is not one of a final response, and some that are valid,
    as (name, bytes, whether the connection stays open, statuses that a caller may get). fields:
    header lines of each response; refusal: header line that states that the request did not run."""
    rest = f"{fields}Content-Length: 2\r\n\r\nok"
    ok = f"HTTP/1.1 200 OK\r\n{rest}"
    rows = []
    for keep in (False, True):
        end = "kept" if keep else "closed"
        for status in ("000", "099", "00", "0", "0200", "+20", "-20", "2000", "600", "999", "OK",
                       ""):
            rows.append((f"{status}, {end}", f"HTTP/1.1 {status} X\r\n{rest}", keep, {502}))
        for status in ("000", "099", "600", "999"):
            rows += [(f"{status} without a body, {end}",
                      f"HTTP/1.1 {status}\r\n{fields}Content-Length: 0\r\n\r\n", keep, {502}),
                     (f"{status} that states not-run, {end}",
                      f"HTTP/1.1 {status} X\r\n{refusal}{rest}", keep, {502}),
                     (f"{status} before the final head, {end}",
                      f"HTTP/1.1 {status} X\r\n\r\n{ok}", keep, {502}),
                     (f"{status} behind an interim head, {end}",
                      f"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 {status} X\r\n{rest}", keep, {502})]
        rows += [(f"interim heads, {end}",
                  f"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 100 X\r\n\r\n{ok}", keep, {200}),
                 (f"interim status 199, {end}", f"HTTP/1.1 199 X\r\n\r\n{ok}", keep, {200}),
                 (f"599, {end}", f"HTTP/1.1 599 X\r\n{rest}", keep, {599}),
                 # The node waits for the final head until the deadline.
                 (f"101, {end}", "HTTP/1.1 101 X\r\n\r\n", keep, {502, 504}),
                 (f"101 and a response, {end}", f"HTTP/1.1 101 X\r\n\r\n{ok}", keep, {502, 504}),
                 (f"199 alone, {end}", "HTTP/1.1 199 X\r\n\r\n", keep, {504 if keep else 502}),
                 (f"part of a head, {end}", f"HTTP/1.1 200 X\r\n{fields}", keep,
                  {504 if keep else 502}),
                 (f"a head without end, {end}",
                  f"HTTP/1.1 200 X\r\n{fields}" + "X-Filler: y\r\n" * 2000, keep, {502})]
    return [(name, text.encode(), keep, expected) for name, text, keep, expected in rows]


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
