"""Plays the case in a folder; whatever keeps a script from its verdict ends with 2, never with a verdict's status."""

from __future__ import annotations

import runpy
import sys
import traceback
from pathlib import Path


def main(folder: str) -> None:
    """Run `case.py` of a folder; it exits with its verdict, and is taken as not played if it does not."""
    try:
        runpy.run_path(str(Path(__file__).resolve().parent / folder / "case.py"), run_name="__main__")
    except BaseException as error:
        if isinstance(error, SystemExit) and error.code in (0, 1, 2):
            raise
        traceback.print_exc()
    sys.exit(2)


if __name__ == "__main__":
    main(sys.argv[1])
