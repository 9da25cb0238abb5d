"""An instance leaves and gets its ack; then all nodes are killed at the same moment and start again.
A status report that the instance sent before it left arrives late. It may not be used again."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
from rig import TROUBLE, CannotRun, Instance, Rig, main  # noqa: E402

SERVICES = ("devis", "caisse", "caisse", "caisse")
LEAVING = 1  # index of the instance that leaves
DRAIN_SEC, CONTACT_SEC = 2, 3  # bounds `drain` and `contact` of the settings
KILL_AFTER_SEC = 1  # from the ack to the kill
DOWN_SEC = 0.5
LATE_SEC = 3  # from the ack to the arrival of the late report
SERVES_SEC = 8  # from the ack to the end of the instance


def send(rig, sent, answers, seconds_end):
    """Sends requests by way of all nodes in turn until the given time."""
    while time.monotonic() < seconds_end:
        attempt = f"book-{len(sent)}"
        sent[attempt] = time.monotonic()
        status = rig.request(len(sent) % len(SERVICES), "/book/x", attempt, "POST", b"deposit",
                             timeout=4)[0]
        answers[status] = answers.get(status, 0) + 1
        time.sleep(0.05)


def run(record):
    rig = Rig(SERVICES)
    sent, answers = {}, {}
    try:
        rig.config([("book", "/book/", "non_idempotent", "caisse", "3s", 1)])
        rig.start_all()
        instances = [Instance(rig, i) for i in range(len(SERVICES))]
        for instance in instances:
            instance.beat()
        leaving = instances[LEAVING]
        time.sleep(2)
        send(rig, sent, answers, time.monotonic() + 2)
        record(f"before: answers {answers}; runs at the instances "
               f"{[len(instance.runs) for instance in instances]}")
        if not leaving.runs:
            raise CannotRun("the instance that is to leave got no request before")
        leaving.stop_beat.set()
        time.sleep(1.2)
        leaving.sequence += 1
        late = leaving.sequence  # the last status report, held up on its way
        status = leaving.report("DELETE")
        ack = time.monotonic()
        record(f"{leaving.id} leaves: DELETE answered {status}; the report with sequence {late} is "
               "still on its way")
        if status != 200:
            raise CannotRun("no ack")
        time.sleep(KILL_AFTER_SEC)
        started = ack
        if TROUBLE:
            for process in rig.nodes.values():
                process.kill()
            for process in rig.nodes.values():
                process.wait()
            record(f"all {len(SERVICES)} nodes were killed {time.monotonic() - ack:.2f} s after "
                   "the ack")
            time.sleep(DOWN_SEC)
            for index in range(len(SERVICES)):
                rig.start(index)
            started = time.monotonic()
            rig.wait_ready(range(len(SERVICES)))
            record(f"all nodes were ready again {time.monotonic() - ack:.2f} s after the ack")
        time.sleep(max(ack + LATE_SEC - time.monotonic(), 0))
        record(f"the late report arrives {time.monotonic() - ack:.2f} s after the ack: answered "
               f"{leaving.report(sequence=late)}")
        answers = {}
        send(rig, sent, answers, ack + SERVES_SEC)
        record(f"after: answers {answers}; runs at the instances "
               f"{[len(instance.runs) for instance in instances]}")
        in_touch = started + CONTACT_SEC if TROUBLE else ack
        late_runs = [(at, attempt) for at, attempt, *_ in leaving.runs
                     if at > ack + DRAIN_SEC and sent[attempt] > in_touch]
        for at, attempt in late_runs[:5]:
            record(f"{attempt} reached {leaving.id} {at - ack:.2f} s after the ack; it was sent "
                   f"{sent[attempt] - started:.2f} s after the nodes' start")
        record(f"{len(late_runs)} requests that were sent by machines in touch reached {leaving.id} "
               f"over {DRAIN_SEC} s after the ack")
        return len(late_runs) > 0
    finally:
        rig.close()


main(FOLDER, run)
