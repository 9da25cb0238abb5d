"""Two example deployments with their call graphs, accounts and usual load.

"accounts" holds each account's rate in requests per second. Each entry of "mix" is a kind of
request: name, method, path, share of the load, importance.
"""

import os

from deployment import ROOT

CONSORCIO = {
    "records": os.path.join(ROOT, "examples", "consorcio"),
    "zones": ["cuenca-a", "cuenca-b", "ambato-a"],
    "services": [
        {"name": "catalogue", "instances": 4, "slots": 180, "cold_slots": 30, "service_ms": 40},
        {"name": "reservations", "instances": 3, "slots": 250, "cold_slots": 40,
         "service_ms": 60, "calls": ["catalogue"]},
        {"name": "archive", "instances": 3, "slots": 250, "cold_slots": 40, "service_ms": 80},
        {"name": "dispatch", "instances": 3, "slots": 20, "cold_slots": 4, "service_ms": 60,
         "calls": ["reservations"]},
    ],
    "accounts": {"ligas-cuenca": 300, "elasticos-ambato": 300, "hebillas-del-sur": 200,
                 **{f"taller-{i}": 40 for i in range(1, 6)}},
    "mix": [("catalogue-lookup", "GET", "/catalogue/item", 0.5, 5),
            ("book-lot", "POST", "/reservations/lot", 0.2, 9),
            ("archive-upload", "POST", "/archive/pattern", 0.15, 4),
            ("dispatch", "GET", "/dispatch/order", 0.15, 7)],
}

GAZ_RACCORD = {
    "records": os.path.join(ROOT, "examples", "gaz-raccord"),
    "zones": ["tunis-a", "tunis-b", "sfax-a", "sousse-a"],
    "services": [
        {"name": "quotes", "instances": 4, "slots": 40, "cold_slots": 8, "service_ms": 120},
        {"name": "deposits", "instances": 4, "slots": 40, "cold_slots": 8, "service_ms": 60,
         "calls": ["scheduling"]},
        {"name": "plans", "instances": 4, "slots": 40, "cold_slots": 8, "service_ms": 80},
        {"name": "scheduling", "instances": 4, "slots": 10, "cold_slots": 2, "service_ms": 50},
    ],
    "accounts": {"portail": 120, "topo-nord": 80, "boulangers": 60,
                 **{f"atelier-{i}": 15 for i in range(1, 6)}},
    "mix": [("quote-lookup", "GET", "/quotes/q", 0.6, 5),
            ("deposit", "POST", "/deposits/d", 0.15, 9),
            ("plan-upload", "POST", "/plans/p", 0.1, 6),
            ("site-visit", "POST", "/scheduling/v", 0.15, 8)],
}


def streams(layout, share, retries=0, account_factors=None, bursts=None):
    """Returns the streams of a load plan: each account at `share` of its rate, over the mix.

    account_factors multiplies the load of single accounts. bursts lists (from, to, factor):
    start and end in seconds, and what the load is multiplied by in between.
    """
    result = []
    for account, rate in layout["accounts"].items():
        scale = (account_factors or {}).get(account, 1.0)
        for name, method, path, mix_share, importance in layout["mix"]:
            body = 20000 if "upload" in name else 64 if method == "POST" else 0
            stream = {"name": name, "account": account, "key": f"example-key-{account}",
                      "method": method, "path": path, "rate": rate * share * mix_share * scale,
                      "importance": importance, "retries": retries, "body": body}
            if bursts:
                stream["bursts"] = [{"from": a, "to": b, "rate": stream["rate"] * factor}
                                    for a, b, factor in bursts]
            result.append(stream)
    return result
