"""An instance answers an upload in chunks before it has read all of it, keeps the connection and
reads on. What it then reads must be the rest of the client's body, or nothing."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from rig import HOST, TROUBLE, CannotRun, Instance, Rig, main, read_answer, read_body  # noqa: E402

UPLOADS_MAX = 16
EARLY = 2  # early answers, then the run ends
# Limits of the site's `garble`: a share of 0.35 of the instances, 0.02 of their answers.
INSTANCES, EARLY_INSTANCE, ANSWERS_PER_EARLY = 3, 1, 50
PLAIN = 420  # other requests, before the uploads
PARTS, PART_BYTES, PART_GAP_SEC = 4, 50000, 0.2
EARLY_BYTES = 20000  # what the instance reads before it answers early
READ_ON_SEC = 3


class EarlyInstance(Instance):
    """Answers after EARLY_BYTES of a body, or with TROUBLE=0 after all of it."""

    def __init__(self, rig, index):
        super().__init__(rig, index, EarlyInstance.serve_early)
        self.answers = self.early = 0
        self.uploads = {}  # attempt id -> (bytes of the body, whether the body was complete)

    @staticmethod
    def answer_in_chunks(sock, attempt):
        sock.sendall(f"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {attempt}\r\n"
                     f"Response-Seal: seal-{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nok\r\n0\r\n\r\n".encode())

    def serve_early(self, sock, lines, headers, rest):
        if self.refuses(sock, headers):
            return None
        self.note_run(lines, headers)
        attempt = headers["request-attempt-id"]
        self.answers += 1
        long = "transfer-encoding" in headers
        early = (TROUBLE and long and self.index == EARLY_INSTANCE and
                 self.answers >= ANSWERS_PER_EARLY * (self.early + 1))
        self.early += early
        while early and len(rest) < EARLY_BYTES:
            part = sock.recv(65536)
            if not part:
                return None
            rest += part
        if early:
            self.answer_in_chunks(sock, attempt)
            sock.settimeout(READ_ON_SEC)
        try:
            body, rest = read_body(sock, headers, rest)
            self.uploads[attempt] = (body, True) if body is not None else (rest, False)
        except OSError:
            self.uploads[attempt] = (b"", False)
        if not early:
            self.answer_in_chunks(sock, attempt)
        return None if self.uploads[attempt][1] is False else rest


def upload(rig, node, attempt, record):
    """Sends a body in chunks, over some tenths of a second; returns it as far as it was sent."""
    sent = b""
    with rig.connect(node) as sock:
        sock.sendall(f"POST /up/plan HTTP/1.1\r\nHost: {HOST}\r\nRequest-Attempt-Id: {attempt}\r\n"
                     "Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        try:
            for i in range(PARTS):
                part = bytes([ord("a") + i]) * PART_BYTES
                sock.sendall(b"%x\r\n%s\r\n" % (len(part), part))
                sent += part
                time.sleep(PART_GAP_SEC)
            sock.sendall(b"0\r\n\r\n")
        except OSError as error:
            record(f"{attempt}: the node closed the connection after {len(sent)} bytes: {error}")
        status, _, body, complete, _ = read_answer(sock)
    record(f"{attempt}: sent by way of node {node}: {PARTS * PART_BYTES} bytes; answer {status} "
           f"{body!r}{'' if complete else ', not complete'}")
    return PARTS * PART_BYTES


def run(record):
    rig = Rig(["caisse"] + ["dossiers"] * INSTANCES)
    broken = False
    try:
        rig.config([("up", "/up/", "non_idempotent", "dossiers", "4s", 1)])
        rig.start_all()
        servers = [EarlyInstance(rig, n + 1) for n in range(INSTANCES)]
        instances = [Instance(rig, 0), *servers]
        for instance in instances:
            instance.beat()
        time.sleep(2)
        chosen = servers[EARLY_INSTANCE - 1]
        plain = [rig.request(n % len(instances), "/up/plan", f"plain-{n}", "POST", b"plan")[0]
                 for n in range(PLAIN)]
        record(f"{plain.count(200)} of {PLAIN} other requests got 200; answers of the instances "
               f"{[server.answers for server in servers]}")
        for n in range(UPLOADS_MAX):
            if chosen.early >= EARLY:
                break
            attempt = f"upload-{n}"
            length = upload(rig, n % len(instances), attempt, record)
            end = time.monotonic() + READ_ON_SEC + 1
            while not any(attempt in s.uploads for s in servers) and time.monotonic() < end:
                time.sleep(0.05)
            server = next((s for s in servers if attempt in s.uploads), None)
            body, complete = server.uploads[attempt] if server else (b"", False)
            if not server:
                record(f"{attempt}: no instance got it")
            elif not complete:
                record(f"{attempt}: at the instance the connection ended within the body")
            elif len(body) == length:
                record(f"{attempt}: the instance read the whole body, {length} bytes")
            else:
                record(f"{attempt}: the instance read the end of the body (0 CR LF CR LF) after "
                       f"{len(body)} of {length} bytes")
                broken = True
        record(f"{chosen.early} of {chosen.answers} answers of 1 of {INSTANCES} instances came early")
        if TROUBLE and not chosen.early:
            raise CannotRun("no upload reached the instance that answers early")
        return broken
    finally:
        rig.close()


main(FOLDER, run)
