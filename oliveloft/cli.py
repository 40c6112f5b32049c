"""The verbs of `python -m oliveloft`. Exit codes: 0 done, 1 it failed, 2 wrong words or configuration."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence

Run = Callable[[argparse.Namespace], int]


def whole(least: int) -> Callable[[str], int]:
    """A reader of whole numbers from `least`."""
    def read(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"{text!r} is no whole number") from None
        if value < least:
            raise argparse.ArgumentTypeError(f"must be at least {least}, not {value}")
        return value
    return read


def amount(text: str) -> float:
    """A number above 0."""
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is no number") from None
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"must be above 0, not {text}")
    return value


def _demo(words: argparse.Namespace) -> int:
    from rig.demo import main
    return main(workers=words.workers, gatekeepers=words.gatekeepers, rate=words.rate, seconds=words.seconds,
                seed=words.seed)


def parser() -> argparse.ArgumentParser:
    """All verbs with their options."""
    top = argparse.ArgumentParser(
        prog="python -m oliveloft",
        description="Without a verb: one gatekeeper, as the JSON file named by PROXY_CONFIG says.")
    verbs = top.add_subparsers(dest="verb", required=True, metavar="VERB")
    demo = verbs.add_parser("demo", help="a stand-in fleet on loopback with real requests, until Ctrl-C")
    demo.add_argument("--workers", type=whole(1), default=4, help="stand-in workers (default 4)")
    demo.add_argument("--gatekeepers", type=whole(1), default=1, help="gatekeepers (default 1)")
    demo.add_argument("--rate", type=amount, default=120.0, help="requests a second asked (default 120)")
    demo.add_argument("--seconds", type=amount, default=None, help="end by itself after so long")
    demo.add_argument("--seed", type=int, default=1, help="seed of the traffic (default 1)")
    demo.set_defaults(run=_demo)
    return top


def main(words: Sequence[str]) -> int:
    """Run a verb; the exit status."""
    parsed = parser().parse_args(words)
    run: Run = parsed.run
    try:
        return run(parsed)
    except KeyboardInterrupt:
        return 0
