"""End-to-end cases of targets on the platform that send broken responses or responses that belong
to other requests."""

import http.client

from on_platform import PlatformDeployment
from raw_target import RawTarget, incomplete_heads, odd_statuses

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


# (name, status and header lines of a refusal)
REFUSALS = [
    ("a refusal with its id", "503 X", "Not-Executed: 1\r\nRequest-Attempt-Id: {id}\r\n"),
    ("a refusal without an id", "503 X", "Not-Executed: 1\r\n"),
    ("a refusal of another instance", "421 X", "Request-Attempt-Id: {id}\r\n"),
    ("a refusal of another instance without an id", "421 X", ""),
]


def case_on_platform_repeated_refusal():
    """A target writes its refusal again on the connection before its next response, to a new
    request or to the same one. No client gets a refusal of a request that ran."""
    failures, repeated, ran, refused_ids = [], {}, [], set()

    def respond(request):
        request_id = request["headers"]["request-attempt-id"]
        answer = f"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {request_id}\r\n" \
            "Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok".encode()
        earlier = repeated.get(request["connection"])
        refuses = request_id.startswith("refuse") or \
            (request_id.startswith("retry") and request_id not in refused_ids)
        if refuses:
            refused_ids.add(request_id)
            head = f"HTTP/1.1 {row[1]}\r\n{row[2]}".replace("{id}", request_id)
            repeated[request["connection"]] = f"{head}Content-Length: 0\r\n\r\n".encode()
            return (f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Attempt-Id: {request_id}\r\n"
                    "Content-Length: 0\r\n\r\n").encode(), True
        ran.append(request_id)
        return ([earlier, answer] if earlier else answer), not request_id.startswith("close")

    with PlatformDeployment() as d:
        d.configure(deep=["deep", "h.example", "/f/deep/", "non_idempotent", "3s", "1s", 0, None, 2,
                          False, "back"])
        method, path = ONCE
        row = REFUSALS[0]
        target = replace_target(d, 1, respond)
        for n, row in enumerate(REFUSALS):
            for name in ("refuse", "new", "retry", "close"):
                d.report_all()
                request_id = f"{name}-{n}"
                status = d.send(path, method, {"Request-Attempt-Id": request_id})[0]
                expected = (503, 0) if name == "refuse" else (200, 1)
                if (status, ran.count(request_id)) != expected and name != "close":
                    failures.append(f"{row[0]}, {name}: {status}, runs {ran.count(request_id)}")
        target.close()
    assert not failures, "\n".join(failures)


class ResendDeployment(PlatformDeployment):
    """Its settings state the bound without which rejected calls are not sent again."""

    def settings(self, i):
        settings = super().settings(i)
        settings["bounds"].update({"retry_budget_ratio": 0.2, "budget_window": "10s"})
        return settings


def case_on_platform_resend():
    """Guards against requests that fail since a target rejected them once (the route allows no other
    instance), and against resends beyond the budget: at most 0.2 of the requests, and one that a new
    budget allows."""
    seen, rejected_always = {}, {"on": False}

    def respond(request):
        request_id = request["headers"]["request-attempt-id"]
        seen[request_id] = seen.get(request_id, 0) + 1
        if rejected_always["on"] or seen[request_id] == 1:
            return (f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Attempt-Id: {request_id}\r\n"
                    "Content-Length: 0\r\n\r\n").encode(), True
        return (f"HTTP/1.1 200 OK\r\nRequest-Attempt-Id: {request_id}\r\nResponse-Seal: seal\r\n"
                "Content-Length: 2\r\n\r\nok").encode(), True

    with ResendDeployment() as d:
        d.configure(deep=["deep", "h.example", "/f/deep/", "non_idempotent", "3s", "1s", 0, None, 1,
                          False, "back"])
        method, path = ONCE
        target = replace_target(d, 1, respond)
        d.report_all()
        status = d.send(path, method, {"Request-Attempt-Id": "once"})[0]
        assert (status, seen["once"]) == (200, 2), f"rejected once: {status}, {seen}"
        rejected_always["on"] = True
        requests = 60
        for n in range(requests):
            if n % 10 == 0:
                d.report_all()
            status = d.send(path, method, {"Request-Attempt-Id": f"always-{n}"})[0]
            assert status == 503, f"rejected always: {status}"
        repeats = sum(count - 1 for count in seen.values())
        assert repeats <= 0.2 * (requests + 1) + 1, f"{repeats} repeats of {requests + 1} requests"
        target.close()


# (name, status and header lines of a response)
UNIDENTIFIED = [
    ("a success without an id", "200 OK", ""),
    ("a success with two ids", "200 OK", "Request-Attempt-Id: {id}\r\nRequest-Attempt-Id: x\r\n"),
    ("a failure without an id", "500 X", ""),
    ("a refusal without an id", "503 X", "Not-Executed: 1\r\n"),
    ("a refusal of another request", "503 X", "Not-Executed: 1\r\nRequest-Attempt-Id: x\r\n"),
    ("a response of another instance without an id", "421 X", ""),
]


def case_on_platform_unidentified():
    """A response without the id of the request is not taken as the response to it: whether the
    request ran is unknown, so it does not run again."""
    failures = []
    with PlatformDeployment() as d:
        d.configure(deep=["deep", "h.example", "/f/deep/", "non_idempotent", "3s", "1s", 0, None, 2,
                          False, "back"])
        method, path = ONCE
        target = replace_target(d, 1, lambda request: (
            f"HTTP/1.1 {row[1]}\r\n{row[2]}Response-Seal: seal\r\nContent-Length: 0\r\n\r\n"
            .replace("{id}", request["headers"]["request-attempt-id"]).encode(), True))
        for n, row in enumerate(UNIDENTIFIED):
            d.report_all()
            status, headers, _ = d.send(f"{path}-{n}", method)
            if status != 502 or headers["Response-Seal"] or target.runs(f"{path}-{n}") != 1:
                failures.append(f"{row[0]}: {status}, runs {target.runs(f'{path}-{n}')}")
        target.close()
    assert not failures, "\n".join(failures)


def case_on_platform_odd_statuses():
    """No client gets a response with a status outside 200 to 599, of a target of the node or of
    another one: whether the request ran is unknown, whatever the response states."""
    responses, failures = {}, []
    with PlatformDeployment() as d:
        target = replace_target(d, 1, lambda r: responses.get(r["path"], (ANSWER, True)))
        rows = odd_statuses(FIELDS, "Not-Executed: 1\r\n")
        for n, (name, text, keep, expected) in enumerate(rows):
            for node in (0, 1):
                for method, prefix in (("POST", "/f/deep/"), ("GET", "/o/")):
                    d.report_all()
                    path = f"{prefix}{n}-{node}"
                    responses[path] = (text, keep)
                    timeout = "500" if 504 in expected else "2500"
                    try:
                        status, headers, _ = d.send(path, method, {"Deadline-Ms": timeout}, node)
                    except http.client.IncompleteRead as error:
                        failures.append(f"{name}, {method}, node {node}: {error}")
                        continue
                    sealed = headers["Response-Seal"] is not None
                    if status not in expected or sealed != (status < 500 or status == 599) or \
                            (method == "POST" and target.runs(path) != 1):
                        failures.append(f"{name}, {method}, node {node}: {status}, "
                                        f"sealed {sealed}, runs {target.runs(path)}")
        target.close()
    assert not failures, "\n".join(failures)
