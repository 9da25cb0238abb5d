"""End-to-end cases of a store that comes back from a copy some seconds old, in its next era: what
nodes have in force does not become older, and what they wrote is written again."""

import signal
import time

from on_platform import CONFIG_APPLY_SEC, INITIAL_NODES, PlatformDeployment, wait_for
from on_platform_config import accepted, read_rows, write_raw_row

EVACUATE_SEC = 5  # setting evacuate: the status of a zone is in force within this time
ZONE_HOLD_SEC = 10  # RESTORED_ZONE_HOLD, config/restored.h
LOST_WRITES = 20
AWAY_SEC = 0.5  # the store refuses connections while it comes back
ADDRESS_SEC = 6  # a check of the store (1.5 s), ERA_SPREAD (3 s, config_poll.c) and the write
SEEN_SEC = 2  # a check of the store shows its new era


def copy(d):
    """Takes a copy. Other writes then raise the store's version, so that what is written after the
    restore gets lower versions than what is lost."""
    d.platform_drill("copy")
    for _ in range(LOST_WRITES):
        write_raw_row(d, "other", "row", "{}")


def restore(d):
    """The store is away for a moment and comes back from the copy."""
    d.platform_fault(down=True)
    time.sleep(AWAY_SEC)
    d.platform_drill("restore")
    d.platform_fault()


def hold(seconds, check):
    """Calls check, which asserts, again and again."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        check()
        time.sleep(0.1)


def check_keys(d, good, bad):
    states = accepted(d, f"key-{good}") + [not ok for ok in accepted(d, f"key-{bad}")]
    assert all(states), (good, bad, states)


def log_lines(d, i, text):
    with open(d.logs[f"node-{i}"], encoding="utf-8") as file:
        return [line for line in file if text in line]


def case_on_platform_restored_config():
    """A key that was withdrawn after the copy is not accepted again, the one that replaced it
    stays accepted, and the operator's next change is in force in time."""
    with PlatformDeployment() as d:
        d.platform_drill("begin")
        d.configure(accounts=("old",), version="r9")
        wait_for("the first key", lambda: all(accepted(d, "key-old")), CONFIG_APPLY_SEC)
        copy(d)
        d.configure(accounts=("new",), version="r10")
        wait_for("the change", lambda: all(accepted(d, "key-new")) and
                 not any(accepted(d, "key-old")), CONFIG_APPLY_SEC)
        restore(d)
        hold(4, lambda: check_keys(d, "new", "old"))
        d.configure(accounts=("new",), version="r10")
        hold(CONFIG_APPLY_SEC, lambda: check_keys(d, "new", "old"))
        d.configure(accounts=("next",), version="r11")
        wait_for("the next change", lambda: all(accepted(d, "key-next")), CONFIG_APPLY_SEC)
        check_keys(d, "next", "new")
        for i in range(INITIAL_NODES):
            assert log_lines(d, i, "store-era"), f"node {i} has not seen the new era"


def check_zone(d, status):
    """Asserts that no node answers otherwise; returns whether one has answered so."""
    d.report_all()
    statuses = [d.send("/f/x", node=i)[0] for i in range(INITIAL_NODES)]
    # 429: the account's tokens are late, which says nothing about the zone.
    assert set(statuses) <= {status, 429}, (status, statuses)
    return status in statuses


def case_on_platform_restored_evacuation():
    """A zone that was taken out of service after the copy stays out until the operator has taken it
    out again, and then until its return."""
    with PlatformDeployment() as d:
        d.platform_drill("begin")
        d.configure(version="r2")
        time.sleep(SEEN_SEC)
        copy(d)
        d.write_row("evacuate/za", {})
        wait_for("the zone to go out of service", lambda: d.send("/f/x")[0] == 503, EVACUATE_SEC)
        time.sleep(0.5)
        restore(d)
        hold(4, lambda: check_zone(d, 503))
        d.write_row("evacuate/za", {})
        hold(ZONE_HOLD_SEC, lambda: check_zone(d, 503))
        d.write_row("evacuate/za", None)
        time.sleep(EVACUATE_SEC)
        wait_for("the status of the zone", lambda: check_zone(d, 200), 2)


