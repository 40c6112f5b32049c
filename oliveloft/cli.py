"""The command line of `python -m oliveloft VERB`.

Exit codes: 0 success, 1 failure, 2 wrong arguments or configuration. Each verb imports its modules when it runs, so
that a verb loads nothing of the others.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Sequence

Command = Callable[[argparse.Namespace], int]


def integer_from(minimum: int) -> Callable[[str], int]:
    """Return an argument type that accepts integers from `minimum`."""

    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"{text!r} is no whole number") from None
        if value < minimum:
            raise argparse.ArgumentTypeError(f"must be at least {minimum}, not {value}")
        return value

    return parse


def positive_number(text: str) -> float:
    """Argument type that accepts finite numbers above 0."""
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is no number") from None
    if not 0 < value < float("inf"):
        raise argparse.ArgumentTypeError(f"must be above 0, not {text}")
    return value


def _demo(args: argparse.Namespace) -> int:
    from rig.demo import main

    return main(
        workers=args.workers,
        gatekeepers=args.gatekeepers,
        rate=args.rate,
        seconds=args.seconds,
        seed=args.seed,
        planners=args.planners,
    )


def _plan(args: argparse.Namespace) -> int:
    import logging

    import uvloop

    from oliveloft.config.loading import ConfigError
    from oliveloft.planners.config import load
    from oliveloft.planners.planner import run_planner

    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    try:
        config = load(args.config)
        if args.name not in config.planners:
            raise ConfigError(f"--name: {args.name!r} is none of {', '.join(config.planners)}")
        return uvloop.run(run_planner(args.name, config))
    except ConfigError as error:
        print(f"oliveloft: {error}", file=sys.stderr)
        return 2


def _forward(args: argparse.Namespace) -> int:
    from oliveloft.gatekeeper.process import main

    return main(args.number, args.config, args.fleet)


def _member(args: argparse.Namespace) -> int:
    from oliveloft.gatekeeper.process import main

    return main(fleet=args.fleet)


def _fleet_status(args: argparse.Namespace) -> int:
    from oliveloft.fleet.status import main

    return main(args.fleet, args.json)


def _status(args: argparse.Namespace) -> int:
    from oliveloft.planners.status import main

    return main(args.config, args.json)


def _settings(args: argparse.Namespace) -> int:
    from oliveloft.config.explain import main

    return main(args.file, args.json)


def _manage(args: argparse.Namespace) -> int:
    from oliveloft.manage.client import main

    return main(args.call, args.worker, args.at, args.within, args.json)


def _add_fleet_option(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        "--fleet",
        default="deploy/fleet.toml",
        metavar="FILE",
        help="the fleet's configuration (default deploy/fleet.toml)",
    )


def _add_config_option(verb: argparse.ArgumentParser) -> None:
    verb.add_argument(
        "--config",
        default="deploy/planners.toml",
        metavar="FILE",
        help="the planners' configuration (default deploy/planners.toml)",
    )


def build_parser() -> argparse.ArgumentParser:
    """Return the parser for all verbs and their options."""
    parser = argparse.ArgumentParser(
        prog="python -m oliveloft",
        description="Without a verb: run one gatekeeper, configured by the JSON file that PROXY_CONFIG names.",
    )
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    demo = verbs.add_parser("demo", help="run gatekeepers, fake workers and clients on loopback, until Ctrl-C")
    demo.add_argument("--workers", type=integer_from(1), default=4, help="number of fake workers (default 4)")
    demo.add_argument("--gatekeepers", type=integer_from(1), default=1, help="number of gatekeepers (default 1)")
    demo.add_argument("--rate", type=positive_number, default=120.0, help="requests per second (default 120)")
    demo.add_argument("--seconds", type=positive_number, default=None, help="stop after this many seconds")
    demo.add_argument("--seed", type=int, default=1, help="seed of the traffic (default 1)")
    demo.add_argument(
        "--planners",
        type=integer_from(0),
        default=0,
        help="number of planners that move quota shares between gatekeepers (default 0)",
    )
    demo.set_defaults(run=_demo)
    plan = verbs.add_parser("plan", help="run a planner, which assigns shares of quotas and capacity to gatekeepers")
    _add_config_option(plan)
    plan.add_argument("--name", required=True, help="the name of this planner in the configuration")
    plan.set_defaults(run=_plan)
    forward = verbs.add_parser("forward", help="run a gatekeeper that takes its shares from planners")
    _add_config_option(forward)
    forward.add_argument(
        "--number",
        type=integer_from(0),
        required=True,
        help="the number of this forwarder, from 0, as X-Weight counts them",
    )
    forward.add_argument(
        "--fleet",
        default="",
        metavar="FILE",
        help="the fleet's configuration: be a member of the fleet and persist state",
    )
    forward.set_defaults(run=_forward)
    member = verbs.add_parser("member", help="run a gatekeeper that is a member of a fleet and persists its state")
    _add_fleet_option(member)
    member.set_defaults(run=_member)
    fleet = verbs.add_parser("fleet", help="ask the members of a fleet about themselves and each other")
    fleet_verbs = fleet.add_subparsers(dest="what", required=True, metavar="WHAT")
    fleet_status = fleet_verbs.add_parser(
        "status", help="members, the stage of each start, broken links, maintenance, memory"
    )
    _add_fleet_option(fleet_status)
    fleet_status.add_argument("--json", action="store_true", help="print one JSON object")
    fleet_status.set_defaults(run=_fleet_status)
    planners = verbs.add_parser("planners", help="ask the planners about themselves")
    planners_verbs = planners.add_subparsers(dest="what", required=True, metavar="WHAT")
    planners_status = planners_verbs.add_parser("status", help="ownership, epochs, outstanding grants, age of reports")
    _add_config_option(planners_status)
    planners_status.add_argument("--json", action="store_true", help="print one JSON object")
    planners_status.set_defaults(run=_status)
    settings = verbs.add_parser("settings", help="list a gatekeeper's settings and the decision that uses each")
    settings.add_argument("file", metavar="FILE", help="a gatekeeper's JSON file, for example deploy/example.json")
    settings.add_argument("--json", action="store_true", help="print one JSON object")
    settings.set_defaults(run=_settings)
    manage = verbs.add_parser(
        "manage",
        help="send an operator's call to a gatekeeper",
        description="HEALTH, REFUSED, LEAVE, JOIN, OFFLINE ID or ONLINE ID. Exit code 0: ok, 1: fail, 2: wrong "
        "arguments, 3: no answer.",
    )
    manage.add_argument("call", metavar="CALL", help="HEALTH, REFUSED, LEAVE, JOIN, OFFLINE or ONLINE, in any case")
    manage.add_argument("worker", metavar="ID", nargs="?", help="the worker, for OFFLINE and ONLINE")
    manage.add_argument(
        "--at",
        metavar="HOST:PORT",
        help="the operators' address (default: PROXY_MANAGEMENT, or "
        "`management` of the file that PROXY_CONFIG names)",
    )
    manage.add_argument(
        "--within", type=positive_number, default=1.0, help="seconds to wait for the answer (default 1)"
    )
    manage.add_argument("--json", action="store_true", help="print one JSON object")
    manage.set_defaults(run=_manage)
    return parser


def main(arguments: Sequence[str]) -> int:
    """Run the verb that the arguments name; return the exit status."""
    args = build_parser().parse_args(arguments)
    run: Command = args.run
    try:
        return run(args)
    except KeyboardInterrupt:
        return 0
    except BrokenPipeError:  # the reader closed the pipe; flushing stdout at exit must not fail again
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
