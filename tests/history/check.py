"""Checks the history that callers and targets recorded in a run (one JSON event per line).

    check.py FILE...    checks the events of all files and prints the violations
    check.py --plant    injects one fault for each check into a valid history, and reports the
                        checks that do not detect theirs

The load generator records an event "send" for each try of a request and "answer" for the response
to it. A target records "start" and "end" of each request that it runs, and "cancelled" if the node
disconnects before the end. Each check returns a list of violations.
"""

import json
import sys
from collections import Counter, defaultdict

DEFAULT_RETRIES = 2  # of a route
START_DELAY_SLACK_USEC = 50_000


def load(paths):
    """Returns the events of all files in order of time."""
    events = []
    for path in paths:
        with open(path, encoding="utf-8") as file:
            events.extend(json.loads(line) for line in file if line.strip())
    return sorted(events, key=lambda e: e["time"])


def by_id(events, kind):
    groups = defaultdict(list)
    for event in events:
        if event["event"] == kind:
            groups[event["id"]].append(event)
    return groups


def is_idempotent(send):
    return send["method"] == "GET"


def at_most_once(events):
    """A non-idempotent request starts at each service at most once per try of the caller."""
    sends, starts = by_id(events, "send"), by_id(events, "start")
    violations = []
    for request, tries in sends.items():
        if is_idempotent(tries[0]):
            continue
        for service, count in Counter(s["service"] for s in starts[request]).items():
            if count > len(tries):
                violations.append(f"{request}: started {count} times at {service}, "
                                  f"tried {len(tries)}")
    return violations


def not_run_is_true(events):
    """If all answers to a request state not-run (the target did not run the request), no target
    started it."""
    answers, starts = by_id(events, "answer"), by_id(events, "start")
    return [f"{request}: started at {starts[request][0]['service']} but all answers state not-run"
            for request, group in answers.items()
            if all(a["outcome"] == "not-run" for a in group) and starts[request]]


def answered_did_run(events):
    """If a request has a 2xx answer, a target ran the request to its end."""
    answers, ends = by_id(events, "answer"), by_id(events, "end")
    return [f"{request}: 2xx answer, but no target ended the request"
            for request, group in answers.items()
            if any(200 <= a["status"] < 300 for a in group) and not ends[request]]


def retries_bounded(events):
    """A request starts at each service at most 1 + DEFAULT_RETRIES times per try."""
    sends, starts = by_id(events, "send"), by_id(events, "start")
    violations = []
    for request, group in starts.items():
        allowed = max(len(sends[request]), 1) * (1 + DEFAULT_RETRIES)
        for service, count in Counter(s["service"] for s in group).items():
            if count > allowed:
                violations.append(f"{request}: {count} starts at {service}, {allowed} allowed")
    return violations


def one_answer_each(events):
    """Each try has exactly one answer."""
    sends, answers = by_id(events, "send"), by_id(events, "answer")
    return [f"{request}: {len(tries)} tries, {len(answers[request])} answers"
            for request, tries in sends.items() if len(tries) != len(answers[request])]


def within_rate(events, rates):
    """The admitted requests of an account stay within rate * t + burst in any period t.

    rates maps an account to its (rate, burst). A token bucket that is full at first checks all
    periods in one pass. A start is recorded later than the admission, by the time the request
    takes to the target; the slack allows for that.
    """
    sends, starts = by_id(events, "send"), by_id(events, "start")
    admitted = defaultdict(list)
    for request, tries in sends.items():
        if starts[request]:
            admitted[tries[0]["account"]].append(starts[request][0]["time"])
    violations = []
    for account, times in admitted.items():
        rate, burst = rates[account]
        slack = rate * START_DELAY_SLACK_USEC / 1e6
        tokens, last = burst + slack, None
        for time in sorted(times):
            if last is not None:
                tokens = min(burst + slack, tokens + rate * (time - last) / 1e6)
            last = time
            tokens -= 1
            if tokens < -1e-6:
                violations.append(f"{account}: exceeds rate * t + burst at {time}")
                break
    return violations


def targets_within_bounds(events):
    """No target runs more requests at once than the slots it reported."""
    return [f"{e['target']}: {e['running']} running at {e['time']}" for e in events
            if e["event"] == "start" and "slots" in e and e["running"] > e["slots"]]


CHECKS = (at_most_once, not_run_is_true, answered_did_run, retries_bounded, one_answer_each,
          targets_within_bounds)


def check(events, rates=None):
    found = {fn.__name__: fn(events) for fn in CHECKS}
    if rates:
        found["within_rate"] = within_rate(events, rates)
    return {name: violations for name, violations in found.items() if violations}


def valid_history():
    """Returns a small valid history to inject faults into."""
    events = []
    for i in range(20):
        request, t = f"r{i}", i * 100_000
        method = "POST" if i % 2 else "GET"
        caller_fields = {"id": request, "stream": "s", "account": "a", "importance": 5,
                         "method": method}
        events.append({**caller_fields, "time": t, "event": "send", "try": 1, "status": 0,
                       "outcome": "", "reason": ""})
        refused = i % 5 == 4
        if not refused:
            target_fields = {"id": request, "service": "s", "target": "t", "running": 1,
                             "bears": 5, "slots": 5}
            events.append({**target_fields, "time": t + 10, "event": "start"})
            events.append({**target_fields, "time": t + 20, "event": "end"})
        events.append({**caller_fields, "time": t + 30, "event": "answer", "try": 1,
                       "status": 503 if refused else 200,
                       "outcome": "not-run" if refused else "answered", "reason": ""})
    return events


def duplicate_start(events, request):
    start = next(e for e in events if e["event"] == "start" and e["id"] == request)
    return events + [{**start, "time": start["time"] + 1}]


def drop_event(events, request, kind):
    return [e for e in events if not (e["id"] == request and e["event"] == kind)]


INJECTED_FAULTS = {
    "at_most_once": lambda e: duplicate_start(e, "r1"),
    "not_run_is_true": lambda e: e + [{"time": 1, "event": "start", "id": "r4", "service": "s",
                                       "target": "t", "running": 1, "bears": 5, "slots": 5}],
    "answered_did_run": lambda e: drop_event(e, "r0", "end"),
    "retries_bounded": lambda e: duplicate_start(
        duplicate_start(duplicate_start(e, "r0"), "r0"), "r0"),
    "one_answer_each": lambda e: drop_event(e, "r2", "answer"),
    "targets_within_bounds": lambda e: [{**x, "running": 6} if x["event"] == "start" else x
                                        for x in e],
    "within_rate": lambda e: [{**x, "time": 0} if x["event"] in ("start", "send") else x
                              for x in e],
}


def undetected_faults():
    """Returns the names of the checks that do not detect their injected fault."""
    rates = {"a": (10, 5)}
    undetected = [] if not check(valid_history(), rates) else ["false positive on valid history"]
    for name, inject in INJECTED_FAULTS.items():
        if name not in check(inject(valid_history()), rates):
            undetected.append(name)
    return undetected


if __name__ == "__main__":
    if sys.argv[1:] == ["--plant"]:
        print(undetected_faults() or "every injected fault was detected")
        sys.exit(bool(undetected_faults()))
    violations = check(load(sys.argv[1:]))
    print(json.dumps(violations, indent=1) if violations else "no violation")
    sys.exit(bool(violations))