def case_on_platform_restored_return():
    """A zone that has returned to service after the copy does not go out again with the copy, and
    a new evacuation is in force in time although the copy has just been read."""
    with PlatformDeployment() as d:
        d.platform_drill("begin")
        d.write_row("evacuate/za", {})
        wait_for("the zone to go out of service", lambda: d.send("/f/x")[0] == 503, EVACUATE_SEC)
        copy(d)
        d.write_row("evacuate/za", None)
        time.sleep(EVACUATE_SEC)
        wait_for("the status of the zone", lambda: check_zone(d, 200), 2)
        restore(d)
        hold(3, lambda: check_zone(d, 200))
        d.write_row("evacuate/za", None)
        hold(2, lambda: check_zone(d, 200))
        d.write_row("evacuate/za", {})
        time.sleep(EVACUATE_SEC)
        wait_for("the status of the zone", lambda: check_zone(d, 503), 2)


def addresses(d):
    return {key for key, row in read_rows(d, "node").items() if "value" in row}


def case_on_platform_restored_addresses():
    """The address of a node that has started after the copy is written again, once: nodes that
    start later need it."""
    with PlatformDeployment() as d:
        d.platform_drill("begin")
        time.sleep(SEEN_SEC)
        copy(d)
        d.start_third_node()
        key = d.listen_address(INITIAL_NODES, "peer")
        wait_for("the address of the third node", lambda: key in addresses(d), ADDRESS_SEC)
        restore(d)
        assert key not in addresses(d)
        writes = d.platform_stats()["writes"]
        wait_for("it to be written again", lambda: key in addresses(d), ADDRESS_SEC)
        time.sleep(ADDRESS_SEC)
        # The rows of the other two nodes are in the copy.
        assert d.platform_stats()["writes"] == writes + 1, (writes, d.platform_stats())


def case_on_platform_restored_at_start():
    """Nodes that all start while the store comes back from a copy without them become ready, serve,
    and have their addresses written."""
    with PlatformDeployment() as d:
        d.platform_drill("begin")
        for daemon in d.daemons:
            daemon.send_signal(signal.SIGKILL)
            daemon.wait()
        for key in addresses(d):
            write_raw_row(d, "node", key, None)
        copy(d)
        for i in range(INITIAL_NODES):
            d.daemons[i] = d.start_node(i)
        expected = {d.listen_address(i, "peer") for i in range(INITIAL_NODES)}
        wait_for("the addresses", lambda: addresses(d) >= expected, ADDRESS_SEC)
        restore(d)
        assert not addresses(d)
        for i in range(INITIAL_NODES):
            wait_for("a node to be ready", lambda i=i: d.ready(i), 10)
        d.report_all()
        wait_for("requests to be served", lambda: d.send("/f/x")[0] == 200, 5)
        wait_for("the addresses after the restore", lambda: addresses(d) >= expected, ADDRESS_SEC)


def case_on_platform_restored_late():
    """A change that the store lost, whose answer arrives when a node has already read the copy, is
    not applied: it would replace what the operator has written since."""
    with PlatformDeployment() as d:
        d.platform_drill("begin")
        d.configure(accounts=("before",), version="r2")
        wait_for("the change before the drill", lambda: all(accepted(d, "key-before")),
                 CONFIG_APPLY_SEC)
        copy(d)
        time.sleep(0.2)  # the watches, which the change has ended, are sent again
        # The change ends the watches at once. Their answers arrive before the watches time out
        # (4 s), and after the next check.
        d.platform_fault(late_feed_ms=2800)
        d.configure(accounts=("lost",), version="r9")
        time.sleep(0.1)
        d.platform_drill("restore")
        d.platform_fault()
        d.configure(accounts=("after",), version="r3")
        wait_for("the change after the drill", lambda: all(accepted(d, "key-after")),
                 SEEN_SEC)
        hold(4, lambda: check_keys(d, "after", "lost"))
        for i in range(INITIAL_NODES):
            assert log_lines(d, i, "response of era"), f"node {i} got no late answer"
