"""An instance leaves: it sends DELETE, goes on serving for a while and ends. Two of its status
reports from before the DELETE arrive seconds late. Does it get requests again?"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import rig as rigs  # noqa: E402

DRAIN_SEC = 2.0  # bound `drain`
LATE_SEC = 7.0  # how late the two reports arrive
SERVES_SEC = 9.0  # how long the instance serves after its DELETE
CLIENTS = 4


class LeavingInstance(rigs.Instance):
    """Sends DELETE without a report of the state `draining` before it."""

    def leave(self):
        """Returns when the DELETE was acknowledged, or None."""
        late = [self.report_body(), self.report_body()]
        self.state = "leaving"  # no more reports
        self.rig.record.add("sent-late", sequences=[body["sequence"] for body in late])
        time.sleep(1.5)
        status = self.report("DELETE")
        acknowledged = self.rig.record.now()
        if rigs.TROUBLE:
            threading.Timer(LATE_SEC - 1.5, self.deliver, args=(late,)).start()
        return acknowledged if status == 200 else None

    def deliver(self, reports):
        for body in reports:
            status = rigs.call(self.node.address("control"), "PUT", f"/instances/{self.id}", body)
            self.rig.record.add("late-report", sequence=body["sequence"], answered=status)


def work(message, connection):
    time.sleep(0.3)
    return 200, b"done"


def send(rig, number, until, failed):
    count = 0
    while rig.record.now() < until[0]:
        request_id = f"c{number}-{count}"
        count += 1
        answer = rigs.request(rig.nodes[0], "POST", "/puka111/book", request_id, b"x")
        if answer is None or answer.status != 200:
            failed.append((rig.record.now(), request_id))
            rig.record.add("failed", id=request_id, status=getattr(answer, "status", None))
        time.sleep(0.1)


def case(folder):
    rig = rigs.make_rig(folder, [("tunis-a", "devis"), ("tunis-a", "caisse"),
                                 ("tunis-a", "caisse")])
    record = rig.record
    record.add("begin", trouble=rigs.TROUBLE)
    rig.store.write_operator_row("config", rigs.config(
        7, [["r-book", rigs.HOST, "/puka111/", "non_idempotent", "4s", "2000ms", 0, None, 2, False,
             "caisse"]],
        ["devis", "caisse"], [[rigs.TENANT, [rigs.KEY], 1, 200, 200]]))
    rig.start_nodes()
    rig.instances = [rigs.Instance(rig, rig.nodes[0]), rigs.Instance(rig, rig.nodes[1], run=work),
                     LeavingInstance(rig, rig.nodes[2], run=work)]
    for instance in rig.instances:
        instance.start()
    rig.wait("requests are served", lambda: getattr(
        rigs.request(rig.nodes[0], "POST", "/puka111/warm", "warm", b""), "status", 0) == 200, 10)
    until, failed = [float("inf")], []
    for i in range(CLIENTS):
        threading.Thread(target=send, args=(rig, i, until, failed), daemon=True).start()
    time.sleep(6)
    leaving = rig.instances[2]
    before = len(leaving.ran)
    acknowledged = leaving.leave()
    if acknowledged is None or before == 0:
        raise rigs.CannotRun("the instance got no requests, or no ack")
    time.sleep(SERVES_SEC)
    late = [(at, request_id) for at, request_id, _ in leaving.ran
            if at > acknowledged + DRAIN_SEC]
    ended = record.now()
    leaving.crash()  # the process exits: it has reported its leaving long ago
    time.sleep(2)
    until[0] = 0
    lost = [request_id for at, request_id in failed if at >= ended]
    held = not late
    record.add("end", acknowledged=f"{acknowledged:.3f}", late=len(late), lost=",".join(lost),
               held=held)
    print(f"requests that reached the instance more than {DRAIN_SEC} s after the ack of its "
          f"leaving: {len(late)}" +
          (f", from {late[0][0] - acknowledged:.1f} to {late[-1][0] - acknowledged:.1f} s after it"
           if late else "") + f"; requests lost when it ended: {len(lost)}")
    return held


if __name__ == "__main__":
    rigs.main(FOLDER, case, 60)
