"""End-to-end cases of targets on the platform that send broken responses or responses that belong
to other requests."""

import http.client

from on_platform import PlatformDeployment
from raw_target import RawTarget, incomplete_heads

ID = "id-1"
FIELDS = f"Request-Attempt-Id: {ID}\r\nResponse-Seal: seal\r\n"
ANSWER = f"HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 2\r\n\r\nok".encode()
IDEMPOTENT, ONCE = ("GET", "/f/x"), ("POST", "/f/deep/x")


def replace_target(deployment, i, respond):
    """Lets node i use a RawTarget instead of its target."""
    target = deployment.targets[i]
    # Closes the connection that the node keeps to the target.
    target.response = (200, {"Connection": "close"})
    method, path = (IDEMPOTENT, ONCE)[i]
    assert deployment.send(path, method)[0] == 200
    target.close()
    return RawTarget(target.address, respond)


def case_on_platform_cut_head():
    """A response that ends inside its head or its trailers is never taken as complete; whether
    the request ran is unknown, whatever the head stated so far."""
    rows = incomplete_heads(FIELDS, "Not-Executed: 1\r\n")
    responses, failures = {}, []
    with PlatformDeployment() as d:
        for i, (method, path) in enumerate((IDEMPOTENT, ONCE)):
            target = replace_target(d, i, lambda r: (responses[r["path"]], False))
            for n, (name, text) in enumerate(rows):
                d.report_all()
                row_path = f"{path}-{n}"
                responses[row_path] = text
                status, headers, _ = d.send(row_path, method)
                if status != 502 or headers["Response-Seal"] or \
                        (method == "POST" and target.runs(row_path) != 1):
                    failures.append(f"{method}, {name}: {status}, {dict(headers)}, "
                                    f"runs {target.runs(row_path)}")
            responses[f"{path}-trailers"] = \
                f"HTTP/1.1 200 OK\r\n{FIELDS}Transfer-Encoding: chunked\r\n\r\n" \
                "2\r\nok\r\n0\r\nX-T: a\r\n".encode()
            try:
                failures.append(f"{method}, trailers: {d.send(f'{path}-trailers', method)}")
            except http.client.IncompleteRead:
                pass
            target.close()
    assert not failures, "\n".join(failures)
