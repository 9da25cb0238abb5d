"""End-to-end cases of targets that leave and of their reports that arrive late."""

import time

from on_platform import INITIAL_NODES, LEAVE_TIMEOUT_SEC, PlatformDeployment, wait_for

EXPIRY_SEC = 5.0  # TARGET_HEARTBEAT_TIMEOUT, egretscaled/node/node.c
LEAVING = INITIAL_NODES  # index of the target that leaves


def pass_time(deployment, seconds):
    """Lets time pass in which the other targets report, and some requests are sent."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for i, target in enumerate(deployment.targets):
            if i != LEAVING:
                assert target.report() == 200
        for n in range(6):
            assert deployment.send("/o/x", node=n % 2)[0] == 200
        time.sleep(0.4)


def prepare_late_reports(target):
    """Returns reports that the target sends now and that are to arrive later."""
    target.sequence += 2
    return [{"sequence": target.sequence - 1, "born": target.started_ms},
            {"sequence": target.sequence, "born": target.started_ms}]


def deliver(target, reports):
    sequence = target.sequence
    for report in reports:
        target.report(**report)
    target.sequence = sequence


def let_target_expire(deployment, _):
    pass_time(deployment, EXPIRY_SEC + 0.6)


def let_target_refuse(deployment, target):
    """The target no longer listens; its node finds that out with a request."""
    target.close()
    pass_time(deployment, 0.5)


def restart_node(deployment, _):
    deployment.daemons[LEAVING].kill()
    deployment.daemons[LEAVING].wait()
    pass_time(deployment, 0.5)
    deployment.daemons[LEAVING] = deployment.start_node(LEAVING)
    wait_for("the node to be ready", lambda: deployment.ready(LEAVING), 10)


def do_nothing(*_):
    pass


# (name, what happens between the leave and the late reports)
EVENTS = [
    ("none", do_nothing),
    ("the target expires", let_target_expire),
    ("the target refuses connections", let_target_refuse),
    ("its node restarts", restart_node),
]


def check_leave(deployment, event):
    """Lets a target leave, and returns how many requests reach it afterwards."""
    target = deployment.targets[LEAVING]
    late = prepare_late_reports(target)
    assert target.report("DELETE") == 200
    acknowledged = time.monotonic()
    event(deployment, target)
    pass_time(deployment, max(0.0, acknowledged + LEAVE_TIMEOUT_SEC - time.monotonic()))
    before = len(target.received)
    deliver(target, late)
    pass_time(deployment, 1.2)
    return len(target.received) - before


def case_on_platform_late_reports():
    """A target that has left gets no request again because of reports that it sent before and
    that arrive late, whatever its node has forgotten meanwhile."""
    failures = []
    for name, event in EVENTS:
        with PlatformDeployment() as d:
            d.start_third_node()
            count = check_leave(d, event)
            if count:
                failures.append(f"{name}: {count} requests reached the target after its leave")
    assert not failures, "\n".join(failures)


def is_used(deployment, target):
    before = len(target.received)
    for n in range(12):
        deployment.send("/o/x", node=n % 2)
    return len(target.received) > before


def case_on_platform_new_lifetime():
    """A new process is used at once, at the same address and under the same id, whatever an
    earlier one that has left or crashed reports late."""
    failures = []
    for name, new_id, leaves in (("under the same id, after a leave", "i-1", True),
                                 ("under the same id, after a crash", "i-1", False),
                                 ("under another id, after a leave", "i-2", True),
                                 ("under another id, after a crash", "i-2", False)):
        with PlatformDeployment() as d:
            d.start_third_node()
            target = d.targets[LEAVING]
            late = prepare_late_reports(target)
            if leaves:
                assert target.report("DELETE") == 200
            time.sleep(0.01)
            earlier_id, target.instance_id = target.instance_id, new_id
            target.started_ms, target.sequence = int(time.time() * 1000), 0
            assert target.report() == 200
            wait_for("the new process to be used", lambda d=d, t=target: is_used(d, t), 1)
            target.instance_id = earlier_id
            deliver(target, late + [{**late[1], "state": "draining"}])
            target.report("DELETE")
            target.instance_id = new_id
            pass_time(d, LEAVE_TIMEOUT_SEC + 0.5)
            target.report()
            if not is_used(d, target):
                failures.append(f"{name}: the new process is not used")
    assert not failures, "\n".join(failures)
