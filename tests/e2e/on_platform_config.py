"""End-to-end cases on when a change of the operator's configuration, or a node's address,
takes effect on the platform although their store fails or holds odd rows."""

import base64
import json
import time

from deployment import http as request
from on_platform import CONFIG_APPLY_SEC, INITIAL_NODES, PlatformDeployment, wait_for

ADDRESS_WRITE_SEC = 4  # a node's address is written within this time after the store accepts it
CONTACT_SEC = 3  # setting contact: the bound of a change holds again this long after an outage
# Outages: fault, start after a change that ends all watches, duration.
OUTAGES = {
    # The watches end, and are sent again, while the store is silent.
    "silent_retry": ("silent", 0.6, 5.2),
    # The connections of the watches get no more bytes; new connections work.
    "silent_connections": ("silent", 0.3, 0.1),
    "silent_end_of_watch": ("silent", 3.9, 0.3),
    "refused": ("busy", 0.2, 12.0),
}


def accepted(d, key):
    """Whether each node accepts the key; its request is refused with 503, as no target reports."""
    return [d.send("/f/x", node=i, headers={"Authorization": f"Bearer {key}"})[0] in (200, 503)
            for i in range(INITIAL_NODES)]


def check_outage(d, name):
    fault, start, duration = OUTAGES[name]
    d.configure(accounts=(f"{name}-before",))
    wait_for("the change before the outage",
             lambda: all(accepted(d, f"key-{name}-before")), CONFIG_APPLY_SEC)
    time.sleep(start)
    d.platform_fault(**{fault: True})
    time.sleep(duration)
    d.platform_fault()
    end = time.monotonic()
    d.configure(accounts=(name,))
    acknowledged = time.monotonic()
    bound = max(acknowledged + CONFIG_APPLY_SEC, end + CONTACT_SEC)
    time.sleep(max(0, bound - time.monotonic()))
    in_force = accepted(d, f"key-{name}") + [not ok for ok in accepted(d, f"key-{name}-before")]
    wait_for(f"the change after {name} at last", lambda: all(accepted(d, f"key-{name}")), 20)
    late = time.monotonic() - bound
    return [] if all(in_force) else [f"{name}: in force {late:.1f} s late, {in_force}"]


def case_on_platform_config_after_outage():
    """A change that the store acknowledges after it was silent or refused calls is in force at
    every node within its bound, whatever the node's reads waited for during the outage: a new
    key is accepted and a withdrawn one is refused."""
    with PlatformDeployment() as d:
        failures = [failure for name in OUTAGES for failure in check_outage(d, name)]
        assert not failures, failures


def case_on_platform_evacuation_after_outage():
    """A zone that is taken out of service right after the watches were lost gets no request later
    than the bound, and gets them again within the bound after its return."""
    with PlatformDeployment() as d:
        d.configure(accounts=("any",))  # ends all watches
        for value, status in (({}, 503), (None, 200)):
            time.sleep(0.3)
            d.platform_fault(silent=True)
            time.sleep(0.1)
            d.platform_fault()
            d.write_row("evacuate/za", value)
            d.report_all()
            time.sleep(CONTACT_SEC)
            d.report_all()
            before = [len(target.received) for target in d.targets]
            statuses = [d.send("/f/x", node=i)[0] for i in range(INITIAL_NODES)]
            assert statuses == [status] * INITIAL_NODES, (value, statuses)
            ran = [len(target.received) for target in d.targets] != before
            assert ran == (status == 200), (value, statuses)


def case_on_platform_evacuation_after_compaction():
    """A zone stays out of service when the store has dropped the history that a node's watch
    starts from, so that the node reads the whole table."""
    with PlatformDeployment() as d:
        d.write_row("evacuate/za", {})
        wait_for("the zone to go out of service", lambda: d.send("/f/x")[0] == 503, CONTACT_SEC)
        for n in range(3):
            write_raw_row(d, "other", f"row-{n}", "{}")
        d.platform_fault(forget=True)
        deadline = time.monotonic() + 6  # longer than a watch
        while time.monotonic() < deadline:
            d.report_all()
            statuses = [d.send("/f/x", node=i)[0] for i in range(INITIAL_NODES)]
            assert statuses == [503] * INITIAL_NODES, statuses
            time.sleep(0.2)


def read_rows(d, table):
    rows = json.loads(request("GET", d.platform_address,
                              f"/rows-get?table={table}&part=&limit=500")[2])["rows"]
    return {row["key"]: row for row in rows}


def write_raw_row(d, table, key, text):
    """Writes a row whose value is `text` as it is, as another writer may leave any; None removes
    the row."""
    row = {"table": table, "part": "", "key": key}
    ver = read_rows(d, table).get(key, {}).get("ver", 0)
    value = base64.b64encode((text or "").encode("utf-8", "surrogateescape")).decode()
    body = {"expected_rev": [{**row, "ver": ver}],
            "writes": [] if text is None else [{**row, "value": value}],
            "remove": [row] if text is None else []}
    assert request("POST", d.platform_address, "/rows-tx", json.dumps(body).encode())[0] == 200


def case_on_platform_address_after_outage():
    """A node whose address could not be written, or whose row another writer has spoiled, writes
    it within seconds once the store accepts it: nodes that start later need it."""
    with PlatformDeployment() as d:
        key = d.listen_address(INITIAL_NODES, "peer")
        write_raw_row(d, "node", key, "[" * 100)
        spoiled = read_rows(d, "node")[key]["value"]
        d.platform_fault(read_only=True)
        d.daemons.append(d.start_node(INITIAL_NODES))
        wait_for("the third node to be ready", lambda: d.ready(INITIAL_NODES), 10)
        time.sleep(2)
        d.platform_fault()
        wait_for("its address to be written",
                 lambda: read_rows(d, "node")[key]["value"] != spoiled, ADDRESS_WRITE_SEC)
