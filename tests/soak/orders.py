"""Roll-outs of a soak: the operator's orders, the instances that follow them, and the checks of
what versions the requests have reached."""

import base64
import json
import time

from fleet import BAD_VERSION, CANARY_SHARE, CANARY_SLACK, ERRORS, OLD_VERSION, TIMING_SLACK_SEC
from on_platform_config import read_rows

DURATION_SEC = 8.0
POLL_SEC = 0.2
# From the status to the last request that was sent before its writer's verdict reached all nodes.
VERDICT_SEC = 0.5 + TIMING_SLACK_SEC
HOLD_SEC = 2.5  # from the status to the end of the instances that are not to get requests
ENDS = ("completed", "rolled_back")


class Order:
    """Moves a service to another version, to which half of its targets change."""

    def __init__(self, fleet, rand, service, to):
        self.fleet, self.service, self.to = fleet, service, to
        self.key = f"rollout/{service}"
        self.targets = [t for t in fleet.targets if t.service == service]
        self.new = rand.sample(self.targets, len(self.targets) // 2)
        self.at, self.state, self.state_at = None, None, None  # times: time.monotonic()

    def __str__(self):
        state = self.state or ("no end" if self.at else "not written")
        return f"{self.service} to {self.to}: {state}"

    def read_state(self):
        try:
            row = read_rows(self.fleet, "status")[self.key]
            value = json.loads(base64.b64decode(row["value"]))
            return value["state"] if value["to"] == self.to else None
        except ERRORS:
            return None

    def run(self, wait, note):
        time.sleep(wait)
        try:
            self.roll_out()
        except ERRORS as error:
            note(f"{self} failed: {error!r}")
        note(str(self))

    def roll_out(self):
        self.fleet.write_row(self.key, {"service": self.service, "to": self.to,
                                        "duration": f"{DURATION_SEC:.0f}s"})
        self.at = time.monotonic()
        self.change(self.new, self.to)
        while not self.state and time.monotonic() < self.at + 1.5 * DURATION_SEC:
            time.sleep(POLL_SEC)
            state = self.read_state()
            if state in ENDS:
                self.state, self.state_at = state, time.monotonic()
        time.sleep(HOLD_SEC)
        if self.to == BAD_VERSION:
            self.fleet.bad_share = 0  # if it was completed, nodes could not serve again
        if self.state == "completed":
            self.change(self.targets, self.to)
        else:
            self.change(self.new, OLD_VERSION)
            self.fleet.write_row(self.key, None)

    @staticmethod
    def change(targets, version):
        for target in targets:
            target.next_version = version
            if target.version != version and target.end():
                target.start()

    def check(self):
        """Returns violations."""
        if self.at is None:
            return []
        runs = [run for runs in self.fleet.runs.values() for run in runs
                if run.service == self.service]
        found = []
        during = [run for run in runs if self.at < run.at < self.at + DURATION_SEC]
        new = sum(run.version == self.to for run in during)
        if self.to == BAD_VERSION and new > CANARY_SHARE * len(during) + CANARY_SLACK:
            found.append(f"CANARY: {new} of the {len(during)} requests to {self.service} reached "
                         f"the bad version")
        if self.state:
            denied = OLD_VERSION if self.state == "completed" else self.to
            # Written again after the store came back, the order starts over.
            end = min((at for at in self.fleet.written_again.get(self.key, ())
                       if at > self.at), default=float("inf"))
            late = [run for run in runs if run.version == denied and
                    self.state_at + VERDICT_SEC < run.at < end and
                    not self.fleet.was_paused(run.at)]
            if late:
                found.append(f"ORDER: {len(late)} requests to {self.service} reached {denied}, up "
                             f"to {late[-1].at - self.state_at:.1f} s after it was {self.state}")
        return found
