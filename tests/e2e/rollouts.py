"""End-to-end cases on roll-outs in the product's own mode, with the stand-ins of platform,
target and load generator."""

import re
import time

from deployment import ServingDeployment, key_record
from on_platform import wait_for

CANARY_SHARE, CANARY_SLACK = 0.1, 50
DURATION_SEC = 12
RATE = 200  # requests per second


def layout(fail):
    """Two instances of v1 and two of v2, which fails with this probability, in two zones."""
    old = {"name": "back", "instances": 2, "slots": 20, "service_ms": 5, "version": "v1"}
    return {"zones": ["za", "zb"], "services": [old, {**old, "version": "v2", "fail": fail}]}


def records():
    return [{"kind": "client_account", "name": "a", "schema_version": 1, "rate": 1000,
             "burst": 500},
            key_record("a-1", "a", "key-a"),
            {"kind": "route", "name": "back", "schema_version": 1, "prefix": "/back",
             "service": "back", "importance": 5, "timeout_ms": 20000, "idempotent": True}]


def answered(d, version):
    return sum(n.control("stats")["answered"] for n in d.nodes if n.service["version"] == version)


def state(d, node):
    """Returns the state that egretctl shows."""
    text = d.ctl("status", f"--admin={node.address['admin']}").stdout
    found = re.search(r"roll-out of back to v2: (\w+)", text)
    return found.group(1) if found else None


def run_rollout(fail, expected):
    """Returns the requests that the old and the new version answered between the order and the
    verdict, and in the second after."""
    with ServingDeployment(layout(fail), records(),
                           flags=(f"--canary-share={CANARY_SHARE}",)) as d:
        load = d.load_start({"seconds": DURATION_SEC + 5, "streams": [
            {"name": "back", "account": "a", "key": "key-a", "method": "GET", "path": "/back/x",
             "rate": RATE}]})
        time.sleep(1)
        assert d.ctl("rollout", "back", "--to=v2", f"--within={DURATION_SEC}").returncode == 0
        # Requests that nodes sent before they knew of the order have no bound.
        wait_for("all nodes to know of the order",
                 lambda: all(state(d, n) for n in d.nodes), DURATION_SEC)
        before = answered(d, "v1"), answered(d, "v2")
        wait_for(f"all nodes to show {expected}",
                 lambda: all(state(d, n) == expected for n in d.nodes), DURATION_SEC)
        time.sleep(0.3)  # requests that were sent before the verdict
        verdict = answered(d, "v1"), answered(d, "v2")
        time.sleep(1)
        after = answered(d, "v1"), answered(d, "v2")
        d.load_finish(load)
        return ([b - a for a, b in zip(before, verdict)], [b - a for a, b in zip(verdict, after)])


def case_rollout_good():
    """A good version is completed within the time of the order, and gets all requests then."""
    (_, new), (old_after, new_after) = run_rollout(0, "completed")
    assert new > 0 and old_after == 0 and new_after > RATE / 2, (new, old_after, new_after)


def case_rollout_bad():
    """A version of which a part of the responses fails is rolled back; it gets at most its share
    before and nothing afterwards."""
    (old, new), (old_after, new_after) = run_rollout(0.4, "rolled_back")
    assert new <= CANARY_SHARE * (old + new) + CANARY_SLACK, (old, new)
    assert new_after == 0 and old_after > RATE / 2, (old_after, new_after)


def case_rollout_usage():
    """egretctl rollout refuses orders that no node would follow, and writes nothing."""
    with ServingDeployment(layout(0), records()) as d:
        for arguments, status in ((("back",), 2), (("back", "--to=v2"), 2),
                                  (("back", "--to=v2", "--within=x"), 2),
                                  (("back", "--to=v2", "--within=0.1"), 3),
                                  (("back", "--to=a b", "--within=12"), 3)):
            result = d.ctl("rollout", *arguments, check=False)
            assert result.returncode == status, (arguments, result)
        d.ctl("rollout", "back", "--to=v2", "--within=12", "--dry-run")
        assert d.ctl("get", "rollout", "back", check=False).returncode == 1
        d.ctl("rollout", "back", "--to=v2", "--within=12")
        assert "v2" in d.ctl("get", "rollout", "back").stdout
        time.sleep(3)
        # The nodes run without --canary-share.
        assert state(d, d.nodes[0]) is None
        d.ctl("retire", "rollout", "back")
