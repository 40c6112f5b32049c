"""The command line: `python -m oliveloft` runs the gatekeeper, `python -m oliveloft VERB` everything else."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the gatekeeper, or the verb on the command line; return the exit status."""
    if len(sys.argv) > 1:
        from oliveloft.cli import main as verbs

        return verbs(sys.argv[1:])
    from oliveloft.gatekeeper.process import main as gatekeeper

    return gatekeeper()


if __name__ == "__main__":
    sys.exit(main())
