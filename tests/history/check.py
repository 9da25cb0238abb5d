"""Checks what callers and targets recorded in a concurrent run (JSON lines).

Each check returns the list of its violations. Run as a program it reads the files named on
the command line; `--plant` plants each fault once and expects the checker to see it.
"""

import json
import sys
from collections import Counter, defaultdict

RETRIES_MINTED = 2
CLOCK_SLACK_USEC = 50_000


def load(paths):
    """All events of the files in order of time."""
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
    """A non-idempotent request starts at most once at each service for each try."""
    sends, starts = by_id(events, "send"), by_id(events, "start")
    bad = []
    for request, tries in sends.items():
        if is_idempotent(tries[0]):
            continue
        for service, count in Counter(s["service"] for s in starts[request]).items():
            if count > len(tries):
                bad.append(f"{request}: started {count} times at {service}, tried {len(tries)}")
    return bad


def not_run_is_true(events):
    """A request whose every answer said not-run never started."""
    answers, starts = by_id(events, "answer"), by_id(events, "start")
    return [f"{request}: started at {starts[request][0]['service']} but stated not-run"
            for request, group in answers.items()
            if all(a["outcome"] == "not-run" for a in group) and starts[request]]


def answered_did_run(events):
    """A 2xx answer belongs to a request that started and ended at a target."""
    answers, ends = by_id(events, "answer"), by_id(events, "end")
    return [f"{request}: answered without a run" for request, group in answers.items()
            if any(200 <= a["status"] < 300 for a in group) and not ends[request]]


def retries_bounded(events):
    """Starts of one request at one service stay within the retries minted for it."""
    sends, starts = by_id(events, "send"), by_id(events, "start")
    bad = []
    for request, group in starts.items():
        allowed = max(len(sends[request]), 1) * (1 + RETRIES_MINTED)
        for service, count in Counter(s["service"] for s in group).items():
            if count > allowed:
                bad.append(f"{request}: {count} starts at {service}, {allowed} allowed")
    return bad


def one_answer_each(events):
    """Every try gets exactly one answer."""
    sends, answers = by_id(events, "send"), by_id(events, "answer")
    return [f"{request}: {len(tries)} tries, {len(answers[request])} answers"
            for request, tries in sends.items() if len(tries) != len(answers[request])]


def within_rate(events, rates):
    """Admitted requests of an account stay within rate * t + burst in every window.

    A bucket that starts full bounds every window at once. Starts are later than the
    admission by up to the time on the way, which the slack allows for.
    """
    sends, starts = by_id(events, "send"), by_id(events, "start")
    admitted = defaultdict(list)
    for request, tries in sends.items():
        if starts[request]:
            admitted[tries[0]["account"]].append(starts[request][0]["time"])
    bad = []
    for account, times in admitted.items():
        rate, burst = rates[account]
        slack = rate * CLOCK_SLACK_USEC / 1e6
        tokens, last = burst + slack, None
        for time in sorted(times):
            if last is not None:
                tokens = min(burst + slack, tokens + rate * (time - last) / 1e6)
            last = time
            tokens -= 1
            if tokens < -1e-6:
                bad.append(f"{account}: over rate * t + burst at {time}")
                break
    return bad


def targets_within_bounds(events):
    """No target ran more than its announced slots."""
    return [f"{e['target']}: {e['running']} running at {e['time']}" for e in events
            if e["event"] == "start" and "slots" in e and e["running"] > e["slots"]]


CHECKS = (at_most_once, not_run_is_true, answered_did_run, retries_bounded, one_answer_each,
          targets_within_bounds)


def check(events, rates=None):
    found = {fn.__name__: fn(events) for fn in CHECKS}
    if rates:
        found["within_rate"] = within_rate(events, rates)
    return {name: bad for name, bad in found.items() if bad}


def sample():
    """A small right history, to plant faults into."""
    events = []
    for i in range(20):
        request, t = f"r{i}", i * 100_000
        method = "POST" if i % 2 else "GET"
        base = {"id": request, "stream": "s", "account": "a", "importance": 5, "method": method}
        events.append({**base, "time": t, "event": "send", "try": 1, "status": 0,
                       "outcome": "", "reason": ""})
        refused = i % 5 == 4
        if not refused:
            run = {"id": request, "service": "s", "target": "t", "running": 1, "bears": 5,
                   "slots": 5}
            events.append({**run, "time": t + 10, "event": "start"})
            events.append({**run, "time": t + 20, "event": "end"})
        events.append({**base, "time": t + 30, "event": "answer", "try": 1,
                       "status": 503 if refused else 200,
                       "outcome": "not-run" if refused else "answered", "reason": ""})
    return events


def duplicate_start(events, request):
    start = next(e for e in events if e["event"] == "start" and e["id"] == request)
    return events + [{**start, "time": start["time"] + 1}]


def without(events, request, kind):
    return [e for e in events if not (e["id"] == request and e["event"] == kind)]


PLANTS = {
    "at_most_once": lambda e: duplicate_start(e, "r1"),
    "not_run_is_true": lambda e: e + [{"time": 1, "event": "start", "id": "r4", "service": "s",
                                       "target": "t", "running": 1, "bears": 5, "slots": 5}],
    "answered_did_run": lambda e: without(e, "r0", "end"),
    "retries_bounded": lambda e: duplicate_start(
        duplicate_start(duplicate_start(e, "r0"), "r0"), "r0"),
    "one_answer_each": lambda e: without(e, "r2", "answer"),
    "targets_within_bounds": lambda e: [{**x, "running": 6} if x["event"] == "start" else x
                                        for x in e],
    "within_rate": lambda e: [{**x, "time": 0} if x["event"] in ("start", "send") else x
                              for x in e],
}


def plant_all():
    """Names of the checks that did not see their planted fault."""
    rates = {"a": (10, 5)}
    blind = [] if not check(sample(), rates) else ["the right history"]
    for name, mutate in PLANTS.items():
        if name not in check(mutate(sample()), rates):
            blind.append(name)
    return blind


if __name__ == "__main__":
    if sys.argv[1:] == ["--plant"]:
        print(plant_all() or "every planted fault was seen")
        sys.exit(bool(plant_all()))
    violations = check(load(sys.argv[1:]))
    print(json.dumps(violations, indent=1) if violations else "no violation")
    sys.exit(bool(violations))
