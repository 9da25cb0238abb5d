"""A request that crashes each instance that begins to run it comes again and again. How often
does it reach instances later than `contact` after it has crashed the third?"""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import rig as rigs  # noqa: E402

CONTACT_SEC = 3.0  # bound `contact`
RETRIES_MAX = 3  # of the rule
POISON = "/puka111/poison"
BODY = b"the same body each time"
PERIOD_SEC = 1.5  # between two sends of the request
BACK_SEC = 2.0  # an instance that crashed is back after this time
LENGTH_SEC = 70
BYSTANDERS = 8  # clients whose requests the instances run meanwhile


class FragileInstance(rigs.Instance):
    """Crashes when it begins to run the poison request; takes 0.1 s for the others."""

    crashes = []  # of all instances: times

    def respond(self, message, connection):
        is_poison = message["path"] == POISON and rigs.TROUBLE
        if not is_poison or message["headers"].get("expect-instance", self.id) != self.id:
            return super().respond(message, connection)
        self.note_run(message)
        FragileInstance.crashes.append(self.rig.record.now())
        self.crash()
        threading.Timer(BACK_SEC, self.start).start()
        return False


def work(message, connection):
    time.sleep(0.1)
    return 200, b"done"


def send_bystanders(rig, number, lost, until):
    count = 0
    while rig.record.now() < until:
        request_id = f"by-{number}-{count}"
        answer = rigs.request(rig.nodes[0], "POST", "/puka111/other", request_id, b"x")
        count += 1
        time.sleep(0.1)
        if answer is None or answer.status not in (200, 503):
            lost.append(request_id)
            rig.record.add("bystander", id=request_id, status=getattr(answer, "status", None))


def case(folder):
    rig = rigs.make_rig(folder, [("tunis-a", "devis")] + [("tunis-a", "caisse")] * 3)
    record = rig.record
    record.add("begin", trouble=rigs.TROUBLE)
    rig.store.write_operator_row("config", rigs.config(
        7, [["r-book", rigs.HOST, "/puka111/", "non_idempotent", "4s", "2000ms", 0, None, 2, False,
             "caisse"]],
        ["devis", "caisse"], [[rigs.TENANT, [rigs.KEY], 1, 200, 200]]))
    rig.start_nodes()
    rig.instances = [rigs.Instance(rig, rig.nodes[0])]
    rig.instances += [FragileInstance(rig, node, run=work) for node in rig.nodes[1:]]
    for instance in rig.instances:
        instance.start()
    rig.wait("requests are served", lambda: getattr(
        rigs.request(rig.nodes[0], "POST", "/puka111/warm", "warm", b""), "status", 0) == 200, 10)
    start, lost = record.now(), []
    for i in range(BYSTANDERS):
        threading.Thread(target=send_bystanders, args=(rig, i, lost, start + LENGTH_SEC),
                         daemon=True).start()
    sent = {}
    while record.now() < start + LENGTH_SEC:
        request_id = f"poison-{len(sent)}"
        sent[request_id] = record.now()
        answer = rigs.request(rig.nodes[0], "POST", POISON, request_id, BODY)
        record.add("poison", id=request_id, sent=f"{sent[request_id]:.3f}",
                   status=getattr(answer, "status", None))
        time.sleep(max(0, sent[request_id] + PERIOD_SEC - record.now()))
    crashes = FragileInstance.crashes
    late = []
    if len(crashes) >= 3:
        late = [request_id for instance in rig.instances for _, request_id, path in instance.ran
                if path == POISON and sent[request_id] > crashes[2] + CONTACT_SEC]
    held = len(late) <= RETRIES_MAX
    record.add("end", crashes=len(crashes), late=",".join(late), lost=len(lost), held=held)
    print(f"{len(crashes)} crashes at {[round(c - start, 1) for c in crashes]}; sends that reached "
          f"an instance more than {CONTACT_SEC} s after the third: {len(late)}, allowed "
          f"{RETRIES_MAX}; other requests lost: {len(lost)}")
    return held


if __name__ == "__main__":
    rigs.main(FOLDER, case, 110)
