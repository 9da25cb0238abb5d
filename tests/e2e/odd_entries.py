"""End-to-end cases on entries of another writer that cannot be used: among the addresses of the
nodes, the records, the operator's rows and the reports of targets, in both dialects."""

import json
import time

from deployment import Deployment, http as request, key_record
from on_platform import CONFIG_APPLY_SEC, PlatformDeployment, wait_for
from on_platform_config import accepted, write_raw_row

NESTED = "[" * 5000 + "]" * 5000  # as deep as a row of 64 KiB may be, nearly
LARGE = "9" * 400
ODD_VALUES = {
    "open": "[" * 40000, "nested": NESTED, "nested_value": '{"attempt":"x","value":{"zone":%s}}' %
    NESTED, "overflow": '{"attempt":"x","value":{"zone":1e999}}',
    "large": '{"attempt":"x","value":{"zone":%s}}' % LARGE, "list": "[]", "null": "null",
    "text": '"x"', "number": "1", "empty": "", "types": '{"attempt":1,"value":[]}',
    "no_value": '{"attempt":"x"}', "bytes": "\udcff\udcfe{\udc80", "nul": '{"a\0":1}',
}
ODD_PORTS = ("", ":", ":-1", ":0", ":99999", ":4294967297", ":1e3", ":7100:7100", ":" + LARGE[:150])
VALID_VALUE = json.dumps({"attempt": "x", "value": {"zone": "za"}})
ALONE_READY_SEC = 1.5  # below the 2 s that a node waits for the directory of a peer
RECOVERY_SEC = 8  # a target is used again this long after an entry that looked newer than its own
ODD_REPORTS = (
    {"address": "127.0.0.9:99999"}, {"address": "127.0.0.9:-1"}, {"address": "127.0.0.9"},
    {"address": 7}, {"slots": 10 ** 18}, {"slots": -1}, {"slots": 1.5}, {"slots": None},
    {"sequence": 2 ** 62}, {"born": 2 ** 62}, {"sequence": -1}, {"born": "x"},
    {"cold_remaining": "1e999s"}, {"cold_remaining": 5}, {"state": ["ready"]}, {"service": {}},
)


def write_odd_rows(d, table, prefix=""):
    for name, text in ODD_VALUES.items():
        write_raw_row(d, table, f"{prefix}{name}", text)
        write_raw_row(d, table, f"{prefix}127.0.0.9:{7000 + len(name)}", text)
    for port in ODD_PORTS:
        write_raw_row(d, table, f"{prefix}127.0.0.9{port}", VALID_VALUE)


def case_on_platform_odd_entries():
    """Nodes on the platform serve, follow changes, and start while the tables that they read hold
    odd entries of another writer, and while odd reports arrive at their control address."""
    with PlatformDeployment() as d:
        write_odd_rows(d, "node")
        write_odd_rows(d, "op", "evacuate/")
        write_odd_rows(d, "op")
        write_odd_rows(d, "record")
        d.start_third_node()
        d.configure(accounts=("late",))
        wait_for("a change after the odd entries", lambda: all(accepted(d, "key-late")),
                 CONFIG_APPLY_SEC)
        front = d.targets[0]
        for fields in ODD_REPORTS:
            assert front.report(**fields) == 400, fields
        for name, text in ODD_VALUES.items():
            body = text.encode("utf-8", "surrogateescape")
            assert request("PUT", front.report_address, f"/instances/{front.instance_id}",
                           body)[0] == 400, name
        d.report_all()
        assert [d.send("/f/x", node=i)[0] for i in range(3)] == [200] * 3
        assert [node.poll() for node in d.daemons] == [None] * 3


def case_on_platform_odd_sequence():
    """A report that looks newer than those of the target, here of another writer, does not keep
    the target out for good: its own reports count again once the other has gone silent."""
    with PlatformDeployment() as d:
        front = d.targets[0]
        for fields in ({"sequence": 10 ** 15}, {"born": int(time.time() * 1000) + 10 ** 9}):
            genuine = front.sequence
            assert front.report(**fields) == 200
            front.sequence = genuine
            end = time.monotonic() + RECOVERY_SEC
            while time.monotonic() < end:
                d.report_all()
                time.sleep(0.5)
            status = d.send("/f/x")[0]
            assert status == 200, (fields, status)


def case_odd_records():
    """Nodes in the product's own mode, and egretctl, work while the tables that they read hold
    odd entries."""
    with Deployment({"zones": ["za"], "services": [
            {"name": "back", "instances": 2, "slots": 20, "service_ms": 5}]}) as d:
        write_odd_rows(d, "record", "route/")
        write_odd_rows(d, "record")
        write_odd_rows(d, "node")
        account = {"kind": "client_account", "name": "a", "schema_version": 1, "rate": 10,
                   "burst": 10}
        d.apply([account, key_record("a-1", "a", "key-a")])
        d.start_nodes()
        assert "client_account" in d.ctl("list").stdout
        assert d.ctl("retire", "key", "a-1").returncode == 0
        assert d.ctl("get", "key", "a-1", check=False).returncode == 1
        assert [node.process.poll() for node in d.nodes] == [None] * len(d.nodes)


def case_odd_addresses():
    """A node that is alone does not wait for peers at addresses that cannot exist."""
    with Deployment({"zones": ["za"], "services": [
            {"name": "back", "instances": 1, "slots": 20, "service_ms": 5}]}) as d:
        for port in ODD_PORTS:
            write_raw_row(d, "node", f"127.0.0.9{port}", VALID_VALUE)
        d.nodes[0].start()
        wait_for("the only node to be ready", d.nodes[0].ready, ALONE_READY_SEC)
