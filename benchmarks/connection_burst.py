"""Measures bursts of new connections: the limits sent to engines, the time to accept, the time to an answer.

    .venv/bin/python -m benchmarks.connection_burst [--clients 100,300,600,1000] [--front listens|odata]

Each row of the table is one burst at a coordinator that has just started.
"""

from __future__ import annotations

import argparse
import statistics
import sys

import trio

from fordstair.lab.connection_burst import ODATA, RPC, BurstReport, run_burst

LIMIT_SLACK_MS = 150.0  # a longer excess of a limit is counted


def table_row(report: BurstReport) -> str:
    """Return the figures of one burst as a table row."""
    answers = report.answer_ms
    median_ms = statistics.median(answers) if answers else 0.0
    return (
        f"| {report.clients} | {report.within_ms:.0f} "
        f"| {report.count_over(LIMIT_SLACK_MS)} of {len(report.excess_ms)} | {report.worst_excess_ms:.0f} "
        f"| {report.accepted_ms:.0f} | {len(answers)} | {median_ms:.0f} | {max(answers, default=0.0):.0f} |"
    )


def main() -> int:
    """Play the bursts, and print a table with all times in milliseconds."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.connection_burst", description=__doc__)
    parser.add_argument("--clients", default="50,100,300,600,1000")
    parser.add_argument("--front", choices=[RPC, ODATA], default=RPC)
    options = parser.parse_args()
    print(
        "| clients | within | limits over 150 too long | worst | accepted after | answers | median | last |"
    )
    for clients in map(int, options.clients.split(",")):
        print(table_row(trio.run(run_burst, clients, options.front)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
