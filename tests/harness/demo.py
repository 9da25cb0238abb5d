"""Runs the Consorcio example deployment under mixed load and prints a table of the results."""

import sys

from deployment import Deployment
from layouts import CONSORCIO, streams
from report import print_summary

SECONDS = 20
LOAD_SHARE = 0.7  # of each account's rate


def main():
    with Deployment(CONSORCIO, log_level="info") as d:
        print(f"starting {len(d.nodes)} nodes and targets in {len(CONSORCIO['zones'])} zones; "
              f"logs in {d.directory}", flush=True)
        d.apply(CONSORCIO["records"])
        d.start_nodes()
        d.wait(d.keepers_ready, "a keeper for each partition")
        print(f"sending requests for {SECONDS} s", flush=True)
        summary = d.load({"seconds": SECONDS, "streams": streams(CONSORCIO, LOAD_SHARE)})
        print_summary(summary, CONSORCIO["accounts"])
        for node in d.nodes:
            node.process.terminate()
        codes = {node.process.wait(timeout=40) for node in d.nodes}
    wrong = sum(s["wrong"] for s in summary["streams"])
    answered = sum(s["answered"] for s in summary["streams"])
    return 0 if codes == {0} and wrong == 0 and answered > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
