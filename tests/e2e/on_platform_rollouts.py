"""End-to-end cases on roll-outs of a version: an order of the operator's, two instances of one
service with different versions, and the status that the nodes write."""

import base64
import json
import threading
import time

from on_platform import INITIAL_NODES, PlatformDeployment, wait_for
from on_platform_config import read_rows

CANARY_SHARE, CANARY_SLACK, ROLLBACK_SEC = 0.1, 50, 5
DURATION_SEC = 12
SENDERS = 8  # threads that send one request after the other
NEW = INITIAL_NODES  # index of the target with the new version
OLD = NEW - 1  # index of the other target of its service


class RolloutDeployment(PlatformDeployment):
    """Node 0 sends to the service of the targets 1 (v1) and 2 (v2)."""

    bounds = {"canary_share": CANARY_SHARE, "canary_slack": CANARY_SLACK,
              "rollback": f"{ROLLBACK_SEC}s"}

    def settings(self, i):
        settings = super().settings(i)
        settings["bounds"].update(self.bounds)
        return settings

    def __enter__(self):
        super().__enter__()
        try:
            self.start_third_node()
            self.stopped, self.version, self.old_version = threading.Event(), "v2", "v1"
            assert self.targets[NEW].report(version="v2") == 200
            threading.Thread(target=self.report_versions, daemon=True).start()
            for target in self.targets[OLD:]:
                target.delay_sec = 0.02
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *unused):
        self.stopped.set()
        super().__exit__(*unused)

    def report_versions(self):
        while not self.stopped.wait(0.5):
            try:
                for i, target in enumerate(self.targets):
                    target.report(version=self.version if i == NEW else self.old_version)
            except OSError:
                return

    def order(self, to="v2"):
        self.write_row("rollout/back", {"service": "back", "to": to,
                                        "duration": f"{DURATION_SEC}s"})

    def status(self):
        """Returns the state in the row of the store, or None."""
        row = read_rows(self, "status").get("rollout/back")
        value = json.loads(base64.b64decode(row["value"])) if row else {}
        assert not row or (value["service"], value["to"]) == ("back", "v2"), value
        return value.get("state")

    def received(self):
        return [len(target.received) for target in self.targets[OLD:]]


class Load:
    """Sends requests to the service until the end of the block."""

    def __init__(self, d):
        self.d, self.stopped, self.statuses = d, threading.Event(), []
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(SENDERS)]

    def run(self):
        while not self.stopped.is_set():
            self.statuses.append(self.d.send("/o/x")[0])

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *unused):
        self.stopped.set()
        for thread in self.threads:
            thread.join(10)


def case_on_platform_rollout_good():
    """A good version is not completed before its time, gets all requests afterwards and at most
    its share before."""
    with RolloutDeployment() as d, Load(d) as load:
        before = d.received()
        d.order()
        wait_for("the roll-out to be in progress", lambda: d.status() == "in_progress", 5)
        wait_for("requests to reach the new version",
                 lambda: d.received()[1] > before[1] + 5, 5)
        wait_for("the roll-out to be completed", lambda: d.status() == "completed", DURATION_SEC)
        time.sleep(0.5)  # requests that were sent before the verdict
        after = d.received()
        time.sleep(1)
        end = d.received()
        assert end[0] == after[0] and end[1] > after[1], (before, after, end)
        assert set(load.statuses) == {200}, set(load.statuses)


def case_on_platform_rollout_same():
    """An order for the version that all instances already have stops no request: there is no
    instance of another version that could get them."""
    with RolloutDeployment() as d:
        d.old_version = "v2"
        time.sleep(1.5)  # until both targets have reported and all nodes know of it
        with Load(d) as load:
            d.order()
            wait_for("the roll-out to be completed", lambda: d.status() == "completed",
                     DURATION_SEC)
            count = d.received()
            wait_for("both instances to get requests",
                     lambda: all(b > a + 20 for a, b in zip(count, d.received())), 5)
        assert set(load.statuses) == {200}, {s: load.statuses.count(s) for s in load.statuses}


def case_on_platform_rollout_bad():
    """A version that fails is rolled back in time, gets at most its share, and nothing after the
    rollback. Another order for it starts over, and without an order both versions get requests."""
    with RolloutDeployment() as d, Load(d):
        # A 500 is not sent again: it reaches the client.
        d.targets[NEW].response = (500, {})
        time.sleep(0.5)
        before = d.received()
        d.order()
        wait_for("the roll-out to be rolled back", lambda: d.status() == "rolled_back",
                 DURATION_SEC)
        time.sleep(0.5)
        after = d.received()
        old, new = after[0] - before[0], after[1] - before[1]
        # Requests that were sent before the nodes knew of the order have no bound.
        assert new <= CANARY_SHARE * (old + new) + CANARY_SLACK, (old, new)
        time.sleep(1)
        end = d.received()
        assert end[1] == after[1] and end[0] > after[0], (before, after, end)
        d.order()
        wait_for("the new order to be in progress", lambda: d.status() == "in_progress", 5)
        wait_for("the new order to be rolled back", lambda: d.status() == "rolled_back",
                 DURATION_SEC)
        d.targets[NEW].response = (200, {})
        d.write_row("rollout/back", None)
        count = d.received()
        wait_for("both versions to get requests",
                 lambda: all(b > a + 20 for a, b in zip(count, d.received())), 5)


