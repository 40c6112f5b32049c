"""Plays the case in a folder; whatever keeps it from its verdict, also an error while it is loaded, ends with 2."""

from __future__ import annotations

import pathlib
import runpy
import sys
import traceback

try:
    runpy.run_path(str(pathlib.Path(__file__).resolve().parents[1] / sys.argv[1] / "case.py"), run_name="__main__")
except BaseException:  # a case that comes to its verdict ends the process by itself
    traceback.print_exc()
sys.exit(2)
