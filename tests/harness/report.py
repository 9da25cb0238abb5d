"""Totals and tables computed from the load generator's summaries."""

from collections import Counter, defaultdict


def totals(streams, field):
    """Returns [sent, answered] of the streams for each value of a field."""
    groups = defaultdict(lambda: [0, 0])
    for stream in streams:
        groups[stream[field]][0] += stream["sent"]
        groups[stream[field]][1] += stream["answered"]
    return dict(groups)


def refusals(streams):
    """Counts the refusals of all streams by reason."""
    counts = Counter()
    for stream in streams:
        counts.update(stream["refused"])
    return counts


def worst_account(streams, rates, seconds):
    """Returns the account that is served worst, and its share.

    The share is the answered requests divided by those that the account may expect: the sent
    ones, or rate * seconds if that is fewer. rates holds each account's requests per second.
    """
    worst = (None, 2.0)
    for account, (sent, answered) in totals(streams, "account").items():
        expected = min(sent, rates[account] * seconds)
        if expected and answered / expected < worst[1]:
            worst = (account, answered / expected)
    return worst


def print_summary(summary, rates):
    """Prints the requests answered by importance, the latencies by route, and the refusals.

    rates holds each account's requests per second.
    """
    streams, seconds = summary["streams"], summary["seconds"]
    print(f"\n{'importance':<12}{'sent':>8}{'2xx':>8}{'goodput/s':>11}{'share':>8}")
    for importance, (sent, good) in sorted(totals(streams, "importance").items(), reverse=True):
        print(f"{importance:<12}{sent:>8}{good:>8}{good / seconds:>11.1f}{good / max(sent, 1):>8.1%}")
    print(f"\n{'route':<20}{'p50 ms':>9}{'p90 ms':>9}{'p99 ms':>9}   (slowest account)")
    by_name = defaultdict(list)
    for stream in streams:
        by_name[stream["name"]].append(stream)
    for name, group in by_name.items():
        cells = [max(s[f"{p}_usec"] for s in group) / 1000 for p in ("p50", "p90", "p99")]
        print(f"{name:<20}{cells[0]:>9.2f}{cells[1]:>9.2f}{cells[2]:>9.2f}")
    print("\nrefusals by reason:", dict(refusals(streams)) or "none")
    account, share = worst_account(streams, rates, seconds)
    print(f"worst-served account: {account}, {share:.1%} of min(demand, rate)")
    print(f"responses that do not match their request: {sum(s['wrong'] for s in streams)}")