def case_on_platform_rollout_unknown():
    """A version that appears while the configuration may be out of date gets no requests, since
    its order may not have arrived; without an order it gets them once the store answers."""
    with RolloutDeployment() as d, Load(d):
        d.platform_fault(busy=True)
        time.sleep(1)
        d.version = "v3"
        time.sleep(1)  # until the next report, and for requests sent before it
        before = d.received()
        time.sleep(1.5)
        after = d.received()
        assert after[1] == before[1] and after[0] > before[0], (before, after)
        d.platform_fault()
        wait_for("the version to get requests", lambda: d.received()[1] > after[1] + 20, 5)


def case_on_platform_rollout_store():
    """While the store refuses all calls, a bad version is rolled back, a node that restarts does not
    send to it, and the status is written when the store is back."""
    with RolloutDeployment() as d, Load(d):
        d.targets[NEW].response = (500, {})
        d.order()
        wait_for("the roll-out to be in progress", lambda: d.status() == "in_progress", 5)
        d.platform_fault(busy=True)
        count = d.received()
        wait_for("the new version to get no more requests", lambda: is_quiet(d), DURATION_SEC)
        end = d.received()
        assert end[1] - count[1] <= CANARY_SHARE * sum(end) + CANARY_SLACK, (count, end)
        d.platform_fault()
        wait_for("the status to be written", lambda: d.status() == "rolled_back", 5)
        d.daemons[OLD].kill()
        d.daemons[OLD].wait()
        before = len(d.targets[NEW].received)
        d.daemons[OLD] = d.start_node(OLD)
        wait_for("the restarted node to be ready", lambda: d.ready(OLD), 10)
        for _ in range(50):
            d.send("/o/x", node=OLD)
        assert len(d.targets[NEW].received) == before


def is_quiet(d):
    """Whether only the old version gets requests for a second."""
    before = d.received()
    time.sleep(1)
    after = d.received()
    return after[1] == before[1] and after[0] > before[0]


class OffDeployment(RolloutDeployment):
    bounds = {}


def case_on_platform_rollout_off():
    """Without canary_share, an order changes nothing: both versions get requests and no status
    is written."""
    with OffDeployment() as d, Load(d):
        d.order()
        time.sleep(3)
        count = d.received()
        time.sleep(1)
        assert all(b > a + 10 for a, b in zip(count, d.received())), (count, d.received())
        assert d.status() is None


def begin_drill(d):
    """Nodes have seen the era of the store, and its next writes get higher versions than those
    after the restore."""
    d.platform_drill("begin")
    time.sleep(2)


def check_restored_status(copied):
    """The store comes back from a copy, in which the status row of a completed roll-out has an
    earlier state or is absent: the row is written again with its last state, and no request goes
    back to the old version."""
    with RolloutDeployment() as d, Load(d):
        begin_drill(d)
        d.order()
        if copied:
            wait_for("the roll-out to have a status", lambda: d.status() == copied, 5)
        d.platform_drill("copy")
        wait_for("the roll-out to be completed", lambda: d.status() == "completed", DURATION_SEC)
        time.sleep(0.5)  # requests that were sent before the verdict
        before = d.received()
        d.platform_drill("restore")
        assert d.status() == copied
        seen = []
        wait_for("the status to be written again",
                 lambda: seen.append(d.status()) or seen[-1] == "completed", 8)
        assert set(seen) <= {copied, "completed"}, seen
        time.sleep(2)
        after = d.received()
        assert d.status() == "completed"
        assert after[0] == before[0] and after[1] > before[1], (before, after)


def case_on_platform_rollout_restored_status():
    """Without the row, the platform would see no state of the roll-out."""
    check_restored_status(None)


def case_on_platform_rollout_restored_progress():
    """With the row of a roll-out in progress, the platform would wait for its end."""
    check_restored_status("in_progress")


def case_on_platform_rollout_restored_order():
    """The store comes back from a copy without the order of a roll-out that was rolled back: the
    rejected version gets no requests while the operator has not yet written the order again."""
    with RolloutDeployment() as d, Load(d):
        d.targets[NEW].response = (500, {})
        begin_drill(d)
        d.platform_drill("copy")
        d.order()
        wait_for("the roll-out to be rolled back", lambda: d.status() == "rolled_back",
                 DURATION_SEC)
        time.sleep(0.5)  # requests that were sent before the verdict
        before = d.received()
        d.platform_drill("restore")
        time.sleep(5)
        after = d.received()
        assert after[1] == before[1] and after[0] > before[0], (before, after)
